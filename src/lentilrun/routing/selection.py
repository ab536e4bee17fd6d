"""Selection of the target with the least estimated cost."""

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

_MIN_HOLDERS = 4
# The share of a prompt's blocks that is assumed to be cached at the first
# and second target for it on the ring.
_RING_CACHED_SHARES = (0.8, 0.4)
_RANDOM_CANDIDATES = 2
_FALLBACK_CANDIDATES = 16
# A batch slows down as it fills; a full one adds this share of the mean
# service time.
_FULL_BATCH_SLOWDOWN_SHARE = 0.1


class PlacementRequest(NamedTuple):
    """A request that needs a target; ``chain`` holds its block hashes."""

    model: Model
    chain: tuple[int, ...]
    prompt_tokens: int
    excluded_targets: frozenset[str]


class PlacementChoice(NamedTuple):
    """A target, the prompt tokens estimated to be cached there, and cost.

    ``cost`` is the weighted sum of the estimated waiting and prefill
    times, in seconds.
    """

    target_state: TargetState
    cached_tokens: int
    cost: float


class PlacementSelector:
    """Selects targets by estimated waiting and prefill time.

    ``seed`` makes the random candidates reproducible.
    """

    def __init__(
        self,
        pool: TargetPool,
        placements: PlacementMap,
        seed: int | None = None,
    ) -> None:
        self._pool = pool
        self._placements = placements
        self._random = random.Random(seed)

    def _list_candidates(
        self, request: PlacementRequest, group: TargetGroup
    ) -> dict[str, float]:
        """Return a few targets with the estimated number of cached blocks."""
        depths = self._placements.find_deepest_holders(
            request.chain, _MIN_HOLDERS
        )
        candidates: dict[str, float] = dict(depths)
        if request.chain:
            # All VMs send a prompt without a known holder to its targets
            # on the ring, so these may have cached it for another VM.
            ring_targets = group.find_targets(
                request.chain[-1], len(_RING_CACHED_SHARES)
            )
            for name, cached_share in zip(
                ring_targets, _RING_CACHED_SHARES, strict=False
            ):
                estimate = cached_share * len(request.chain)
                candidates[name] = max(estimate, candidates.get(name, 0.0))
        count = min(_RANDOM_CANDIDATES, len(group.names))
        for name in self._random.sample(group.names, count):
            candidates.setdefault(name, 0)
        return candidates

    def select(
        self,
        request: PlacementRequest,
        group: TargetGroup,
        policy: Policy,
        reserved_slots: float,
    ) -> PlacementChoice | None:
        """Return the cheapest candidate of a group that has a free slot.

        ``reserved_slots`` is the number of requests that this VM may
        have at each target regardless of other VMs. Returns nothing if
        neither a candidate nor a random fallback has a free slot.
        """
        best: PlacementChoice | None = None
        for name, cached_blocks in self._list_candidates(
            request, group
        ).items():
            if name not in group.members or name in request.excluded_targets:
                continue
            choice = self._evaluate(request, name, cached_blocks, policy)
            if choice.target_state.count_free_slots(reserved_slots) <= 0:
                continue
            if best is None or choice.cost < best.cost:
                best = choice
        if best is None:
            best = self._select_fallback(
                request, group, policy, reserved_slots
            )
        return best

    def _select_fallback(
        self,
        request: PlacementRequest,
        group: TargetGroup,
        policy: Policy,
        reserved_slots: float,
    ) -> PlacementChoice | None:
        count = min(_FALLBACK_CANDIDATES, len(group.names))
        for name in self._random.sample(group.names, count):
            if name in request.excluded_targets:
                continue
            choice = self._evaluate(request, name, 0, policy)
            if choice.target_state.count_free_slots(reserved_slots) > 0:
                return choice
        return None

    def _evaluate(
        self,
        request: PlacementRequest,
        name: str,
        cached_blocks: float,
        policy: Policy,
    ) -> PlacementChoice:
        state = self._pool.targets[name]
        model = request.model
        block_tokens = model.block_bytes / model.bytes_per_token
        cached_tokens = min(
            request.prompt_tokens, int(cached_blocks * block_tokens)
        )
        recompute_s = (
            request.prompt_tokens - cached_tokens
        ) / model.prefill_tokens_per_s
        cost = policy.wait_weight * self._estimate_wait(state)
        cost += policy.recompute_weight * recompute_s
        return PlacementChoice(state, cached_tokens, cost)

    def _estimate_wait(self, state: TargetState) -> float:
        slots = state.model.slots
        in_flight = state.estimate_in_flight()
        service_time_s = self._pool.mean_service_time(state.model.name)
        queueing_s = max(0, in_flight - slots + 1) / slots * service_time_s
        slowdown_s = (
            _FULL_BATCH_SLOWDOWN_SHARE
            * service_time_s
            * min(in_flight, slots)
            / slots
        )
        return (
            queueing_s
            + slowdown_s
            + state.prefill_tokens / state.model.prefill_tokens_per_s
        )


__all__ = ['PlacementChoice', 'PlacementRequest', 'PlacementSelector']
