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
    from collections.abc import Callable
    from collections.abc import Sequence

    from ..coordination.clock import Clock
    from ..decisions.facts import Target
    from ..decisions.quarantine import CrashHistory
    from .call import Call
    from .logs import Log


def list_suspects(call: Call) -> list[Suspect]:
    """Return what a target may crash under as it runs a call."""
    request = Suspect(SuspectKind.REQUEST, call.fingerprint.hex())
    return [request, *list_segments(call.prompt)]


def _name_start(target: Target) -> str:
    """Return a name that differs between two starts of a target."""
    return f'{target.incarnation}/{target.started_at_ms}'


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
        # Called with a suspect whose crashes changed, and where they did.
        self.on_change: list[Callable[[Suspect, Origin], None]] = []

    def record_crash(
        self, suspects: Sequence[Suspect], target: Target, sent_at: float
    ) -> None:
        """Record an attempt with ``suspects`` at which a target crashed.

        The attempt began at ``sent_at``.
        """
        start = _name_start(target)
        for suspect in suspects:
            self._add(Crash(suspect, start), Origin.OWN, sent_at)

    def receive(self, crashes: list[Crash], origin: Origin) -> None:
        """Record the crashes that another VM reports.

        One that was cleared does not count again. The other VM may have
        started since then, and would count it alone.
        """
        now = self._clock.now()
        for crash in crashes:
            if self._quarantine.is_cleared(crash, now):
                self.recent_cleared.add(crash, Origin.OWN)
            self._add(crash, origin, None)

    def _add(
        self, crash: Crash, origin: Origin, sent_at: float | None
    ) -> None:
        if not self.recent.add(crash, origin):
            return
        if self._quarantine.record_crash(crash, self._clock.now(), sent_at):
            self._write('quarantine_began', crash)
        self._notify(crash.suspect, origin)

    def _notify(self, suspect: Suspect, origin: Origin) -> None:
        for callback in self.on_change:
            callback(suspect, origin)

    def record_response(
        self, suspects: Sequence[Suspect], target: Target, sent_at: float
    ) -> None:
        """Record that a target responded to an attempt with ``suspects``.

        The attempt began at ``sent_at``.
        """
        now = self._clock.now()
        cleared = self._quarantine.record_response(suspects, now)
        cleared += self._quarantine.list_refuted(
            _name_start(target), sent_at, now
        )
        self.receive_cleared(cleared, Origin.OWN)

    def receive_cleared(self, crashes: list[Crash], origin: Origin) -> None:
        """Clear the crashes that a VM reports as followed by a response."""
        for crash in crashes:
            if not self.recent_cleared.add(crash, origin):
                continue
            if self._quarantine.clear(crash, self._clock.now()):
                self._write('quarantine_ended', crash)
            self._notify(crash.suspect, origin)

    def find_history(self, suspect: Suspect) -> CrashHistory | None:
        """Return the crashes under a suspect that count, if any do."""
        return self._quarantine.find_history(suspect, self._clock.now())

    def restore(self, suspect: Suspect, history: CrashHistory) -> None:
        """Record crashes that were saved before this process started."""
        now = self._clock.now()
        if self._quarantine.restore(suspect, history, now):
            self._log.write(
                'crashes_restored',
                kind=suspect.kind.name.lower(),
                suspect=suspect.identity,
                targets=history.target_starts,
                age=round(now - history.crashed_at, 3),
            )

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
