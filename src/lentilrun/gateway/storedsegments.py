"""The prompt segments that KV cache stores are assumed to hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import StoredSegmentReport
from .recent import discard_expired
from .recent import Origin
from .recent import RecentReports

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..decisions.facts import Prompt

# A store evicts the least recently used segments, so a segment is saved
# again once it was saved this long ago.
_SAVED_TTL_S = 20.0
# Segments of fewer tokens do not justify a transfer of the whole prompt.
_MIN_SAVED_TOKENS = 100


class StoredSegments:
    """Records the segments that any VM made an engine save, by salt."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._saved_at: dict[StoredSegmentReport, float] = {}
        self.recent: RecentReports[StoredSegmentReport] = RecentReports(clock)

    def needs_save(self, salt: str, prompt: Prompt) -> bool:
        """Return whether a store may lack shared segments of a prompt."""
        self._discard_expired()
        return not self.has_all(salt, prompt)

    def has_all(self, salt: str, prompt: Prompt) -> bool:
        """Return whether a store is assumed to hold all shared segments.

        Segments of fewer than ``_MIN_SAVED_TOKENS`` tokens do not count.
        """
        return all(
            s in self._saved_at for s in _list_shared_segments(salt, prompt)
        )

    def record_save(self, salt: str, prompt: Prompt) -> None:
        """Record that an engine saves the shared segments of a prompt."""
        for report in _list_shared_segments(salt, prompt):
            self._add(report, Origin.OWN)

    def _add(self, report: StoredSegmentReport, origin: Origin) -> None:
        self.recent.add(report, origin)
        self._saved_at.setdefault(report, self._clock.now())

    def receive(
        self, reports: list[StoredSegmentReport], origin: Origin
    ) -> None:
        """Record the segments that other VMs made engines save."""
        for report in reports:
            self._add(report, origin)

    def _discard_expired(self) -> None:
        expired_before = self._clock.now() - _SAVED_TTL_S
        discard_expired(self._saved_at, lambda at: at <= expired_before)


def _list_shared_segments(
    salt: str, prompt: Prompt
) -> list[StoredSegmentReport]:
    """Return the shared segments of a prompt that are large enough."""
    return [
        StoredSegmentReport(salt, s.identity)
        for s in prompt.segments[:-1]
        if s.tokens >= _MIN_SAVED_TOKENS
    ]


__all__ = [
    'StoredSegments',
]
