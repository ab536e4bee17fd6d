"""The announced versions of a model's weights, and how old they are."""

from __future__ import annotations

import enum
from typing import NamedTuple

# Number of announcements that are kept for a model.
_MAX_ANNOUNCEMENTS = 32
# Number of announcements of a model that a message reports.
_MAX_REPORTED_ANNOUNCEMENTS = 12
# Reports of the same observation differ by the time that messages take.
_MIN_CORRECTION_S = 0.02


class AgeBasis(enum.StrEnum):
    """What the age of an announcement is based on when its row is applied.

    ``OBSERVED``: the rows were read without a break. ``BEFORE_START``: the
    row was there when this process first read them. ``UNREAD``: none were
    read for a time.
    """

    OBSERVED = 'observed'
    BEFORE_START = 'before_start'
    UNREAD = 'unread'


class AnnouncementAge(NamedTuple):
    """The largest age that an announcement may have, in seconds."""

    seconds: float
    basis: AgeBasis


class AnnouncedVersion(NamedTuple):
    """A version that was announced, at the earliest at ``announced_at``.

    The time is in seconds by the clock. ``is_assumed`` if no VM read the
    row without a break.
    """

    version: int
    announced_at: float
    is_assumed: bool = False


class AnnouncedWeights:
    """The announced versions of one model's weights, oldest first."""

    def __init__(self, first: AnnouncedVersion) -> None:
        self._announcements = [first]

    @property
    def newest_version(self) -> int:
        """Return the newest version."""
        return self._announcements[-1].version

    def add(self, announcement: AnnouncedVersion) -> bool:
        """Add a version; return whether it is newer than all others."""
        if announcement.version <= self.newest_version:
            return False
        self._announcements.append(announcement)
        del self._announcements[:-_MAX_ANNOUNCEMENTS]
        return True

    def correct(self, reported: AnnouncedVersion) -> bool:
        """Apply a time that another VM or a row of the store states.

        Return whether it changed anything. The earliest observed time of a
        version counts, else the earliest assumed one. Versions that this VM
        missed are added, those above the newest are ignored.
        """
        if reported.version > self.newest_version:
            return False
        known = [
            a for a in self._announcements if a.version == reported.version
        ]
        if any(not _is_better(reported, a) for a in known):
            return False
        others = [a for a in self._announcements if a not in known]
        announcements = sorted([*others, reported])
        self._announcements = announcements[-_MAX_ANNOUNCEMENTS:]
        return reported in self._announcements

    def list_newest(self, is_assumed: bool) -> list[AnnouncedVersion]:
        """Return the newest versions whose time is observed, or assumed."""
        listed = [a for a in self._announcements if a.is_assumed == is_assumed]
        return listed[-_MAX_REPORTED_ANNOUNCEMENTS:]

    def replaced_at(self, version: int) -> float | None:
        """Return when the first newer version was announced, if any was."""
        newer = [
            a.announced_at for a in self._announcements if a.version > version
        ]
        return min(newer, default=None)


def _is_better(reported: AnnouncedVersion, known: AnnouncedVersion) -> bool:
    """Return whether a time of the same version is to replace another."""
    if reported.is_assumed != known.is_assumed:
        return known.is_assumed
    return known.announced_at - reported.announced_at >= _MIN_CORRECTION_S


__all__ = [
    'AgeBasis',
    'AnnouncedVersion',
    'AnnouncedWeights',
    'AnnouncementAge',
]
