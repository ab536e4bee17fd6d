"""The choice of a target, with a record of the steps that led to it."""

from __future__ import annotations

import copy
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..decisions.placement import estimate_cost
from .choice import TargetSelector

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..decisions.evenload import ExpectedArrivals
    from ..decisions.facts import Service
    from ..decisions.placement import Candidate
    from ..decisions.placement import TargetChoice
    from ..decisions.placement import TokenDemand
    from ..decisions.retries import RetryBudget
    from ..decisions.sources import PrefillPlan
    from .call import Call
    from .context import DispatchContext
    from .targetstate import TargetState


class ComparedTarget(NamedTuple):
    """A target that was compared, and its cost in seconds."""

    candidate: Candidate
    cost: float


class RecordedSelector(TargetSelector):
    """Selects a target as for a call that is sent, and changes nothing.

    ``compared`` holds the targets of the last selection that were compared,
    by incarnation.
    """

    def __init__(
        self,
        call: Call,
        service: str,
        context: DispatchContext,
        budget: RetryBudget,
    ) -> None:
        """Get the rate of requests from the service's ``budget``."""
        super().__init__(call, service, context, budget)
        self.compared: dict[str, ComparedTarget] = {}
        self._chosen_cost = float('inf')
        self._has_run = False
        # Whether the target was drawn by chance, so that loads are even.
        self._is_drawn = False
        # Targets that are left after each step of the selection.
        self._usable: set[str] = set()
        self._permitted: set[str] = set()
        self._preferred: set[str] = set()

    def _list_usable(
        self, service: Service, avoid: set[str]
    ) -> list[TargetState]:
        self._has_run = True
        states = super()._list_usable(service, avoid)
        self._usable = _list_names(states)
        return states

    def _prefer_doubtful(self, states: list[TargetState]) -> list[TargetState]:
        preferred = super()._prefer_doubtful(states)
        self._permitted = _list_names(states)
        self._preferred = _list_names(preferred)
        return preferred

    def _make_candidates(
        self,
        states: list[TargetState],
        plans: list[PrefillPlan],
        service: Service,
    ) -> list[Candidate]:
        # The counts of outcomes decay as a candidate is made.
        copies = [copy.copy(s) for s in states]
        return super()._make_candidates(copies, plans, service)

    def _choose(
        self,
        candidates: list[Candidate],
        demand: TokenDemand,
        arrivals: ExpectedArrivals | None,
    ) -> TargetChoice | None:
        speeds = self._targets.get_estimator(self._service).speeds()
        self.compared = {
            c.name: ComparedTarget(c, estimate_cost(c, demand, speeds))
            for c in candidates
        }
        self._is_drawn = arrivals is not None
        choice = super()._choose(candidates, demand, arrivals)
        if choice is not None:
            self._chosen_cost = self.compared[choice.name].cost
        return choice

    def find_exclusion(self, state: TargetState) -> str:
        """Return why the last selection left a target out, empty if not.

        A call may also be refused, or forwarded, before any selection.
        """
        name = state.target.incarnation
        if name in self.compared:
            if self.compared[name].cost >= self._chosen_cost:
                return ''
            return 'not_drawn' if self._is_drawn else 'begins_too_late'
        if name in self._preferred:
            return 'not_sampled'
        if name in self._permitted:
            return 'limit_of_another_is_checked'
        if name in self._usable:
            return 'rollout'
        default = 'other' if self._has_run else 'not_compared'
        return next(self._list_obstacles(state), default)

    def _list_obstacles(self, state: TargetState) -> Iterator[str]:
        """Yield why a target is not usable, in the order of the selection."""
        now = self._clock.now()
        if not self._targets.places.includes(state.target.data_centre):
            yield 'evacuated'
        allowed = self._call.allowed_targets()
        if allowed is not None and state.target.data_centre not in allowed:
            yield 'region_not_allowed'
        yield from _list_states(state, now)
        if not state.rate_limit.has_turn():
            yield 'no_turn'
        usable = self._targets.list_usable(self._service)
        if state not in usable and state.rejection_limit.limit is not None:
            yield 'no_room'
        configuration = self._view.configuration
        if configuration is None:
            return
        service = configuration.services.get(self._service)
        if service is None:
            yield 'no_service'
            return
        if state.in_flight >= self._find_max_in_flight(service):
            yield 'connection_limit'
        if service.engine is None:
            return
        prompt = self._call.prompt
        if prompt is not None and prompt.model not in state.weights_versions:
            yield 'no_weights'
        elif not self._may_begin_in_time(state, 0.0):
            yield 'old_weights'


def _list_states(state: TargetState, now: float) -> Iterator[str]:
    """Yield the states of a target in which it gets no requests."""
    if state.is_leaving():
        yield 'leaves'
    if state.statements.is_resting(now):
        yield 'rests'
    if state.is_unreachable(now):
        yield 'unreachable'
    if state.blocked_until > now:
        yield 'was_full'
    if state.is_cordoned(now):
        yield 'loads_weights'


def _list_names(states: list[TargetState]) -> set[str]:
    return {s.target.incarnation for s in states}


__all__ = ['ComparedTarget', 'RecordedSelector']
