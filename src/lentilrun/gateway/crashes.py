"""Detection of requests that crash targets."""

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

# A request is quarantined once attempts were aborted at this many targets.
_QUARANTINE_TARGETS = 3
_RECORD_TTL_S = 60.0


class _Record(NamedTuple):
    """The starts of targets at which attempts of a request were aborted.

    ``since`` is the time of the first, by the clock, in seconds.
    """

    target_starts: set[str]
    since: float


class CrashTracker:
    """Counts the targets at which attempts of a request were aborted.

    The attempts of all VMs count. A request that crashes targets crashes
    each that it is sent to. So repeated aborts at the same start of a
    target count once, and a response from any target clears the request.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self.recent: RecentReports[CrashReport] = RecentReports(clock)

    def record_crash(self, fingerprint: bytes, target: Target) -> None:
        """Record an attempt that was aborted after it was sent."""
        start = f'{target.incarnation}/{target.started_at_ms}'
        self._add(CrashReport(fingerprint.hex(), start), Origin.OWN)

    def _add(self, report: CrashReport, origin: Origin) -> None:
        if not self.recent.add(report, origin):
            return
        self._discard_expired()
        now = self._clock.now()
        record = self._records.setdefault(
            report.fingerprint, _Record(set(), now)
        )
        record.target_starts.add(report.target_start)

    def receive(self, reports: list[CrashReport], origin: Origin) -> None:
        """Record the crashes that other VMs report."""
        for report in reports:
            self._add(report, origin)

    def clear(self, fingerprint: bytes) -> None:
        """Remove the record of a request that a target responded to."""
        self._records.pop(fingerprint.hex(), None)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request must not be sent to targets."""
        self._discard_expired()
        record = self._records.get(fingerprint.hex())
        return (
            record is not None
            and len(record.target_starts) >= _QUARANTINE_TARGETS
        )

    def _discard_expired(self) -> None:
        expired_before = self._clock.now() - _RECORD_TTL_S
        discard_expired(
            self._records, lambda record: record.since <= expired_before
        )


__all__ = [
    'CrashTracker',
]
