"""Requests under which targets crash."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from .messages import CrashReport
from .recent import discard_expired
from .recent import Origin
from .recent import RecentReports

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..decisions.facts import Target

# A request under which so many targets broke off is not tried again.
_LIMIT = 3
_MEMORY_S = 60.0


class _Record(NamedTuple):
    """The targets that broke off under a request, since a time."""

    targets: set[str]
    since: float


class CrashTracker:
    """Counts the targets that broke off under a request, at any VM.

    A request that crashes its targets does so at each of them: one that
    broke off twice at the same start of a target counts once, and one that
    was answered is cleared.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self.recent: RecentReports[CrashReport] = RecentReports(clock)

    def record_crash(self, fingerprint: bytes, target: Target) -> None:
        """Note that an attempt broke off after it was sent."""
        start = f'{target.incarnation}/{target.started_at_ms}'
        self._add(CrashReport(fingerprint.hex(), start), Origin.OWN)

    def _add(self, news: CrashReport, origin: Origin) -> None:
        if not self.recent.add(news, origin):
            return
        self._forget_old()
        now = self._clock.now()
        record = self._records.setdefault(
            news.fingerprint, _Record(set(), now)
        )
        record.targets.add(news.target_start)

    def receive(self, news: list[CrashReport], origin: Origin) -> None:
        """Take what other VMs saw."""
        for item in news:
            self._add(item, origin)

    def clear(self, fingerprint: bytes) -> None:
        """Note that a target answered a request."""
        self._records.pop(fingerprint.hex(), None)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request must not run any more."""
        self._forget_old()
        found = self._records.get(fingerprint.hex())
        return found is not None and len(found.targets) >= _LIMIT

    def _forget_old(self) -> None:
        oldest = self._clock.now() - _MEMORY_S
        discard_expired(self._records, lambda record: record.since <= oldest)


__all__ = [
    'CrashTracker',
]
