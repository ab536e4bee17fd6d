"""The roll-outs that a VM knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import RolloutReport
from .recent import Origin
from .replacedorders import ReplacedOrders
from .retiredversions import RetiredVersions
from .rollouthandover import Turn
from .rolloutoutcomes import RolloutOutcomes
from .rolloutreports import EarlyReports
from .rolloutreports import has_known_stage
from .rolloutreports import is_handed_over
from .rolloutreports import is_reported
from .rolloutreports import make_report
from .rolloutselection import RolloutSelection
from .rolloutstate import Rollout
from .rolloutstate import Stage

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..decisions.rollouts import ExposureLimits
    from ..platform.rollouts import RolloutOrder
    from .logs import Log
    from .messages import GossipMessage
    from .peers import Peers
    from .targets import Targets


class Rollouts:
    """The newest order of each service, and the versions that are retired.

    A retired version was rolled back or replaced and gets no requests.
    """

    def __init__(
        self,
        node: str,
        clock: Clock,
        targets: Targets,
        peers: Peers,
        limits: ExposureLimits,
        log: Log,
    ) -> None:
        """Keep to ``limits`` in each roll-out."""
        self._clock = clock
        self._targets = targets
        self._peers = peers
        self._log = log
        self.by_service: dict[str, Rollout] = {}
        self.outcomes = RolloutOutcomes(node, clock, peers, self.by_service)
        self._replaced = ReplacedOrders()
        self._retired = RetiredVersions(targets)
        self.retired = self._retired.by_service
        self.selection = RolloutSelection(
            clock, targets, peers, limits, self.by_service, self._retired
        )
        self._early = EarlyReports()
        self.on_order: list[Callable[[], None]] = []
        peers.on_message.append(self.receive)
        peers.on_restart.append(self._forget_peer)

    def apply_order(self, order: RolloutOrder) -> None:
        """Apply an order that operators wrote."""
        current = self.by_service.get(order.service)
        if current is None:
            self._begin(order)
        elif order.row_version <= current.order.row_version:
            return
        elif order.is_repeated(current.order):
            current.replace_order(order)
            self._apply_early_report(order)
        elif self._replaced.is_of_copy(order, current.order):
            self._log_order('rollout_order_of_copy', order)
        else:
            self._replaced.add(current.order)
            self._begin(order)

    def _begin(self, order: RolloutOrder) -> None:
        rollout = Rollout(
            order, self._clock.now(), not self._peers.is_starting()
        )
        self.by_service[order.service] = rollout
        self._retired.discard(order.service, rollout.version)
        self._log_order('rollout_ordered', order)
        self._apply_early_report(order)
        for callback in self.on_order:
            callback()

    def _log_order(self, event: str, order: RolloutOrder) -> None:
        self._log.write(
            event,
            service=order.service,
            to=order.version_name(),
            duration=order.duration,
            row_version=order.row_version,
        )

    def _apply_early_report(self, order: RolloutOrder) -> None:
        early = self._early.pop(order)
        if early is not None:
            self._apply_report(early)

    def set_stage(self, rollout: Rollout, stage: Stage, reason: str) -> None:
        """Record a stage that this VM decided on or read."""
        if stage is rollout.stage or rollout.stage.is_final():
            return
        if rollout.stage is Stage.BANNED and not stage.is_final():
            return
        rollout.stage = stage
        rollout.reason = reason
        rollout.changed_at = self._clock.now()
        self._log.write(
            'rollout_stage',
            service=rollout.order.service,
            to=rollout.version,
            stage=stage.name.lower(),
            reason=reason or None,
            sent=rollout.total,
            sent_to_new=rollout.new,
            responses=len(rollout.ledger.list_new()),
            driver_age=self._compute_driver_age(rollout),
        )
        self._retired.apply_stage(rollout)
        self._targets.notify_changed()
        if not stage.is_running():
            self._peers.request_send()

    def _compute_driver_age(self, rollout: Rollout) -> float | None:
        age = self._clock.now() - rollout.driven_at
        return None if age == float('inf') else round(age, 3)

    def list_retired(self, rollout: Rollout, stage: Stage) -> list[str]:
        """Return the versions that get no requests from a stage on."""
        return self._retired.list_from_stage(rollout, stage)

    def apply_row(
        self,
        service: str,
        order: int,
        version: str,
        stage: Stage,
        reason: str,
        retired: list[str],
    ) -> None:
        """Apply what a VM wrote into the store of an order's progress."""
        rollout = self.by_service.get(service)
        if rollout is None or rollout.order.row_version <= order:
            self._retired.add(service, retired)
        self._apply_report(
            RolloutReport(service, order, version, int(stage), 0, 0, reason)
        )

    def record_driver(self, rollout: Rollout, turn: Turn) -> bool:
        """Record a sign of the VM that drives a roll-out, if it is newer."""
        if turn <= rollout.driver_turn:
            return False
        rollout.driver_turn = turn
        rollout.driven_at = self._clock.now()
        return True

    def set_handed_over(self, rollout: Rollout, is_begun: bool) -> None:
        """Send nothing more to the old version, or go back to the share."""
        if is_begun is rollout.hand_over.is_begun:
            return
        rollout.hand_over.is_begun = is_begun
        self._log.write(
            'rollout_handed_over',
            service=rollout.order.service,
            to=rollout.version,
            is_begun=is_begun,
            old_in_flight=self.count_old_in_flight(rollout),
            driver_age=self._compute_driver_age(rollout),
        )
        self._targets.notify_changed()
        self._peers.request_send()

    def count_unconfirmed(self, rollout: Rollout, since: Turn) -> int:
        """Return the VMs that may send to the old version, as far as known.

        In a large fleet, most VMs don't report to this one.
        """
        peers = self._peers
        names = peers.list_responsive() if peers.is_mesh() else peers.by_name
        return rollout.hand_over.count_missing(names, since)

    def _forget_peer(self, name: str) -> None:
        for rollout in self.by_service.values():
            rollout.hand_over.forget(name)

    def judge(self, rollout: Rollout) -> None:
        """Ban the new version if the outcomes show that it is bad."""
        if not rollout.ledger.has_changed or not rollout.stage.is_running():
            return
        rollout.ledger.has_changed = False
        reason = self.outcomes.find_fault(rollout)
        if reason:
            self.set_stage(rollout, Stage.BANNED, reason)

    def count_old_in_flight(self, rollout: Rollout) -> int:
        """Return the requests of all VMs at targets of other versions."""
        now = self._clock.now()
        return sum(
            s.count_in_flight(now)
            for s in self._targets.list_of_service(rollout.order.service)
            if s.target.software_version != rollout.version
        )

    # -- Messages.

    def export(self, is_driver: bool) -> list[RolloutReport]:
        """Return the reports for a message of the driving VM or another."""
        passes_on = is_driver or (
            not self._peers.is_mesh() and self._peers.is_hub()
        )
        now = self._clock.now()
        return [
            make_report(rollout)
            for rollout in self.by_service.values()
            if is_reported(rollout, now, passes_on)
        ]

    def receive(self, message: GossipMessage) -> None:
        """Apply the reports of another VM."""
        for report in message.rollouts:
            self._record_confirmation(report, message.node)
            self._apply_report(report)
        is_local = message.data_centre == self._peers.own_member.data_centre
        origin = Origin.LOCAL if is_local else Origin.REMOTE
        for outcome in message.rollout_outcomes:
            self.outcomes.add(outcome, origin)

    def _record_confirmation(self, report: RolloutReport, node: str) -> None:
        rollout = self.by_service.get(report.service)
        if (
            rollout is not None
            and rollout.order.row_version == report.order
            and is_handed_over(report)
        ):
            turn = Turn(report.fence, report.tick)
            rollout.hand_over.confirm(node, turn)

    def _apply_report(self, report: RolloutReport) -> None:
        if not has_known_stage(report):
            return
        stage = Stage(report.stage)
        rollout = self.by_service.get(report.service)
        if rollout is None or rollout.order.row_version < report.order:
            self._keep_early(report)
            return
        if rollout.order.row_version != report.order:
            return
        if not stage.is_running():
            self.set_stage(rollout, stage, report.reason)
            return
        if self.record_driver(rollout, Turn(report.fence, report.tick)):
            self.set_stage(rollout, stage, '')
            self.set_handed_over(rollout, is_handed_over(report))

    def _keep_early(self, report: RolloutReport) -> None:
        """Keep a report on an order that this VM has not read yet."""
        if not self._early.keep(report):
            return
        if report.stage == Stage.COMPLETED:
            self._retired.discard(report.service, report.version)
        else:
            self._retired.add(report.service, [report.version])


__all__ = ['Rollouts']
