"""The choice of a target for a call, from the state that a VM knows."""

from __future__ import annotations

import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..decisions.evenload import choose_evenly
from ..decisions.evenload import compute_even_sample_size
from ..decisions.evenload import is_called_for
from ..decisions.evenload import MIN_HOLDERS
from ..decisions.placement import choose_target
from ..decisions.placement import compute_sample_size
from ..decisions.placement import pick_sample
from ..decisions.placement import TokenDemand
from ..decisions.ratelimits import find_turn
from ..decisions.sources import identify_shared_prefix
from ..decisions.weightsage import may_begin_in_time
from .prefillplans import PrefillPlanner

if TYPE_CHECKING:
    from ..decisions.evenload import ExpectedArrivals
    from ..decisions.facts import Service
    from ..decisions.placement import Candidate
    from ..decisions.placement import TargetChoice
    from ..decisions.retries import RetryBudget
    from ..decisions.sources import PrefillPlan
    from .call import Call
    from .context import DispatchContext
    from .targetstate import TargetState

# Responses on weights that were replaced longer ago have a lower value.
_FULL_VALUE_S = 1.5

_random = random.Random()


class Assignment(NamedTuple):
    """A target that was chosen for a call, and the data for the attempt.

    ``salt`` separates the cached segments of weights versions and isolated
    workspaces. It is empty, and ``weights_version`` None, if the call states
    no prompt or the target has no weights of its model. A trial is a part
    of the share of a new software version.
    """

    state: TargetState
    service: Service
    choice: TargetChoice
    demand: TokenDemand
    weights_version: int | None
    salt: str
    is_trial: bool


