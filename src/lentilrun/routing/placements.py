"""Which target is thought to hold which cached block."""

from __future__ import annotations

import collections
from typing import NamedTuple

from ..peers.messages import Placement

_MAX_HOLDERS = 8


class BlockHolder(NamedTuple):
    """A target's incarnation and loaded version when it held a block."""

    incarnation: str
    weights_version: str


class _Entry(NamedTuple):
    holder: BlockHolder
    epoch: int


class PlacementMap:
    """A bounded map of blocks to holders, least recently used out first.

    An entry holds for one incarnation and one version only; a target
    that shows another of either makes its older entries void.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[int, dict[str, _Entry]] = (
            collections.OrderedDict()
        )
        self._current: dict[str, BlockHolder] = {}
        self._epochs: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def set_current_holder(self, target: str, holder: BlockHolder) -> None:
        """Set what a target is now; entries of anything else are void."""
        self._current[target] = holder

    def current_holder(self, target: str) -> BlockHolder | None:
        """Return what a target was last known to be."""
        return self._current.get(target)

    def invalidate_target(self, target: str) -> None:
        """Void all entries of a target: events of it were missed."""
        self._epochs[target] = self._epochs.get(target, 0) + 1

    def add(self, block: int, target: str, holder: BlockHolder) -> None:
        """Note that a target holds a block."""
        holders = self._blocks.get(block)
        if holders is None:
            holders = {}
            self._blocks[block] = holders
        self._blocks.move_to_end(block)
        holders.pop(target, None)
        epoch = self._epochs.get(target, 0)
        holders[target] = _Entry(holder, epoch)
        while len(holders) > _MAX_HOLDERS:
            holders.pop(next(iter(holders)))
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def remove(self, block: int, target: str) -> None:
        """Note that a target holds a block no longer."""
        holders = self._blocks.get(block)
        if holders is None:
            return
        holders.pop(target, None)
        if not holders:
            del self._blocks[block]

    def list_holders(self, block: int) -> list[str]:
        """Return the targets that hold a block now."""
        holders = self._blocks.get(block)
        if not holders:
            return []
        return [t for t, e in holders.items() if self._holds(t, e)]

    def _holds(self, target: str, entry: _Entry) -> bool:
        if self._current.get(target) != entry.holder:
            return False
        return self._epochs.get(target, 0) == entry.epoch

    def find_deepest_holders(
        self, chain: tuple[int, ...], most: int
    ) -> dict[str, int]:
        """Return holders of the deepest blocks with their depths.

        Looks from the deepest block up, until ``most`` targets are
        found; a depth counts the blocks held.
        """
        found: dict[str, int] = {}
        for depth in range(len(chain), 0, -1):
            for target in self.list_holders(chain[depth - 1]):
                found.setdefault(target, depth)
            if len(found) >= most:
                break
        return found

    def list_recent(self, most: int) -> tuple[Placement, ...]:
        """Return the most recently used placements that hold now."""
        found = []
        for block in reversed(self._blocks):
            for target in self.list_holders(block):
                holder = self._blocks[block][target].holder
                found.append(Placement(block, target, *holder))
            if len(found) >= most:
                break
        return tuple(reversed(found[:most]))


__all__ = ['BlockHolder', 'PlacementMap']
