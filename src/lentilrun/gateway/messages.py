"""Messages that VMs send to each other, and their encoding.

VMs of two builds run side by side: what the one in production decodes stays
as it is. See ``records`` for what may be added.
"""

from __future__ import annotations

import enum
import functools
import ipaddress
import math
from typing import Annotated

import msgspec

from ..decisions.facts import PromptSegment
from ..decisions.quarantine import Crash
from ..errors import LentilrunError
from ..records import PositionalRecord
from ..web.numbers import parse_number
from .compression import BadCompressionError
from .compression import compress
from .compression import decompress
from .knownchanges import TableProgress


# The name under which a message's versions of rows hold when it was sent. No
# table has it, so a VM that doesn't know it ignores it.
SENT_AT = ''
# After the name of a table: the version up to which all its changes are
# known, and for how many microseconds later ones may be unknown.
_COMPLETE = '/complete'
_AGE = '/age'
# Before the name of a data centre: for how many microseconds its evacuation
# has ended.
_RETURNED = '/returned/'
# Before a version and its model: how many microseconds ago it is assumed to
# have been announced.
_ASSUMED_ANNOUNCEMENT = '/announced/'
_US_PER_S = 1e6

# Sums of counts must fit into the 64 bits of an encoded integer.
_MAX_COUNT = 1 << 53
Count = Annotated[int, msgspec.Meta(ge=-_MAX_COUNT, le=_MAX_COUNT)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Power = Annotated[float, msgspec.Meta(ge=0.0)]
Limit = Annotated[float, msgspec.Meta(ge=0.0, le=1e18)]
Age = Annotated[float, msgspec.Meta(ge=0.0)]
UsePerSecond = Annotated[list[Count], msgspec.Meta(min_length=1)]


class Scope(enum.Enum):
    """The VMs that a message reports on: see ``decisions.topology``."""

    VM = 'own'
    DATA_CENTRE = 'group'
    FLEET = 'rest'


class LoadReport(PositionalRecord, frozen=True):
    """Requests in flight at a target, and its decayed outcomes.

    ``busy_for`` is the time until all of them are expected to be done, in
    seconds. ``prefill_by_urgency`` holds the tokens to prefill by the
    urgency of their requests. ``paced_requests`` took ``pace_total`` times
    as long as expected, in sum; both are decayed.
    """

    incarnation: str
    in_flight: Count
    long_in_flight: Count
    prefill_tokens: float
    memory_tokens_used: float
    busy_for: float
    successes: float
    failures: float
    prefill_by_urgency: dict[int, float] = {}  # noqa: RUF012
    paced_requests: float = 0.0
    pace_total: float = 0.0


class WeightsLoadReport(PositionalRecord, frozen=True):
    """A target that loads weights, for ``time_left`` seconds at most."""

    incarnation: str
    time_left: float


class WeightsVersionReport(PositionalRecord, frozen=True):
    """A version of a model's weights that a target has loaded."""

    incarnation: str
    model: str
    version: int


class AnnouncementReport(PositionalRecord, frozen=True):
    """A version of a model's weights, announced ``age`` seconds ago."""

    model: str
    version: int
    age: float


class RateLimitReport(PositionalRecord, frozen=True):
    """The limit that a target stated ``age`` seconds ago.

    ``limit`` is in requests per second from all VMs, nothing if the target
    no longer states one. It may be one ``of_rejections`` only.
    """

    incarnation: str
    limit: Limit | None
    age: Age
    of_rejections: bool = False


class LeavingReport(PositionalRecord, frozen=True):
    """A start of a target that stated that it leaves."""

    incarnation: str
    started_at_ms: Count


class StoredSegmentReport(PositionalRecord, frozen=True):
    """A prompt segment that an engine saves in the KV cache store."""

    salt: str
    identity: str


class PrefillReport(PositionalRecord, frozen=True):
    """Prompt segments that were sent to an engine for prefill."""

    incarnation: str
    salt: str
    segments: tuple[PromptSegment, ...]


class OutcomeReport(PositionalRecord, frozen=True):
    """A response during a roll-out, for the verdict on the new version.

    ``number`` identifies it at its VM; ``order`` is the row version of the
    order of the roll-out. The other fields are those of ``Outcome``.
    """

    node: str
    number: int
    service: str
    order: int
    route: str
    target: str
    is_new: bool
    fate: int
    first_level: int
    rest_level: int


class RolloutReport(PositionalRecord, frozen=True):
    """What a VM knows of a roll-out.

    ``order`` is the row version of the order, ``stage`` a
    ``rolloutstate.Stage``. While it runs, ``fence`` and ``tick`` grow with
    each report of the VM that drives it.
    """

    service: str
    order: int
    version: str
    stage: int
    fence: int
    tick: int
    reason: str


class GossipMessage(PositionalRecord, frozen=True):
    """State of the VMs in its scope, with usage in tokens by workspace.

    ``incarnation`` is a random number that each process of the sender picks
    at its start; in reports it is the one of a target.
    ``admitted_tokens`` is what these VMs admitted since the start of the
    sender's process, ``used_per_second`` what all VMs are known to have
    admitted in each second, newest first. ``unresponsive`` is the number
    of VMs that count as unresponsive for the sender. ``row_versions`` are
    the versions of the newest changes that it knows of, by table of the
    store, further entries of ``encode_progress`` and ``encode_returns``, and
    under ``SENT_AT`` when
    the message was sent by the sender's clock, in microseconds. It
    ``has_lost_store`` while the store does not answer it, and
    ``has_lost_rows`` while it gets no rows from other VMs either. It
    ``is_cut_off`` while it reaches no target.
    ``cleared_crashes`` came before a response to the same suspect.
    """

    node: str
    scope: Scope
    data_centre: str
    power: Power
    host: str
    port: Port
    incarnation: int
    is_leaving: bool
    unresponsive: int
    has_lost_store: bool
    loads: list[LoadReport]
    weights_loads: list[WeightsLoadReport]
    weights_versions: list[WeightsVersionReport]
    crashes: list[Crash]
    admitted_tokens: dict[str, float]
    used_per_second: dict[str, UsePerSecond]
    row_versions: dict[str, int]
    stored_segments: list[StoredSegmentReport]
    prefills: list[PrefillReport]
    announcements: list[AnnouncementReport] = []  # noqa: RUF012
    cleared_crashes: list[Crash] = []  # noqa: RUF012
    rollouts: list[RolloutReport] = []  # noqa: RUF012
    rollout_outcomes: list[OutcomeReport] = []  # noqa: RUF012
    has_lost_rows: bool = False
    rate_limits: list[RateLimitReport] = []  # noqa: RUF012
    is_cut_off: bool = False
    leaving_targets: list[LeavingReport] = []  # noqa: RUF012

    def find_sent_at(self) -> float | None:
        """Return when it was sent, in seconds by its sender's clock.

        Return nothing if it doesn't say so.
        """
        sent_at = self.row_versions.get(SENT_AT)
        return None if sent_at is None else sent_at / _US_PER_S

    def list_returns(self) -> dict[str, float]:
        """Return for how long evacuations have ended, by data centre."""
        return {
            name.removeprefix(_RETURNED): max(0.0, age / _US_PER_S)
            for name, age in self.row_versions.items()
            if name.startswith(_RETURNED)
        }

    def list_assumed_announcements(self) -> list[AnnouncementReport]:
        """Return the announcements that no VM is known to have observed."""
        reports = []
        for name, age in self.row_versions.items():
            if not name.startswith(_ASSUMED_ANNOUNCEMENT):
                continue
            parts = name.removeprefix(_ASSUMED_ANNOUNCEMENT)
            number, _, model = parts.partition('/')
            version = parse_number(number)
            if version is not None:
                seconds = max(0.0, age / _US_PER_S)
                reports.append(AnnouncementReport(model, version, seconds))
        return reports

    def find_progress(self, table: str) -> TableProgress | None:
        """Return which changes of a table its sender knows.

        Return nothing if it doesn't say so.
        """
        complete_version = self.row_versions.get(table + _COMPLETE)
        if complete_version is None:
            return None
        age = self.row_versions.get(table + _AGE)
        return TableProgress(
            self.row_versions.get(table, 0),
            complete_version,
            math.inf if age is None else age / _US_PER_S,
        )


def encode_sent_at(now: float) -> int:
    """Return a time by this VM's clock as a message has it."""
    return round(now * _US_PER_S)


def encode_progress(table: str, progress: TableProgress) -> dict[str, int]:
    """Return the row versions that state what a VM knows of a table."""
    versions = {
        table: progress.changed_version,
        table + _COMPLETE: progress.complete_version,
    }
    if math.isfinite(progress.age):
        versions[table + _AGE] = round(progress.age * _US_PER_S)
    return versions


def encode_returns(ages: dict[str, float]) -> dict[str, int]:
    """Return the row versions that state how long evacuations have ended.

    No table has such a name, so a VM that doesn't know it ignores it.
    """
    return {
        _RETURNED + name: round(age * _US_PER_S) for name, age in ages.items()
    }


def encode_assumed_announcements(
    reports: list[AnnouncementReport],
) -> dict[str, int]:
    """Return the row versions that state announcements nobody observed.

    No table has such a name, so a VM that doesn't know it ignores it.
    """
    return {
        f'{_ASSUMED_ANNOUNCEMENT}{r.version}/{r.model}': round(
            r.age * _US_PER_S
        )
        for r in reports
    }


def delay_progress(
    row_versions: dict[str, int], delay: float
) -> dict[str, int]:
    """Return row versions that were ``delay`` seconds on their way."""
    added = round(delay * _US_PER_S)
    return {
        name: value + added if _is_age(name) else value
        for name, value in row_versions.items()
    }


def _is_age(name: str) -> bool:
    return name.endswith(_AGE) or name.startswith(
        (_RETURNED, _ASSUMED_ANNOUNCEMENT)
    )


class RelayedRow(PositionalRecord, frozen=True):
    """A row of the store as a hub read it."""

    key: str
    value: bytes
    row_version: int
    is_deleted: bool


class RelayedRows(PositionalRecord, frozen=True):
    """All changes of a table after a version, up to ``store_version``.

    ``previous_version`` is the version of the last change that the sender
    knew until then. The rows may have been written ``unread_for`` seconds
    before it sends them; earlier builds state 0 for less than about a second.
    """

    node: str
    table: str
    previous_version: int
    store_version: int
    rows: list[RelayedRow]
    unread_for: float = 0.0


class RowRequest(PositionalRecord, frozen=True):
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
# A compressed message: this kind, then the compressed bytes of another.
_COMPRESSED = b'z'


def encode(message: Message) -> bytes:
    """Return a message as bytes: its kind, then msgpack."""
    return _kinds[type(message)] + _encoder.encode(message)


def encode_compressed(message: Message) -> bytes:
    """Return a message as bytes that VMs of older builds can't read."""
    return _COMPRESSED + compress(encode(message))


def decode(data: bytes) -> Message:
    """Return the message in a datagram; raises ``BadMessageError``."""
    try:
        if data[:1] == _COMPRESSED:
            data = decompress(data[1:])
    except BadCompressionError as error:
        raise BadMessageError(str(error)) from error
    decoder = _decoders.get(data[:1])
    if decoder is None:
        raise BadMessageError('unknown kind of message')
    try:
        message = decoder.decode(data[1:])
        if isinstance(message, GossipMessage):
            _check_values(message)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise BadMessageError(str(error)) from error
    return message


def _check_values(message: GossipMessage) -> None:
    """Raise ``ValueError`` for values that no VM sends.

    They would make it impossible to send messages or to sum their values.
    """
    _check_host(message.host)
    total = message.power + sum(message.admitted_tokens.values())
    total += sum(r.age + (r.limit or 0.0) for r in message.rate_limits)
    if not math.isfinite(total):
        raise ValueError('a number is not finite')


@functools.lru_cache(maxsize=1024)
def _check_host(host: str) -> None:
    ipaddress.ip_address(host)


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
    'AnnouncementReport',
    'BadMessageError',
    'decode',
    'delay_progress',
    'encode',
    'encode_compressed',
    'encode_assumed_announcements',
    'encode_progress',
    'encode_returns',
    'encode_sent_at',
    'GossipMessage',
    'LeavingReport',
    'LoadReport',
    'Message',
    'OutcomeReport',
    'PrefillReport',
    'RateLimitReport',
    'RelayedRow',
    'RelayedRows',
    'RolloutReport',
    'RowRequest',
    'Scope',
    'SENT_AT',
    'StoredSegmentReport',
    'WeightsLoadReport',
    'WeightsVersionReport',
]
