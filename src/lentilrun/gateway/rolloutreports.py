"""Reports on roll-outs in the messages between VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import RolloutReport
from .rollouthandover import HANDED_OVER
from .rolloutstate import Stage

if TYPE_CHECKING:
    from ..platform.rollouts import RolloutOrder
    from .rolloutstate import Rollout

# Final stages go into messages for this time.
_FINAL_REPORT_S = 10.0
# A later build may report others, which are left out.
_STAGES = frozenset(Stage)


def has_known_stage(report: RolloutReport) -> bool:
    """Return whether this build knows the stage of a report."""
    return report.stage in _STAGES


def is_handed_over(report: RolloutReport) -> bool:
    """Return whether the sender uses the new version only."""
    return report.stage == Stage.RAMP and report.reason == HANDED_OVER


def make_report(rollout: Rollout) -> RolloutReport:
    """Return the report that states what this VM knows."""
    has_handed_over = (
        rollout.stage is Stage.RAMP and rollout.hand_over.is_begun
    )
    return RolloutReport(
        rollout.order.service,
        rollout.order.row_version,
        rollout.version,
        int(rollout.stage),
        *rollout.driver_turn,
        HANDED_OVER if has_handed_over else rollout.reason,
    )


def is_reported(rollout: Rollout, now: float, passes_on: bool) -> bool:
    """Return whether a message has a report on a roll-out.

    The VM that drives reports on running roll-outs; hubs pass that on: both
    have ``passes_on`` set. All VMs report bans, that they have handed over
    and, for a time, final stages.
    """
    if rollout.stage.is_running():
        is_sent = passes_on or rollout.hand_over.is_begun
        return is_sent and rollout.is_driven(now)
    if rollout.stage is Stage.UNKNOWN:
        return False
    return not (
        rollout.is_resolved() and now - rollout.changed_at > _FINAL_REPORT_S
    )


class EarlyReports:
    """Final reports on orders that this VM has not read yet."""

    def __init__(self) -> None:
        self._by_order: dict[tuple[str, int], RolloutReport] = {}

    def keep(self, report: RolloutReport) -> bool:
        """Keep a report; return whether it says more than an earlier one.

        Of several on an order, that of the furthest stage counts.
        """
        stage = Stage(report.stage)
        key = (report.service, report.order)
        known = self._by_order.get(key)
        if stage.is_running() or (known is not None and known.stage >= stage):
            return False
        self._by_order[key] = report
        return True

    def pop(self, order: RolloutOrder) -> RolloutReport | None:
        """Return the report on an order that this VM has read now."""
        return self._by_order.pop((order.service, order.row_version), None)


__all__ = [
    'EarlyReports',
    'has_known_stage',
    'is_handed_over',
    'is_reported',
    'make_report',
]
