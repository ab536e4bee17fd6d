"""The announced versions of a model's weights, and how old they are."""

from __future__ import annotations

import enum
from typing import NamedTuple

# Number of announcements that are kept for a model.
_MAX_ANNOUNCEMENTS = 32
# Number of announcements of a model that a message reports.
_MAX_REPORTED_ANNOUNCEMENTS = 4
# Reports of the same observation differ by the time that messages take.
_MIN_CORRECTION_S = 0.02


class AgeBasis(enum.StrEnum):
    """What the age of an announcement is based on when its row is applied.

    The rows were read without a break, the row was written before this
    process first read them, or while none were read.
    """

    OBSERVED = 'observed'
    BEFORE_START = 'before_start'
    UNREAD = 'unread'


class AnnouncementAge(NamedTuple):
    """The largest age that an announcement may have, in seconds."""

    seconds: float
    basis: AgeBasis


class AnnouncedVersion(NamedTuple):
    """A version that was announced; ``announced_at`` in s by the clock.

    The time is only assumed, as the earliest one, if the announcement was
    older than the process or this VM had not read the store for a time.
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

    def correct(self, observed: AnnouncedVersion) -> bool:
        """Apply the time that another VM observed; return if it counts.

        The earliest observed time of a version counts, and versions that
        this VM missed are added. Versions above the newest are ignored.
        """
        if observed.version > self.newest_version:
            return False
        known = [
            a for a in self._announcements if a.version == observed.version
        ]
        if any(
            not a.is_assumed
            and a.announced_at - observed.announced_at < _MIN_CORRECTION_S
            for a in known
        ):
            return False
        others = [a for a in self._announcements if a not in known]
        announcements = sorted([*others, observed])
        self._announcements = announcements[-_MAX_ANNOUNCEMENTS:]
        return True

    def list_observed(self) -> list[AnnouncedVersion]:
        """Return the newest versions whose time was observed by a VM."""
        observed = [a for a in self._announcements if not a.is_assumed]
        return observed[-_MAX_REPORTED_ANNOUNCEMENTS:]

    def replaced_at(self, version: int) -> float | None:
        """Return when the first newer version was announced, if any was."""
        newer = [
            a.announced_at for a in self._announcements if a.version > version
        ]
        return min(newer, default=None)


__all__ = [
    'AgeBasis',
    'AnnouncedVersion',
    'AnnouncedWeights',
    'AnnouncementAge',
]
