"""The end of a roll-out's ramp: no VM sends to the old version any more.

The old targets stop as soon as the roll-out is completed, without waiting
for requests. So the VM that drives it first has all VMs stop sending to
them, and writes the completion once they have confirmed that.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Stands in the reason of a report on a ramp: VMs of earlier releases, which
# don't know of hand-overs, go on with the ramp.
HANDED_OVER = 'handed_over'


class Turn(NamedTuple):
    """Grows with each report of the VM that drives; see ``RolloutReport``."""

    fence: int
    tick: int


class HandOver:
    """Whether this VM, and which others, have handed over in a roll-out."""

    def __init__(self) -> None:
        self.is_begun = False
        self._confirmed: dict[str, Turn] = {}

    def confirm(self, node: str, turn: Turn) -> None:
        """Record that a VM reported at a turn that it has handed over."""
        self._confirmed[node] = turn

    def forget(self, node: str) -> None:
        """Forget what a VM has confirmed, as it is gone or starts again."""
        self._confirmed.pop(node, None)

    def count_missing(self, nodes: Iterable[str], since: Turn) -> int:
        """Return how many of the VMs have confirmed nothing since a turn."""
        return sum(
            n not in self._confirmed or self._confirmed[n] < since
            for n in nodes
        )


__all__ = ['HANDED_OVER', 'HandOver', 'Turn']
