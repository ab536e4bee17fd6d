"""What VMs tell each other, and how it goes over the wire."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from ..decisions.facts import PromptSegment
from ..errors import LentilrunError


class Scope(enum.Enum):
    """Whose doings a message tells: see ``decisions.topology``."""

    VM = 'own'
    DATA_CENTRE = 'group'
    FLEET = 'rest'


class LoadReport(NamedTuple):
    """What the sender runs at a target; tokens, decayed outcomes.

    ``busy_for`` is the time until it is done there, in seconds.
    """

    incarnation: str
    in_flight: int
    long_in_flight: int
    prefill_tokens: float
    memory_tokens_used: float
    busy_for: float
    successes: float
    failures: float


class WeightsLoadReport(NamedTuple):
    """A target that loads weights, for ``time_left`` seconds at the most."""

    incarnation: str
    time_left: float


class WeightsVersionReport(NamedTuple):
    """A version of weights that a target was seen to have."""

    incarnation: str
    model: str
    version: int


class CrashReport(NamedTuple):
    """A start of a target that broke off under a request."""

    fingerprint: str
    target_start: str


class StoredSegmentReport(NamedTuple):
    """A part of a prompt that an engine saves in the store of kept cache."""

    salt: str
    identity: str


class PrefillReport(NamedTuple):
    """Parts of a prompt that an engine was given to read."""

    incarnation: str
    salt: str
    segments: tuple[PromptSegment, ...]


class GossipMessage(NamedTuple):
    """One message about what VMs in its scope do; tokens by workspace.

    ``admitted_tokens`` is what the senders let in since the start of the
    process, ``used_per_second`` what is known that all VMs let in during
    each second, newest first. ``unresponsive`` VMs were not heard by the
    sender. ``row_versions`` are the versions of the newest rows that it
    knows of, by table of the store; it ``has_lost_store`` while the store
    gives it no answers.
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


class RelayedRow(NamedTuple):
    """A row of the store as it was read."""

    key: str
    value: bytes
    row_version: int
    is_deleted: bool


class RelayedRows(NamedTuple):
    """Changes of a table, all up to ``store_version``.

    ``previous_version`` is the version of the newest row that the sender
    had.
    """

    node: str
    table: str
    previous_version: int
    store_version: int
    rows: list[RelayedRow]


class BadMessageError(LentilrunError):
    """A message that can't be read."""


_encoder = msgspec.msgpack.Encoder()
_beat_decoder = msgspec.msgpack.Decoder(GossipMessage)
_rows_decoder = msgspec.msgpack.Decoder(RelayedRows)
_BEAT = b'b'
_ROWS = b'r'


def encode(message: GossipMessage | RelayedRows) -> bytes:
    """Return a message as it goes over the wire."""
    kind = _BEAT if isinstance(message, GossipMessage) else _ROWS
    return kind + _encoder.encode(message)


def decode(data: bytes) -> GossipMessage | RelayedRows:
    """Read a message; raises ``BadMessageError``."""
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
    | msgspec.msgpack.Decoder[RelayedRows],
] = {_BEAT: _beat_decoder, _ROWS: _rows_decoder}

__all__ = [
    'BadMessageError',
    'CrashReport',
    'decode',
    'encode',
    'GossipMessage',
    'LoadReport',
    'PrefillReport',
    'RelayedRow',
    'RelayedRows',
    'Scope',
    'StoredSegmentReport',
    'WeightsLoadReport',
    'WeightsVersionReport',
]
