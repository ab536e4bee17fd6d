"""Progress of moves, as stored in the table and tracked by each daemon."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..config.configuration import TargetKind
from ..errors import PlatformError
from ..routing.pool import TargetGroup

if TYPE_CHECKING:
    from ..config.configuration import Configuration
    from ..config.configuration import Move

KEY_PREFIX = 'moves/'


class Stage(enum.StrEnum):
    """The stage of a move."""

    PROVING = 'proving'
    ROLLING = 'rolling'
    DONE = 'done'
    ROLLED_BACK = 'taken_back'


class Progress(NamedTuple):
    """A move's row: its stage, the share of traffic and the reason.

    ``stage_began`` and ``began`` are in seconds since 1970.
    """

    name: str
    model: str
    version: str
    stage: Stage
    share: float
    reason: str
    began: float
    stage_began: float

    def is_rolled_back(self) -> bool:
        """Return whether the version was rolled back, which is final."""
        return self.stage is Stage.ROLLED_BACK


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Progress)


def encode_progress(progress: Progress) -> bytes:
    """Return the progress of a move as a row's value."""
    return _encoder.encode(progress)


def decode_progress(value: bytes) -> Progress:
    """Return the progress in a row's value.

    Raises ``PlatformError`` if the value is malformed.
    """
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise PlatformError('the row of a move is malformed') from error


def make_progress_key(move: Move) -> str:
    """Return the row key of a move, made of its model and version."""
    return f'{KEY_PREFIX}{move.model}/{move.version}'


class VersionSplit(NamedTuple):
    """Targets of a model by version, and the new version's traffic share."""

    old: tuple[TargetGroup, ...]
    new: TargetGroup | None
    share: float


class MoveTracker:
    """The moves that this daemon knows, and the versions that it banned."""

    def __init__(self) -> None:
        self._moves: dict[str, Move] = {}
        # Models each of whose targets gets an order to load a version.
        self._loaded_by_order: frozenset[str] = frozenset()
        self._progress: dict[tuple[str, str], Progress] = {}
        self._banned: dict[tuple[str, str], str] = {}
        self._credit: dict[tuple[str, str], float] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the moves of a configuration."""
        self._moves = {m.model: m for m in configuration.moves.values()}
        self._loaded_by_order = frozenset(
            m.name
            for m in configuration.models.values()
            if m.kind is TargetKind.MODEL
        )

    def set_progress(self, updates: list[Progress]) -> None:
        """Apply rows of the table; a banned version stays banned."""
        for progress in updates:
            key = (progress.model, progress.version)
            self._progress[key] = progress
            if progress.is_rolled_back():
                self._banned.setdefault(key, progress.reason)

    def find_move(self, model: str) -> Move | None:
        """Return the move of a model, or nothing."""
        return self._moves.get(model)

    def list_moves(self) -> list[Move]:
        """Return all moves."""
        return list(self._moves.values())

    def find_progress(self, move: Move) -> Progress | None:
        """Return the progress of a move, or nothing if none was read."""
        return self._progress.get((move.model, move.version))

    def ban(self, model: str, version: str, reason: str) -> bool:
        """Ban a version, which is final; return if it was not banned yet."""
        if (model, version) in self._banned:
            return False
        self._banned[model, version] = reason
        return True

    def find_ban_reason(self, model: str, version: str) -> str:
        """Return the reason a version is banned, or an empty string."""
        return self._banned.get((model, version), '')

    def list_bans(self) -> dict[tuple[str, str], str]:
        """Return the reasons of all bans by model and version."""
        return dict(self._banned)

    def split_by_version(
        self, model: str, groups: dict[str, TargetGroup]
    ) -> VersionSplit:
        """Return a model's targets, without those on banned versions."""
        move = self._moves.get(model)
        usable = {
            v: g for v, g in groups.items() if (model, v) not in self._banned
        }
        if move is None:
            return VersionSplit(tuple(usable.values()), None, 0.0)
        new = usable.pop(move.version, None)
        progress = self.find_progress(move)
        share = progress.share if progress is not None else move.share
        if new is not None and model in self._loaded_by_order:
            # While targets still load the version, its traffic share is at
            # most its share of targets; too few would make it look slow.
            total = len(new.names) + sum(len(g.names) for g in usable.values())
            share = min(share, len(new.names) / total)
        return VersionSplit(tuple(usable.values()), new, share)

    def pick_new_version(
        self, model: str, route: str, split: VersionSplit
    ) -> bool:
        """Return whether the next request goes to the new version.

        Requests are counted rather than drawn at random, so that no run
        of requests exceeds the new version's share.
        """
        if split.new is None:
            return False
        if not split.old:
            return True
        credit = self._credit.get((model, route), 0.0) + split.share
        is_new = credit >= 1.0
        self._credit[model, route] = credit - 1.0 if is_new else credit
        return is_new


__all__ = [
    'decode_progress',
    'encode_progress',
    'KEY_PREFIX',
    'make_progress_key',
    'MoveTracker',
    'Progress',
    'Stage',
    'VersionSplit',
]
