"""How far each move is, as kept in the table and seen by every daemon."""

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
    """Where a move stands."""

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
        """Return whether the version was taken back, for good."""
        return self.stage is Stage.ROLLED_BACK


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Progress)


def encode_progress(progress: Progress) -> bytes:
    """Return a row's value."""
    return _encoder.encode(progress)


def decode_progress(value: bytes) -> Progress:
    """Return the progress in a row's value."""
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise PlatformError('a move row holds no progress') from error


def make_progress_key(move: Move) -> str:
    """Return a move's row key: the same for a model and version."""
    return f'{KEY_PREFIX}{move.model}/{move.version}'


class VersionSplit(NamedTuple):
    """Targets of a model by version, and the new version's share."""

    old: tuple[TargetGroup, ...]
    new: TargetGroup | None
    share: float


class MoveTracker:
    """The moves as this daemon sees them, and versions it cut off."""

    def __init__(self) -> None:
        self._moves: dict[str, Move] = {}
        # Models whose versions are loaded by order, target by target.
        self._loaded: frozenset[str] = frozenset()
        self._progress: dict[tuple[str, str], Progress] = {}
        self._banned: dict[tuple[str, str], str] = {}
        self._credit: dict[tuple[str, str], float] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the moves of a configuration."""
        self._moves = {m.model: m for m in configuration.moves.values()}
        self._loaded = frozenset(
            m.name
            for m in configuration.models.values()
            if m.kind is TargetKind.MODEL
        )

    def set_progress(self, found: list[Progress]) -> None:
        """Take what the table says; a version once banned stays so."""
        for progress in found:
            key = (progress.model, progress.version)
            self._progress[key] = progress
            if progress.is_rolled_back():
                self._banned.setdefault(key, progress.reason)

    def find_move(self, model: str) -> Move | None:
        """Return the move of a model."""
        return self._moves.get(model)

    def list_moves(self) -> list[Move]:
        """Return all moves."""
        return list(self._moves.values())

    def find_progress(self, move: Move) -> Progress | None:
        """Return how far a move is, if that was ever read."""
        return self._progress.get((move.model, move.version))

    def ban(self, model: str, version: str, reason: str) -> bool:
        """Cut a version off for good; return if that is news."""
        if (model, version) in self._banned:
            return False
        self._banned[model, version] = reason
        return True

    def find_ban_reason(self, model: str, version: str) -> str:
        """Return why a version is cut off, or nothing."""
        return self._banned.get((model, version), '')

    def list_bans(self) -> dict[tuple[str, str], str]:
        """Return all versions that are cut off."""
        return dict(self._banned)

    def split_by_version(
        self, model: str, groups: dict[str, TargetGroup]
    ) -> VersionSplit:
        """Return a model's targets without those cut off."""
        move = self._moves.get(model)
        usable = {
            v: g for v, g in groups.items() if (model, v) not in self._banned
        }
        if move is None:
            return VersionSplit(tuple(usable.values()), None, 0.0)
        new = usable.pop(move.version, None)
        progress = self.find_progress(move)
        share = progress.share if progress is not None else move.share
        if new is not None and model in self._loaded:
            # Targets still load the version: its share must not outrun
            # them, or it looks slow for want of targets alone.
            total = len(new.names) + sum(len(g.names) for g in usable.values())
            share = min(share, len(new.names) / total)
        return VersionSplit(tuple(usable.values()), new, share)

    def pick_new_version(
        self, model: str, route: str, split: VersionSplit
    ) -> bool:
        """Return whether the next request is the new version's.

        Counts, so that no stretch of requests holds more than its share.
        """
        if split.new is None:
            return False
        if not split.old:
            return True
        credit = self._credit.get((model, route), 0.0) + split.share
        taken = credit >= 1.0
        self._credit[model, route] = credit - 1.0 if taken else credit
        return taken


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
