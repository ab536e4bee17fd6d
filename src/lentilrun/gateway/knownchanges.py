"""Which changes of a table a VM knows, by the versions of the store.

A statement on changes always covers a range of versions, deletions
included. The version of the newest row says less: a row that was removed
leaves no row behind, so a VM that has read the whole table can't tell what
was removed before.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# Reads of the whole table whose gaps are kept; older changes count as unknown.
_MAX_GAPS = 8


class TableProgress(NamedTuple):
    """What a VM states of the changes of a table that it knows.

    It knows all changes up to ``complete_version``, and of none that was
    made after ``changed_version``. These are all changes that were made until
    ``age`` seconds ago, by a read of the store.
    """

    changed_version: int
    complete_version: int
    age: float = math.inf


class _Gap(NamedTuple):
    """The range of versions that a read of the whole table has covered.

    Rows that were both added and removed in it are unknown.
    """

    start: int
    end: int


class KnownChanges:
    """The ranges of changes of a table that a VM knows.

    ``complete_version`` is the version up to which all changes are known.
    None of them was made after ``changed_version``, and all that were made
    before ``known_at`` are among them, by this VM's clock in seconds.
    """

    def __init__(self) -> None:
        self.complete_version = 0
        self.changed_version = 0
        self.known_at = float('-inf')
        # Before the first read of the table nothing is known.
        self._since: int | None = None
        self._gaps: list[_Gap] = []

    def add_full_read(self, version: int, read_at: float) -> None:
        """Record that all rows were read at a time, as of a version.

        The last change may have been the removal of a row just before.
        """
        if self._since is None:
            self._since = version
        elif version > self.complete_version:
            self._add_gap(_Gap(self.complete_version, version))
        self.complete_version = version
        self.changed_version = version
        self.known_at = max(self.known_at, read_at)

    def _add_gap(self, gap: _Gap) -> None:
        self._gaps.append(gap)
        if len(self._gaps) > _MAX_GAPS:
            self._since = self._gaps.pop(0).end

    def add_changes(
        self, version: int, newest_change: int, read_at: float
    ) -> None:
        """Record all changes up to a version; the last is ``newest_change``.

        They follow on ``complete_version`` without a gap, and are all that
        were made until ``read_at``.
        """
        self.complete_version = max(self.complete_version, version)
        self.changed_version = max(self.changed_version, newest_change)
        self.known_at = max(self.known_at, read_at)

    def add_statement(self, progress: TableProgress, now: float) -> bool:
        """Take over what another VM knows; return false if changes lack.

        If this VM has the last change that the other one knows of, it knows
        all that the other one knows.
        """
        if progress.changed_version > self.complete_version:
            return False
        self.complete_version = max(
            self.complete_version, progress.complete_version
        )
        self.known_at = max(self.known_at, now - progress.age)
        return True

    def covers(self, after: int) -> bool:
        """Return whether all changes after a version are known."""
        if self._since is None or after < self._since:
            return False
        return after <= self.complete_version and not any(
            g.start < after < g.end for g in self._gaps
        )

    def is_divisible(self, after: int) -> bool:
        """Return whether changes after a version can be sent in parts.

        Removals in a gap have the version of its end, so a part of its
        range would lack them.
        """
        return not any(g.end > after for g in self._gaps)


__all__ = ['KnownChanges', 'TableProgress']
