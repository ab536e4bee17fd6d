"""The choice of a target for a call, from what this VM believes."""

from __future__ import annotations

import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..decisions.placement import choose_target
from ..decisions.placement import compute_sample_size
from ..decisions.placement import TokenDemand
from ..decisions.sources import CacheHolder
from ..decisions.sources import estimate_cached
from ..decisions.sources import NO_CACHE
from ..decisions.sources import pick_best_holders
from ..decisions.sources import pick_kv_cache_store
from ..decisions.sources import plan_prefill

if TYPE_CHECKING:
    from ..decisions.facts import Configuration
    from ..decisions.facts import Prompt
    from ..decisions.facts import Service
    from ..decisions.placement import TargetChoice
    from ..decisions.retries import RetryBudget
    from ..decisions.sources import PrefillPlan
    from .call import Call
    from .context import DispatchContext
    from .targets import TargetState

# From this age of newer weights on, answers on older ones lose worth.
_FRESH_WEIGHTS_S = 1.5
# Requests that start on older weights so long before the limit may still
# wait there.
_VERSION_MARGIN_S = 1.2


class Assignment(NamedTuple):
    """A target that was chosen, and what the choice was made from."""

    state: TargetState
    service: Service
    choice: TargetChoice
    demand: TokenDemand
    weights_version: int | None
    salt: str


class TargetSelector:
    """Chooses targets of one service for one call."""

    def __init__(
        self,
        call: Call,
        service: str,
        context: DispatchContext,
        budget: RetryBudget,
    ) -> None:
        """Take the rate of requests from the service's ``budget``."""
        self._call = call
        self._service = service
        self._budget = budget
        self._clock = context.clock
        self._view = context.view
        self._targets = context.targets
        self._peers = context.peers
        self._kept = context.stored_segments
        self._bounds = context.bounds

    def select(self, avoid: set[str]) -> Assignment | None:
        """Return a target that can take the call now, if there is one.

        Those in ``avoid`` are taken only if there is no other.
        """
        configuration = self._view.configuration
        if configuration is None:
            return None
        service = configuration.services.get(self._service)
        if service is None:
            return None
        call = self._call
        prompt = call.prompt if service.engine is not None else None
        states = self._find_usable(service, avoid)
        if not states:
            return None
        need = TokenDemand(0, 0)
        if prompt is not None:
            need = TokenDemand(prompt.input_tokens, prompt.output_tokens)
        names = [s.target.incarnation for s in states]
        states = self._sample(states)
        supplies = self._find_supplies(states, names, service, configuration)
        stale = self._find_stale(states)
        make = self._targets.make_candidate
        found = choose_target(
            [
                make(s, service, supply, s.target.incarnation in stale)
                for s, supply in zip(states, supplies, strict=True)
            ],
            need,
        )
        if found is None:
            return None
        state = self._targets.states[found.name]
        salt = self._make_salt(state)
        weights = self._weights(state)
        return Assignment(state, service, found, need, weights, salt)

    def _sample(self, states: list[TargetState]) -> list[TargetState]:
        count = compute_sample_size(len(states), self._count_unseen())
        if count >= len(states):
            return states
        return random.sample(states, count)

    def _count_unseen(self) -> float:
        """Return the requests that others sent since they told of theirs.

        The other VMs are taken to send as many as this one.
        """
        own = self._budget.request_rate(self._clock.now())
        others = self._peers.count_members() - 1
        return own * others * self._peers.mean_report_age()

    def _find_supplies(
        self,
        states: list[TargetState],
        usable: list[str],
        service: Service,
        configuration: Configuration,
    ) -> list[PrefillPlan]:
        """Return how each target would come by the prompt.

        ``usable`` names all that were to be had, for the guess that all
        VMs share.
        """
        prompt = self._call.prompt
        if prompt is None or service.engine is None:
            return [NO_CACHE] * len(states)
        salts = [self._make_salt(s) for s in states]
        held = [
            s.prefix_cache.count_cached_tokens(salt, prompt)
            for s, salt in zip(states, salts, strict=True)
        ]
        if not any(held):
            guesses = estimate_cached(prompt, usable)
            held = [guesses.get(s.target.incarnation, 0.0) for s in states]
        store = pick_kv_cache_store(prompt, configuration.kv_cache_stores)
        kept = {s for s in set(salts) if self._kept.has_all(s, prompt)}
        wanted = set(salts) - kept if store is not None else set(salts)
        holders = self._find_holders(service, prompt, wanted)
        return [
            plan_prefill(
                tokens,
                s.target.data_centre,
                holders.get(salt, []),
                store,
                salt in kept,
            )
            for s, salt, tokens in zip(states, salts, held, strict=True)
        ]

    def _find_holders(
        self, service: Service, prompt: Prompt, salts: set[str]
    ) -> dict[str, list[CacheHolder]]:
        """Return the engines that hold most of the prompt, by salt."""
        if not salts:
            return {}
        found: dict[str, list[CacheHolder]] = {salt: [] for salt in salts}
        for state in self._targets.list_cache_sources(service.name):
            salt = self._make_salt(state)
            tokens = state.prefix_cache.count_cached_tokens(salt, prompt)
            if tokens and salt in found:
                target = state.target
                found[salt].append(
                    CacheHolder(target.address, target.data_centre, tokens)
                )
        return {
            salt: pick_best_holders(holders) for salt, holders in found.items()
        }

    def _find_stale(self, states: list[TargetState]) -> frozenset[str]:
        """Return the targets whose weights cost an answer worth."""
        return frozenset(
            s.target.incarnation
            for s in states
            if self._stale_for(s) > _FRESH_WEIGHTS_S
        )

    def _stale_for(self, state: TargetState) -> float:
        weights = self._weights(state)
        prompt = self._call.prompt
        if weights is None or prompt is None:
            return 0.0
        return self._view.stale_for(prompt.model, weights)

    def _weights(self, state: TargetState) -> int | None:
        prompt = self._call.prompt
        if prompt is None or not state.weights_versions:
            return None
        return state.weights_versions.get(prompt.model)

    def _make_salt(self, state: TargetState) -> str:
        weights = self._weights(state)
        if weights is None:
            return ''
        workspace = self._call.workspace
        if workspace is not None and workspace.is_isolated:
            return f'{weights}/{workspace.name}'
        return str(weights)

    def _find_usable(
        self, service: Service, avoid: set[str]
    ) -> list[TargetState]:
        states = self._targets.list_usable(service.name, avoid)
        if not states and avoid:
            states = self._targets.list_usable(service.name)
        states = [s for s in states if self._has_room(s, service)]
        prompt = self._call.prompt
        if service.engine is None or prompt is None:
            return states
        # Weights that are too old to begin on are as good as none.
        oldest = self._bounds.stale_weights_limit - _VERSION_MARGIN_S
        return [
            s
            for s in states
            if prompt.model in s.weights_versions
            and self._stale_for(s) < oldest
        ]

    def _has_room(self, state: TargetState, service: Service) -> bool:
        members = self._peers.count_members()
        return state.in_flight < max(2, service.max_connections // members)


__all__ = [
    'Assignment',
    'TargetSelector',
]
