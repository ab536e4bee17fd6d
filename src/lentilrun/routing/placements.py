"""Map of cached blocks to the targets that are thought to hold them."""

from __future__ import annotations

import collections
from typing import NamedTuple

from ..peers.messages import Placement

_MAX_HOLDERS_PER_BLOCK = 8


class BlockHolder(NamedTuple):
    """The incarnation and weights version of a target that holds a block."""

    incarnation: str
    weights_version: str


class _Placement(NamedTuple):
    holder: BlockHolder
    invalidation_count: int


class PlacementMap:
    """A map of blocks to their holders, bounded to ``capacity`` blocks.

    The block that was added to least recently is evicted first. A
    placement is valid for one incarnation and one weights version of its
    target only: when the target reports another of either, its older
    placements are ignored.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[int, dict[str, _Placement]] = (
            collections.OrderedDict()
        )
        self._current: dict[str, BlockHolder] = {}
        self._invalidation_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def set_current_holder(self, target: str, holder: BlockHolder) -> None:
        """Set a target's current holder; other placements are ignored."""
        self._current[target] = holder

    def current_holder(self, target: str) -> BlockHolder | None:
        """Return a target's current holder, or nothing if it is unknown."""
        return self._current.get(target)

    def invalidate_target(self, target: str) -> None:
        """Ignore all placements of a target so far: its events were missed."""
        self._invalidation_counts[target] = (
            self._invalidation_counts.get(target, 0) + 1
        )

    def add(self, block: int, target: str, holder: BlockHolder) -> None:
        """Add a placement; its block is then the last to be evicted."""
        holders = self._blocks.get(block)
        if holders is None:
            holders = {}
            self._blocks[block] = holders
        self._blocks.move_to_end(block)
        holders.pop(target, None)
        invalidation_count = self._invalidation_counts.get(target, 0)
        holders[target] = _Placement(holder, invalidation_count)
        while len(holders) > _MAX_HOLDERS_PER_BLOCK:
            holders.pop(next(iter(holders)))
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def remove(self, block: int, target: str) -> None:
        """Remove the placement of a block at a target, if there is one."""
        holders = self._blocks.get(block)
        if holders is None:
            return
        holders.pop(target, None)
        if not holders:
            del self._blocks[block]

    def list_holders(self, block: int) -> list[str]:
        """Return the targets with a current placement of a block."""
        holders = self._blocks.get(block)
        if not holders:
            return []
        return [
            target
            for target, placement in holders.items()
            if self._is_current(target, placement)
        ]

    def _is_current(self, target: str, placement: _Placement) -> bool:
        if self._current.get(target) != placement.holder:
            return False
        return (
            self._invalidation_counts.get(target, 0)
            == placement.invalidation_count
        )

    def find_deepest_holders(
        self, chain: tuple[int, ...], min_targets: int
    ) -> dict[str, int]:
        """Return holders of the deepest blocks of a chain, with depths.

        Searches from the deepest block up until at least
        ``min_targets`` targets are found, unless the chain has fewer;
        more are returned if the last block adds several. A depth counts
        blocks of the chain.
        """
        depths: dict[str, int] = {}
        for depth in range(len(chain), 0, -1):
            for target in self.list_holders(chain[depth - 1]):
                depths.setdefault(target, depth)
            if len(depths) >= min_targets:
                break
        return depths

    def list_recent(self, max_placements: int) -> tuple[Placement, ...]:
        """Return up to ``max_placements`` current ones, newest block last."""
        placements = []
        for block in reversed(self._blocks):
            for target in self.list_holders(block):
                holder = self._blocks[block][target].holder
                placements.append(Placement(block, target, *holder))
            if len(placements) >= max_placements:
                break
        return tuple(reversed(placements[:max_placements]))


__all__ = ['BlockHolder', 'PlacementMap']
