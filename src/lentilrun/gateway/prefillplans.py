"""What engines have cached of a call's prompt, and where they get more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.cachesalts import format_salt
from ..decisions.cachesalts import name_unknown_weights
from ..decisions.cachesalts import NO_ISOLATION
from ..decisions.sources import CacheHolder
from ..decisions.sources import estimate_cached
from ..decisions.sources import NO_CACHE
from ..decisions.sources import pick_best_holders
from ..decisions.sources import pick_kv_cache_store
from ..decisions.sources import plan_prefill

if TYPE_CHECKING:
    from ..decisions.facts import Configuration
    from ..decisions.facts import KvCacheStore
    from ..decisions.facts import Prompt
    from ..decisions.facts import Service
    from ..decisions.sources import PrefillPlan
    from .call import Call
    from .context import DispatchContext
    from .targetstate import TargetState


def list_allowed_stores(
    call: Call, configuration: Configuration
) -> list[KvCacheStore]:
    """Return the stores that may hold KV cache of a call's prompt."""
    allowed = call.allowed_targets()
    return [
        s
        for s in configuration.kv_cache_stores
        if allowed is None or s.data_centre in allowed
    ]


def _name_weights(version: int | None, state: TargetState) -> str:
    """Return what a salt states of the weights that a target has."""
    if version is not None:
        return str(version)
    target = state.target
    return name_unknown_weights(target.incarnation, target.started_at_ms)


class PrefillPlanner:
    """Plans the prefill of one call's prompt at targets of a service."""

    def __init__(self, call: Call, context: DispatchContext) -> None:
        self._call = call
        self._view = context.view
        self._targets = context.targets
        self._stored_segments = context.stored_segments

    def find_weights_version(self, state: TargetState) -> int | None:
        """Return the version of the call's model that a target has."""
        prompt = self._call.prompt
        if prompt is None or not state.weights_versions:
            return None
        return state.weights_versions.get(prompt.model)

    def make_salt(self, state: TargetState, service: Service) -> str:
        """Return what separates cached segments that must not be shared.

        It is empty if the service runs no models. An engine may find
        segments also of a prompt that this VM can't read.
        """
        if service.engine is None:
            return ''
        version = self.find_weights_version(state)
        return self._format_salt(_name_weights(version, state))

    def _format_salt(self, weights: str) -> str:
        call = self._call
        configuration = self._view.configuration
        return format_salt(
            weights,
            call.workspace,
            NO_ISOLATION if configuration is None else configuration.isolation,
            call.restriction,
        )

    def _list_salts(
        self, prompt: Prompt, states: list[TargetState]
    ) -> list[str]:
        """Return the salts of targets.

        Many targets have few versions, so each is formatted once.
        """
        weights = [
            _name_weights(s.weights_versions.get(prompt.model), s)
            for s in states
        ]
        salts = {w: self._format_salt(w) for w in set(weights)}
        return [salts[w] for w in weights]

    def count_cached_tokens(
        self, states: list[TargetState], service: Service
    ) -> list[float]:
        """Return how much of the prompt each target is assumed to have."""
        prompt = self._call.prompt
        if prompt is None or service.engine is None:
            return [0.0] * len(states)
        cached_tokens = [
            state.prefix_cache.count_cached_tokens(salt, prompt)
            for state, salt in zip(
                states, self._list_salts(prompt, states), strict=True
            )
        ]
        if any(cached_tokens):
            return cached_tokens
        estimates = estimate_cached(
            prompt, [s.target.incarnation for s in states]
        )
        return [estimates.get(s.target.incarnation, 0.0) for s in states]

    def plan(
        self,
        states: list[TargetState],
        cached_tokens: list[float],
        service: Service,
        configuration: Configuration,
    ) -> list[PrefillPlan]:
        """Return what each target has cached, and where it gets the rest."""
        prompt = self._call.prompt
        if prompt is None or service.engine is None:
            return [NO_CACHE] * len(states)
        salts = self._list_salts(prompt, states)
        stores = list_allowed_stores(self._call, configuration)
        store = pick_kv_cache_store(prompt, stores)
        stored_salts = {
            s for s in set(salts) if self._stored_segments.has_all(s, prompt)
        }
        holder_salts = (
            set(salts) - stored_salts if store is not None else set(salts)
        )
        holders = self._find_holders(service, prompt, holder_salts)
        return [
            plan_prefill(
                tokens,
                s.target.data_centre,
                holders.get(salt, []),
                store,
                salt in stored_salts,
            )
            for s, salt, tokens in zip(
                states, salts, cached_tokens, strict=True
            )
        ]

    def _find_holders(
        self, service: Service, prompt: Prompt, salts: set[str]
    ) -> dict[str, list[CacheHolder]]:
        """Return each data centre's engine with the most tokens, by salt."""
        if not salts:
            return {}
        by_salt: dict[str, list[CacheHolder]] = {salt: [] for salt in salts}
        allowed = self._call.allowed_targets()
        states = self._targets.list_cache_sources(service.name, allowed)
        state_salts = self._list_salts(prompt, states)
        for state, salt in zip(states, state_salts, strict=True):
            tokens = state.prefix_cache.count_cached_tokens(salt, prompt)
            if tokens and salt in by_salt:
                target = state.target
                by_salt[salt].append(
                    CacheHolder(target.address, target.data_centre, tokens)
                )
        return {
            salt: pick_best_holders(holders)
            for salt, holders in by_salt.items()
        }


__all__ = ['list_allowed_stores', 'PrefillPlanner']
