"""Messages that VMs send to each other, and their encoding.

Records are encoded by position: their fields keep order and types.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from ..decisions.facts import PromptSegment
from ..errors import LentilrunError


class Scope(enum.Enum):
    """The VMs that a message reports on: see ``decisions.topology``."""

    VM = 'own'
    DATA_CENTRE = 'group'
    FLEET = 'rest'


class LoadReport(NamedTuple):
    """Requests in flight at a target, and its decayed outcomes.

    ``busy_for`` is the time until all of them are expected to be done, in
    seconds. ``prefill_by_urgency`` holds the tokens to prefill by the
    urgency of their requests. ``paced_requests`` took ``pace_total`` times
    as long as expected, in sum; both are decayed.
    """

    incarnation: str
    in_flight: int
    long_in_flight: int
    prefill_tokens: float
    memory_tokens_used: float
    busy_for: float
    successes: float
    failures: float
    prefill_by_urgency: dict[int, float] = {}  # noqa: RUF012
    paced_requests: float = 0.0
    pace_total: float = 0.0


class WeightsLoadReport(NamedTuple):
    """A target that loads weights, for ``time_left`` seconds at most."""

    incarnation: str
    time_left: float


class WeightsVersionReport(NamedTuple):
    """A version of a model's weights that a target has loaded."""

    incarnation: str
    model: str
    version: int


class CrashReport(NamedTuple):
    """An attempt that was aborted after it was sent to a target.

    ``fingerprint`` identifies the request. ``target_start`` is the target's
    incarnation with the time at which it started.
    """

    fingerprint: str
    target_start: str


class StoredSegmentReport(NamedTuple):
    """A prompt segment that an engine saves in the KV cache store."""

    salt: str
    identity: str


class PrefillReport(NamedTuple):
    """Prompt segments that were sent to an engine for prefill."""

    incarnation: str
    salt: str
    segments: tuple[PromptSegment, ...]


class GossipMessage(NamedTuple):
    """State of the VMs in its scope, with usage in tokens by workspace.

    ``incarnation`` is a random number that each process of the sender picks
    at its start; in reports it is the one of a target.
    ``admitted_tokens`` is what these VMs admitted since the start of the
    sender's process, ``used_per_second`` what all VMs are known to have
    admitted in each second, newest first. ``unresponsive`` is the number
    of VMs that count as unresponsive for the sender. ``row_versions`` are
    the versions of the newest rows that it knows of, by table of the
    store; it ``has_lost_store`` while the store does not answer it, and
    ``has_lost_rows`` while it gets no rows from other VMs either.
    """

    node: str
    scope: Scope
    data_centre: str
    power: float
    host: str
    port: int
    incarnation: int
    is_leaving: bool
    unresponsive: int
    has_lost_store: bool
    loads: list[LoadReport]
    weights_loads: list[WeightsLoadReport]
    weights_versions: list[WeightsVersionReport]
    crashes: list[CrashReport]
    admitted_tokens: dict[str, float]
    used_per_second: dict[str, list[int]]
    row_versions: dict[str, int]
    stored_segments: list[StoredSegmentReport]
    prefills: list[PrefillReport]
    has_lost_rows: bool = False


class RelayedRow(NamedTuple):
    """A row of the store as a hub read it."""

    key: str
    value: bytes
    row_version: int
    is_deleted: bool


class RelayedRows(NamedTuple):
    """All changes of a table after a version, up to ``store_version``.

    ``previous_version`` is the version of the newest row that the sender
    had until then.
    """

    node: str
    table: str
    previous_version: int
    store_version: int
    rows: list[RelayedRow]


class RowRequest(NamedTuple):
    """Asks for the rows of a table that changed after a version."""

    node: str
    table: str
    after: int


Message = GossipMessage | RelayedRows | RowRequest


class BadMessageError(LentilrunError):
    """A message of an unknown kind, or one that can't be decoded."""


_encoder = msgspec.msgpack.Encoder()
_gossip_decoder = msgspec.msgpack.Decoder(GossipMessage)
_rows_decoder = msgspec.msgpack.Decoder(RelayedRows)
_request_decoder = msgspec.msgpack.Decoder(RowRequest)
_kinds: dict[type[Message], bytes] = {
    GossipMessage: b'b',
    RelayedRows: b'r',
    RowRequest: b'q',
}


def encode(message: Message) -> bytes:
    """Return a message as bytes: its kind, then msgpack."""
    return _kinds[type(message)] + _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Return the message in a datagram; raises ``BadMessageError``."""
    decoder = _decoders.get(data[:1])
    if decoder is None:
        raise BadMessageError('unknown kind of message')
    try:
        return decoder.decode(data[1:])
    except msgspec.MsgspecError as error:
        raise BadMessageError(str(error)) from error


_decoders: dict[
    bytes,
    msgspec.msgpack.Decoder[GossipMessage]
    | msgspec.msgpack.Decoder[RelayedRows]
    | msgspec.msgpack.Decoder[RowRequest],
] = {
    _kinds[GossipMessage]: _gossip_decoder,
    _kinds[RelayedRows]: _rows_decoder,
    _kinds[RowRequest]: _request_decoder,
}

__all__ = [
    'BadMessageError',
    'CrashReport',
    'decode',
    'encode',
    'GossipMessage',
    'LoadReport',
    'Message',
    'PrefillReport',
    'RelayedRow',
    'RelayedRows',
    'RowRequest',
    'Scope',
    'StoredSegmentReport',
    'WeightsLoadReport',
    'WeightsVersionReport',
]
