"""What a VM knows of one roll-out."""

from __future__ import annotations

import collections
import contextlib
import enum
from typing import TYPE_CHECKING

from .rollouthandover import HandOver
from .rollouthandover import Turn
from .rolloutledger import OutcomeLedger

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from ..platform.rollouts import RolloutOrder

# The new version gets requests only while the VM that drives the roll-out
# has reported within this time: a VM that is cut off may have missed a ban.
_DRIVER_TTL_S = 2.0


class Stage(enum.IntEnum):
    """What a VM knows of a roll-out; a larger one replaces a smaller.

    ``BANNED`` is the verdict of a VM, which operators can't see yet.
    """

    UNKNOWN = 0
    CANARY = 1
    RAMP = 2
    BANNED = 3
    ROLLED_BACK = 4
    COMPLETED = 5

    def is_final(self) -> bool:
        """Return whether the stage was written for operators."""
        return self >= Stage.ROLLED_BACK

    def is_running(self) -> bool:
        """Return whether the new version gets requests besides the old."""
        return self in (Stage.CANARY, Stage.RAMP)


class Rollout:
    """The state of one order at this VM; times by the clock, in seconds.

    ``total`` and ``new`` count the requests that this VM sent since then,
    by route.
    """

    def __init__(
        self, order: RolloutOrder, now: float, has_slack: bool
    ) -> None:
        """Start counting ``now``; see ``Exposure`` for ``has_slack``."""
        self.order = order
        self.version = order.version_name()
        self.known_at = now
        self.has_slack = has_slack
        self.stage = Stage.UNKNOWN
        self.reason = ''
        self.driver_turn = Turn(0, 0)
        self.driven_at = float('-inf')
        self.changed_at = now
        self.hand_over = HandOver()
        self.total: collections.Counter[str] = collections.Counter()
        self.new: collections.Counter[str] = collections.Counter()
        # See ``Exposure``; refilled at a time by the clock.
        self.tokens = 0.0
        self.refilled_at = now
        self.ledger = OutcomeLedger(order.row_version)

    def replace_order(self, order: RolloutOrder) -> None:
        """Go on with the same order, which operators wrote again."""
        self.order = order
        self.ledger.order = order.row_version

    def is_resolved(self) -> bool:
        """Return whether nothing is left to do."""
        return self.stage.is_final()

    def is_driven(self, now: float) -> bool:
        """Return whether the driving VM has reported lately."""
        return now - self.driven_at < _DRIVER_TTL_S

    @contextlib.contextmanager
    def preview(self) -> Iterator[None]:
        """Undo what changes in the tokens meanwhile."""
        tokens, refilled_at = self.tokens, self.refilled_at
        try:
            yield
        finally:
            self.tokens = tokens
            self.refilled_at = refilled_at


def find_unresolved(
    by_service: Mapping[str, Rollout], service: str
) -> Rollout | None:
    """Return the roll-out of a service, if it has one that goes on."""
    rollout = by_service.get(service)
    if rollout is None or rollout.is_resolved():
        return None
    return rollout


__all__ = ['Rollout', 'Stage', 'find_unresolved']
