"""The choice of a target: the least estimated cost of a few."""

from __future__ import annotations

import random
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.configuration import Model
    from ..config.configuration import Policy
    from .placements import PlacementMap
    from .pool import TargetGroup
    from .pool import TargetPool
    from .pool import TargetState

_HOLDERS = 4
# The share of a prefix that its first, second place is guessed to hold.
_RING_PRIORS = (0.8, 0.4)
_SAMPLES = 2
_FALL_BACK_SAMPLES = 16
# A batch slows down as it fills: the share of a request's time added by
# a full one.
_BATCH_SLOPE = 0.1


class PlacementRequest(NamedTuple):
    """What is to be placed: its chain of blocks and prompt tokens."""

    model: Model
    chain: tuple[int, ...]
    prompt_tokens: int
    excluded_targets: frozenset[str]


class PlacementChoice(NamedTuple):
    """A target with the tokens thought to be cached there."""

    target_state: TargetState
    cached_tokens: int
    cost: float


class PlacementSelector:
    """Weighs waiting against computing again, in seconds."""

    def __init__(
        self,
        pool: TargetPool,
        placements: PlacementMap,
        seed: int | None = None,
    ) -> None:
        self._pool = pool
        self._placements = placements
        self._random = random.Random(seed)

    def _candidates(
        self, wish: PlacementRequest, group: TargetGroup
    ) -> dict[str, float]:
        """Return a few targets with the blocks they are thought to hold."""
        known = self._placements.find_deepest_holders(wish.chain, _HOLDERS)
        found: dict[str, float] = dict(known)
        if wish.chain:
            # Other VMs, too, send a prefix that nobody is known to hold
            # to its place on the ring, so that place may well hold it.
            places = group.find_targets(wish.chain[-1], len(_RING_PRIORS))
            for name, prior in zip(places, _RING_PRIORS, strict=False):
                guess = prior * len(wish.chain)
                found[name] = max(guess, found.get(name, 0.0))
        count = min(_SAMPLES, len(group.names))
        for name in self._random.sample(group.names, count):
            found.setdefault(name, 0)
        return found

    def select(
        self,
        wish: PlacementRequest,
        group: TargetGroup,
        policy: Policy,
        part: float,
    ) -> PlacementChoice | None:
        """Return the cheapest of a few targets of a group.

        A target without room above this daemon's ``part`` of its slots
        is passed over; nothing is returned if no other is found.
        """
        best: PlacementChoice | None = None
        for name, depth in self._candidates(wish, group).items():
            if name not in group.members or name in wish.excluded_targets:
                continue
            choice = self._weigh(wish, name, depth, policy)
            if choice.target_state.count_free_slots(part) <= 0:
                continue
            if best is None or choice.cost < best.cost:
                best = choice
        if best is None:
            best = self._fall_back(wish, group, policy, part)
        return best

    def _fall_back(
        self,
        wish: PlacementRequest,
        group: TargetGroup,
        policy: Policy,
        part: float,
    ) -> PlacementChoice | None:
        count = min(_FALL_BACK_SAMPLES, len(group.names))
        for name in self._random.sample(group.names, count):
            if name in wish.excluded_targets:
                continue
            choice = self._weigh(wish, name, 0, policy)
            if choice.target_state.count_free_slots(part) > 0:
                return choice
        return None

    def _weigh(
        self, wish: PlacementRequest, name: str, depth: float, policy: Policy
    ) -> PlacementChoice:
        state = self._pool.targets[name]
        model = wish.model
        block = model.block_bytes / model.bytes_per_token
        cached = min(wish.prompt_tokens, int(depth * block))
        recompute = (wish.prompt_tokens - cached) / model.prefill_tokens_per_s
        cost = policy.wait_weight * self._estimate_wait(state)
        cost += policy.recompute_weight * recompute
        return PlacementChoice(state, cached, cost)

    def _estimate_wait(self, state: TargetState) -> float:
        slots = state.model.slots
        load = state.estimate_in_flight()
        service = self._pool.mean_service_time(state.model.name)
        queued = max(0, load - slots + 1) / slots * service
        filled = _BATCH_SLOPE * service * min(load, slots) / slots
        return (
            queued
            + filled
            + state.prefill_tokens / state.model.prefill_tokens_per_s
        )


__all__ = ['PlacementChoice', 'PlacementRequest', 'PlacementSelector']