class TargetSelector:
    """Selects targets of one service for one call."""

    def __init__(
        self,
        call: Call,
        service: str,
        context: DispatchContext,
        budget: RetryBudget,
    ) -> None:
        """Get the rate of requests from the service's ``budget``."""
        self._call = call
        self._service = service
        self._budget = budget
        self._clock = context.clock
        self._view = context.view
        self._targets = context.targets
        self._peers = context.peers
        self._planner = PrefillPlanner(call, context)
        self._bounds = context.bounds
        self._rollouts = context.rollouts.selection
        self._allowed = call.allowed_targets()

    def select(self, avoid: set[str]) -> Assignment | None:
        """Return a target that can run the call now, if there is one.

        Incarnations in ``avoid`` are chosen only if there are no others.
        """
        configuration = self._view.configuration
        if configuration is None:
            return None
        service = configuration.services.get(self._service)
        if service is None:
            return None
        states = self._list_usable(service, avoid)
        states, is_trial = self._rollouts.select(
            service.name, states, self._call.route.name, not avoid
        )
        if not states:
            return None
        states = self._prefer_doubtful(states)
        demand = self._make_demand(service)
        cached_tokens = self._planner.count_cached_tokens(states, service)
        sample, arrivals = self._pick_sample(cached_tokens)
        states = [states[i] for i in sample]
        plans = self._planner.plan(
            states, [cached_tokens[i] for i in sample], service, configuration
        )
        choice = self._choose(
            self._make_candidates(states, plans, service),
            demand,
            arrivals,
        )
        if choice is None:
            return None
        state = self._targets.states[choice.name]
        return Assignment(
            state,
            service,
            choice,
            demand,
            self._planner.find_weights_version(state),
            self._planner.make_salt(state, service),
            is_trial,
        )

    def estimate_turn_wait(self, number: int) -> float:
        """Return when the ``number``-th of the waiting calls can be sent.

        The time is in seconds, infinite if not all targets limit their
        requests.
        """
        states = self._targets.list_if_all_limited(
            self._service, self._allowed
        )
        return find_turn(
            (s.rate_limit.list_turn_delays() for s in states), number
        )

    def _prefer_doubtful(self, states: list[TargetState]) -> list[TargetState]:
        """Return the idle targets whose limits may have ended, if any.

        Where each of many VMs has few turns, a call seldom prefers such a
        target to all others in just these periods.
        """
        now = self._clock.now()
        doubtful = [
            s
            for s in states
            if s.rate_limit.is_doubtful(now) and not s.count_in_flight(now)
        ]
        return doubtful or states

    def _choose(
        self,
        candidates: list[Candidate],
        demand: TokenDemand,
        arrivals: ExpectedArrivals | None,
    ) -> TargetChoice | None:
        """Return a good target at which the call will begin in time.

        Without ``arrivals`` it is the best one.
        """
        speeds = self._targets.get_estimator(self._service).speeds()
        while True:
            if arrivals is None:
                choice = choose_target(candidates, demand, speeds)
            else:
                choice = choose_evenly(
                    candidates, demand, speeds, arrivals, _random
                )
            if choice is None or self._may_begin_in_time(
                self._targets.states[choice.name], choice.estimated_wait
            ):
                return choice
            candidates = [c for c in candidates if c.name != choice.name]

    def _may_begin_in_time(
        self, state: TargetState, estimated_wait: float
    ) -> bool:
        return may_begin_in_time(
            self._stale_for(state),
            self._bounds.stale_weights_limit,
            estimated_wait,
        )

    def _make_demand(self, service: Service) -> TokenDemand:
        prompt = self._call.prompt
        if service.engine is None or prompt is None:
            return TokenDemand(0, 0)
        return TokenDemand(prompt.input_tokens, prompt.output_tokens)

    def _make_candidates(
        self,
        states: list[TargetState],
        plans: list[PrefillPlan],
        service: Service,
    ) -> list[Candidate]:
        urgency = self._call.urgency()
        candidates = []
        for state, plan in zip(states, plans, strict=True):
            stale_for = self._stale_for(state)
            candidates.append(
                self._targets.make_candidate(
                    state,
                    service,
                    plan,
                    stale_for > _FULL_VALUE_S,
                    stale_for > 0.0,
                    urgency,
                )
            )
        return candidates

    def newest_usable_version(self) -> int:
        """Return the newest weights version of the usable targets, or 0."""
        versions = map(
            self._planner.find_weights_version, self._list_service()
        )
        return max((v for v in versions if v is not None), default=0)

    def list_outdated(self) -> set[str]:
        """Return the targets with older weights than other usable ones."""
        newest = self.newest_usable_version()
        return {
            s.target.incarnation
            for s in self._list_service()
            if self._planner.find_weights_version(s) != newest
        }

    def _list_service(self) -> list[TargetState]:
        return self._rollouts.list_regular(
            self._service,
            self._targets.list_usable(self._service, (), self._allowed),
        )

    def _pick_sample(
        self, cached_tokens: list[float]
    ) -> tuple[list[int], ExpectedArrivals | None]:
        """Return which targets are compared for the call.

        Return also what other VMs send meanwhile, if that is considered.
        """
        targets = len(cached_tokens)
        report_age = self._peers.mean_report_age()
        members = self._peers.count_members()
        # Each other VM is assumed to send as many requests as this one.
        own_rate = self._budget.request_rate(self._clock.now())
        others_rate = own_rate * (members - 1)
        unreported = others_rate * report_age
        if not is_called_for(members, report_age):
            size = compute_sample_size(targets, unreported)
            return pick_sample(cached_tokens, size, _random), None
        size = compute_even_sample_size(
            targets, unreported, any(cached_tokens)
        )
        prefix = identify_shared_prefix(self._call.prompt)
        sent = self._targets.get_sent(self._service)
        return (
            pick_sample(cached_tokens, size, _random, MIN_HOLDERS),
            sent.expect(prefix, others_rate, report_age, targets),
        )

    def _stale_for(self, state: TargetState) -> float:
        prompt = self._call.prompt
        if prompt is None:
            # The call may be for any model that the target has.
            return max(
                (
                    self._view.stale_for(model, version)
                    for model, version in state.weights_versions.items()
                ),
                default=0.0,
            )
        weights_version = self._planner.find_weights_version(state)
        if weights_version is None:
            return 0.0
        return self._view.stale_for(prompt.model, weights_version)

    def _list_usable(
        self, service: Service, avoid: set[str]
    ) -> list[TargetState]:
        allowed = self._allowed
        states = self._targets.list_usable(service.name, avoid, allowed)
        if not states and avoid:
            states = self._targets.list_usable(service.name, (), allowed)
        max_in_flight = self._find_max_in_flight(service)
        states = [s for s in states if s.in_flight < max_in_flight]
        if service.engine is None:
            return states
        # No request may start on weights that were replaced too long ago.
        prompt = self._call.prompt
        if prompt is None:
            return [s for s in states if self._may_begin_in_time(s, 0.0)]
        versions = {s.weights_versions.get(prompt.model) for s in states}
        usable = {
            v
            for v in versions
            if v is not None
            and may_begin_in_time(
                self._view.stale_for(prompt.model, v),
                self._bounds.stale_weights_limit,
            )
        }
        return [
            s for s in states if s.weights_versions.get(prompt.model) in usable
        ]

    def _find_max_in_flight(self, service: Service) -> int:
        """Return the most requests of this VM that a target may have."""
        members = self._peers.count_members()
        return max(2, service.max_connections // members)


__all__ = [
    'Assignment',
    'TargetSelector',
]
