"""Outcomes of the attempts in roll-outs, and the verdict on new versions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.rolloutverdict import Fate
from ..decisions.rolloutverdict import find_fault
from ..decisions.rolloutverdict import is_doubtful
from .rolloutledger import OutcomeReporter
from .rolloutstate import find_unresolved

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..coordination.clock import Clock
    from ..decisions.rolloutverdict import Outcome
    from .messages import OutcomeReport
    from .peers import Peers
    from .recent import Origin
    from .rolloutstate import Rollout
    from .targetstate import TargetState

# A later build may report others, which are left out.
_FATES = frozenset(Fate)


class RolloutOutcomes:
    """Collects the outcomes that this VM and others report."""

    def __init__(
        self,
        node: str,
        clock: Clock,
        peers: Peers,
        by_service: Mapping[str, Rollout],
    ) -> None:
        """Add outcomes to the roll-outs ``by_service``."""
        self._clock = clock
        self._peers = peers
        self._by_service = by_service
        self.reporter = OutcomeReporter(node, clock)

    def record(
        self, state: TargetState, number: int, outcome: Outcome
    ) -> None:
        """Record and report how an attempt of this VM ended."""
        service = state.target.service
        rollout = find_unresolved(self._by_service, service)
        if rollout is None:
            self.reporter.remember(service, outcome)
            return
        is_new = state.target.software_version == rollout.version
        report = self.reporter.report(
            service, rollout.order.row_version, number, outcome, is_new
        )
        if report is not None:
            rollout.ledger.add(report, self._clock.now())
            if is_new:
                self._peers.request_send()
        if not is_new:
            self.reporter.remember(service, outcome)

    def add(self, report: OutcomeReport, origin: Origin) -> None:
        """Add the outcome that another VM reports."""
        if not self.reporter.recent.add(report, origin):
            return
        rollout = self._by_service.get(report.service)
        if report.fate not in _FATES:
            return
        if rollout is not None and rollout.order.row_version == report.order:
            rollout.ledger.add(report, self._clock.now())

    def is_trial_target(self, state: TargetState) -> bool:
        """Return whether a target has a version that is being rolled out."""
        rollout = find_unresolved(self._by_service, state.target.service)
        return (
            rollout is not None
            and state.target.software_version == rollout.version
        )

    def find_fault(self, rollout: Rollout) -> str:
        """Return why the new version is bad; empty if nothing shows it."""
        return find_fault(
            rollout.ledger.list_new(),
            self._list_old(rollout),
            self._clock.now(),
        )

    def is_doubtful(self, rollout: Rollout) -> bool:
        """Return whether the new version may be bad."""
        return is_doubtful(rollout.ledger.list_new(), self._list_old(rollout))

    def _list_old(self, rollout: Rollout) -> list[Outcome]:
        remembered = self.reporter.list_remembered(rollout.order.service)
        own = [o for o in remembered if o.at < rollout.known_at]
        return own + rollout.ledger.list_old()


__all__ = ['RolloutOutcomes']
