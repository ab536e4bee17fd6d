"""Detection of requests and prompt segments that crash targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.quarantine import Crash
from ..decisions.quarantine import list_segments
from ..decisions.quarantine import Quarantine
from ..decisions.quarantine import Suspect
from ..decisions.quarantine import SuspectKind
from ..decisions.quarantine import Verdict
from .recent import Origin
from .recent import RecentReports

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..coordination.clock import Clock
    from ..decisions.facts import Target
    from .call import Call
    from .logs import Log


def list_suspects(call: Call) -> list[Suspect]:
    """Return what a target may crash under as it runs a call."""
    request = Suspect(SuspectKind.REQUEST, call.fingerprint.hex())
    return [request, *list_segments(call.prompt)]


class CrashTracker:
    """The quarantine of this VM, which all VMs' crashes and responses make.

    ``recent`` and ``recent_cleared`` hold what goes into messages.
    """

    def __init__(self, clock: Clock, log: Log) -> None:
        self._clock = clock
        self._log = log
        self._quarantine = Quarantine()
        self.recent: RecentReports[Crash] = RecentReports(clock)
        self.recent_cleared: RecentReports[Crash] = RecentReports(clock)

    def record_crash(
        self, suspects: Sequence[Suspect], target: Target
    ) -> None:
        """Record an attempt with ``suspects`` at which a target crashed."""
        start = f'{target.incarnation}/{target.started_at_ms}'
        self.receive([Crash(s, start) for s in suspects], Origin.OWN)

    def receive(self, crashes: list[Crash], origin: Origin) -> None:
        """Record the crashes that a VM reports."""
        for crash in crashes:
            if not self.recent.add(crash, origin):
                continue
            if self._quarantine.record_crash(crash, self._clock.now()):
                self._write('quarantine_began', crash)

    def record_response(self, suspects: Sequence[Suspect]) -> None:
        """Record that a target responded to an attempt with ``suspects``."""
        now = self._clock.now()
        cleared = self._quarantine.record_response(suspects, now)
        self.receive_cleared(cleared, Origin.OWN)

    def receive_cleared(self, crashes: list[Crash], origin: Origin) -> None:
        """Clear the crashes that a VM reports as followed by a response."""
        for crash in crashes:
            if not self.recent_cleared.add(crash, origin):
                continue
            if self._quarantine.clear(crash, self._clock.now()):
                self._write('quarantine_ended', crash)

    def repeat_reports(self) -> None:
        """Report all crashes that count again, as a VM has started."""
        for crash in self._quarantine.list_crashes(self._clock.now()):
            self.recent.add(crash, Origin.OWN)

    def is_quarantined(self, suspects: Sequence[Suspect]) -> bool:
        """Return whether a request must not be sent to targets now."""
        now = self._clock.now()
        return self._quarantine.judge(suspects, now) is Verdict.REFUSE

    def record_attempt(self, suspects: Sequence[Suspect]) -> None:
        """Record that a request which is not quarantined is sent."""
        now = self._clock.now()
        if self._quarantine.judge(suspects, now) is Verdict.TRIAL:
            self._quarantine.begin_trial(suspects, now)

    def _write(self, event: str, crash: Crash) -> None:
        suspect = crash.suspect
        self._log.write(
            event,
            kind=suspect.kind.name.lower(),
            suspect=suspect.identity,
            target=crash.target_start,
        )


__all__ = [
    'CrashTracker',
    'list_suspects',
]
