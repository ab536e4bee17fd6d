"""What VMs tell each other, and how it goes over the wire."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from ..decisions.facts import PromptSegment
from ..errors import LentilrunError


class Scope(enum.Enum):
    """Whose doings a message tells: see ``decisions.topology``."""

    OWN = 'own'
    GROUP = 'group'
    REST = 'rest'


class LoadNews(NamedTuple):
    """What the sender runs at a target; tokens, decayed outcomes.

    ``busy_for`` is the time until it is done there, in seconds.
    """

    incarnation: str
    running: int
    long_running: int
    unread: float
    held: float
    busy_for: float
    good: float
    bad: float


class LoadingNews(NamedTuple):
    """A target that loads weights, for ``left`` seconds at the most."""

    incarnation: str
    left: float


class VersionNews(NamedTuple):
    """A version of weights that a target was seen to have."""

    incarnation: str
    model: str
    version: int


class CrashNews(NamedTuple):
    """A start of a target that broke off under a request."""

    fingerprint: str
    target: str


class PartNews(NamedTuple):
    """A part of a prompt that an engine saves in the store of kept cache."""

    salt: str
    identity: str


class ReadNews(NamedTuple):
    """Parts of a prompt that an engine was given to read."""

    incarnation: str
    salt: str
    parts: tuple[PromptSegment, ...]


class Beat(NamedTuple):
    """One message about what VMs in its scope do; tokens by workspace.

    ``told`` is what the senders let in since the start of the process,
    ``used`` what is known that all VMs let in during each second, newest
    first. ``silent`` VMs were not heard by the sender. ``positions`` are
    the versions of the newest rows that it knows of, by table of the
    store; it ``is_blind`` while the store gives it no answers.
    """

    node: str
    scope: Scope
    data_centre: str
    power: float
    host: str
    port: int
    incarnation: int
    is_leaving: bool
    silent: int
    is_blind: bool
    loads: list[LoadNews]
    loading: list[LoadingNews]
    versions: list[VersionNews]
    crashes: list[CrashNews]
    told: dict[str, float]
    used: dict[str, list[int]]
    positions: dict[str, int]
    kept: list[PartNews]
    read: list[ReadNews]


class RowNews(NamedTuple):
    """A row of the store as it was read."""

    key: str
    value: bytes
    version: int
    is_deleted: bool


class RowsNews(NamedTuple):
    """Changes of a table, all up to ``version`` of the store.

    ``before`` is the version of the newest row that the sender had.
    """

    node: str
    table: str
    before: int
    version: int
    rows: list[RowNews]


class BadMessageError(LentilrunError):
    """A message that can't be read."""


_encoder = msgspec.msgpack.Encoder()
_beat_decoder = msgspec.msgpack.Decoder(Beat)
_rows_decoder = msgspec.msgpack.Decoder(RowsNews)
_BEAT = b'b'
_ROWS = b'r'


def encode(message: Beat | RowsNews) -> bytes:
    """Return a message as it goes over the wire."""
    kind = _BEAT if isinstance(message, Beat) else _ROWS
    return kind + _encoder.encode(message)


def decode(data: bytes) -> Beat | RowsNews:
    """Read a message; raises ``BadMessageError``."""
    decoder = _decoders.get(data[:1])
    if decoder is None:
        raise BadMessageError('unknown kind of message')
    try:
        return decoder.decode(data[1:])
    except msgspec.MsgspecError as error:
        raise BadMessageError(str(error)) from error


_decoders: dict[
    bytes, msgspec.msgpack.Decoder[Beat] | msgspec.msgpack.Decoder[RowsNews]
] = {_BEAT: _beat_decoder, _ROWS: _rows_decoder}

__all__ = [
    'BadMessageError',
    'Beat',
    'CrashNews',
    'decode',
    'encode',
    'LoadingNews',
    'LoadNews',
    'PartNews',
    'ReadNews',
    'RowNews',
    'RowsNews',
    'Scope',
    'VersionNews',
]
