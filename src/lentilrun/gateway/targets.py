"""All targets that a VM knows, and those that may get a request now."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from ..decisions.coldtargets import Coldness
from ..decisions.coldtargets import ColdTimes
from ..decisions.coldtargets import ColdTolerance
from ..decisions.coldtargets import compute_slot_rate
from ..decisions.coldtargets import find_coldness
from ..decisions.evenload import SentRequests
from ..decisions.placement import Candidate
from ..decisions.places import EVERYWHERE
from ..decisions.places import Places
from ..decisions.ratelimits import count_spare_turns
from ..decisions.ratelimits import has_sure_room
from ..decisions.ratelimits import Room
from ..decisions.ratelimits import sees_room
from ..decisions.speeds import estimate_pace
from ..decisions.speeds import PaceCounts
from ..decisions.speeds import SpeedEstimator
from .messages import LeavingReport
from .messages import PrefillReport
from .prefixcache import CacheLimits
from .ratelimits import ColdLimit
from .ratelimits import RoundRobin
from .ratelimits import SingleVm
from .recent import Origin
from .recent import RecentReports
from .statements import StatementBook
from .targetstate import TargetState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..coordination.clock import Clock
    from ..decisions.facts import Configuration
    from ..decisions.facts import Service
    from ..decisions.facts import Target
    from ..decisions.sources import PrefillPlan

_MIN_BACKOFF_S = 0.15
_MAX_BACKOFF_S = 2.5
# Rows that state the same end of a time differ by how late they are read.
_MIN_COLD_CHANGE_S = 1.0
# A VM that has started hears from others within about this time.
_REPORT_WAIT_S = 0.25
# Of all targets together; each takes about 0.2 KB.
_MAX_CACHED_SEGMENTS = 65_536


class Targets:
    """All targets by incarnation."""

    def __init__(self, clock: Clock, data_centre: str) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self.round_robin: RoundRobin = SingleVm()
        self.states: dict[str, TargetState] = {}
        self.on_change: list[Callable[[], None]] = []
        self._statements = StatementBook()
        self.prefills: RecentReports[PrefillReport] = RecentReports(clock)
        # Estimators by service.
        self._estimators: collections.defaultdict[str, SpeedEstimator] = (
            collections.defaultdict(SpeedEstimator)
        )
        # The last requests of this VM by service.
        self._sent: collections.defaultdict[str, SentRequests] = (
            collections.defaultdict(SentRequests)
        )
        # Memory of an engine by service, in tokens, and its slots.
        self._memory_tokens: dict[str, int] = {}
        self._slots: dict[str, int] = {}
        # The number of VMs, and how late they know of requests, in seconds.
        self.count_members: Callable[[], int] = lambda: 1
        self.report_lag: Callable[[], float] = lambda: 0.0
        # The data centres without the evacuated ones.
        self.places = EVERYWHERE
        self.cold_tolerance = ColdTolerance()
        # By service, the turns a second of a cold target, and for how long
        # targets are cold after a start, in seconds.
        self._cold_rates: dict[str, float] = {}
        self._cold_starts: dict[str, float] = {}
        # When the evacuations of data centres ended.
        self._returned_at: dict[str, float] = {}
        # Whether this VM knows all targets, and the other VMs.
        self.knows_targets: Callable[[], bool] = lambda: False
        self.knows_members: Callable[[], bool] = lambda: True
        # Whether other VMs may know of cold targets what this one does not.
        self.awaits_reports: Callable[[], bool] = lambda: False
        # Called if a target becomes cold, or remains so for longer.
        self.on_cold: list[Callable[[TargetState, Coldness], None]] = []

    def configure(self, configuration: Configuration) -> None:
        """Apply the sizes of the engines, and the limits of cold targets."""
        services = configuration.services.values()
        rates = {
            s.name: compute_slot_rate(s.cold_per_s, self.cold_tolerance)
            for s in services
        }
        self._cold_rates = {n: r for n, r in rates.items() if r is not None}
        self._cold_starts = {s.name: s.cold_start for s in services}
        engines = {
            n: s.engine
            for n, s in configuration.services.items()
            if s.engine is not None
        }
        self._memory_tokens = {n: e.memory_tokens for n, e in engines.items()}
        self._slots = {n: e.slots for n, e in engines.items()}

    def record_prefill(self, report: PrefillReport, origin: Origin) -> None:
        """Record the segments that any VM sent to an engine."""
        state = self.states.get(report.incarnation)
        if state is None or not self.prefills.add(report, origin):
            return
        limits = CacheLimits(
            self._memory_tokens.get(state.target.service, 0),
            _MAX_CACHED_SEGMENTS // len(self.states),
        )
        state.prefix_cache.record_prefill(report.salt, report.segments, limits)

    def notify_changed(self) -> None:
        """Call the callbacks for a change of the targets."""
        for callback in self.on_change:
            callback()

    def register(self, target: Target, is_copy: bool = False) -> None:
        """Add or update a target from its registration.

        For how long it is cold counts from now, unless the row ``is_copy``:
        one that was read before the store was restored.
        """
        state = self.states.get(target.incarnation)
        coldness = None
        if state is None or state.target.started_at_ms != target.started_at_ms:
            self.states[target.incarnation] = self._make_state(target)
        else:
            coldness = self.find_coldness(state)
            state.target = target
            now = self._clock.now()
            for model, version in target.weights_versions.items():
                state.record_stated_version(model, version, now)
        state = self.states[target.incarnation]
        if not is_copy:
            state.record_cold(self._clock.now())
        self._notify_cold(state, coldness)
        self.notify_changed()

    def _make_state(self, target: Target) -> TargetState:
        is_new = self.knows_targets() and not self._statements.knows(target)
        statements = self._statements.find(target, self.round_robin)
        if is_new:
            statements.started_at = self._clock.now()
        state = TargetState(
            target, self._estimators[target.service], statements
        )
        state.rate_limit.find_cold_limit = lambda: self._find_cold_limit(state)
        return state

    def _notify_cold(
        self, state: TargetState, before: Coldness | None
    ) -> None:
        coldness = self.find_coldness(state)
        if coldness is None:
            return
        if before and coldness.until - before.until < _MIN_COLD_CHANGE_S:
            return
        for callback in self.on_cold:
            callback(state, coldness)

    def find_coldness(self, state: TargetState) -> Coldness | None:
        """Return until when a target is limited as it is cold, and why.

        Return nothing if it is warm, or if cold targets of its service have
        no limit.
        """
        target = state.target
        if target.service not in self._cold_rates:
            return None
        times = ColdTimes(
            state.cold_until,
            state.statements.started_at,
            self._returned_at.get(target.data_centre, float('-inf')),
        )
        cold_start = self._cold_starts[target.service]
        return find_coldness(times, cold_start, self._clock.now())

    def _find_cold_limit(self, state: TargetState) -> ColdLimit | None:
        rate = self._cold_rates.get(state.target.service)
        if rate is None:
            return None
        coldness = self.find_coldness(state)
        if coldness is not None:
            seconds_left = coldness.until - self._clock.now()
        elif self.awaits_reports():
            seconds_left = _REPORT_WAIT_S
        else:
            return None
        return ColdLimit(rate, seconds_left, self.knows_members())

    def count_cold(self) -> int:
        """Return the number of targets that are limited as they are cold."""
        states = self.states.values()
        return sum(self.find_coldness(s) is not None for s in states)

    def remove(self, incarnation: str) -> TargetState | None:
        """Remove a target; return its state if it was known."""
        return self.states.pop(incarnation, None)

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Exclude the targets of these data centres, and of no others."""
        self.places = Places(data_centres)
        self.notify_changed()

    def record_return(self, data_centre: str, age: float = 0.0) -> None:
        """Record that the evacuation of a data centre has ended.

        It did so ``age`` seconds ago.
        """
        states = [
            s
            for s in self.states.values()
            if s.target.data_centre == data_centre
        ]
        before = [self.find_coldness(s) for s in states]
        self._returned_at[data_centre] = self._clock.now() - age
        for state, coldness in zip(states, before, strict=True):
            self._notify_cold(state, coldness)

    def list_returns(self) -> dict[str, float]:
        """Return how long ago evacuations ended, while it matters.

        Targets may be cold as long after that as after a start.
        """
        now = self._clock.now()
        limit = max(
            (self._cold_starts[n] for n in self._cold_rates), default=0.0
        )
        return {
            name: now - at
            for name, at in self._returned_at.items()
            if now - at < limit
        }

    def receive_returns(self, ages: dict[str, float]) -> None:
        """Apply the ends of evacuations that another VM knows.

        A VM that starts later finds no row of them. Times that differ less
        than messages take are the same.
        """
        now = self._clock.now()
        for data_centre, age in ages.items():
            known = self._returned_at.get(data_centre, float('-inf'))
            if now - age > known + _MIN_COLD_CHANGE_S:
                self.record_return(data_centre, age)

    def has_target_left(
        self, service: str, allowed: frozenset[str] | None = None
    ) -> bool:
        """Return whether a target may get a request, if not now.

        It is so too if no data centre is excluded. Only those that are
        ``allowed`` count, all without it; the same holds below.
        """
        places = self._find_places(allowed)
        return places.is_everywhere() or places.has_any(
            s.target.data_centre for s in self.list_of_service(service)
        )

    def list_included(
        self, service: str, allowed: frozenset[str] | None = None
    ) -> list[TargetState]:
        """Return a service's targets in data centres that may be used."""
        places = self._find_places(allowed)
        states = self.list_of_service(service)
        if places.is_everywhere():
            return states
        return [s for s in states if places.includes(s.target.data_centre)]

    def _find_places(self, allowed: frozenset[str] | None) -> Places:
        return self.places._replace(allowed=allowed)

    def list_of_service(self, service: str) -> list[TargetState]:
        """Return the targets of a service."""
        states = self.states.values()
        return [s for s in states if s.target.service == service]

    def list_usable(
        self,
        service: str,
        avoid: Iterable[str] = (),
        allowed: frozenset[str] | None = None,
    ) -> list[TargetState]:
        """Return the targets of a service that may get requests now."""
        return [
            s
            for s in self._list_in_service(service, allowed)
            if s.target.incarnation not in avoid
            and s.rate_limit.has_turn()
            and (s.rejection_limit.limit is None or self._may_reject(s))
        ]

    def _may_reject(self, state: TargetState) -> bool:
        """Return whether a target takes a request, or bears to reject it."""
        limit = state.rejection_limit
        if limit.limit is None or limit.has_returned_turn():
            return True
        room = self._estimate_room(state)
        members = self.count_members()
        spare = count_spare_turns(room, members, limit.limit)
        if spare is None:
            return False
        return limit.has_turn(spare) or has_sure_room(room, members)

    def _estimate_room(self, state: TargetState) -> Room:
        now = self._clock.now()
        loads = [p for p in state.peer_loads.values() if p.is_recent(now)]
        return Room(
            self._slots.get(state.target.service, state.target.slots),
            state.count_in_flight(now),
            state.count_unreported(now - self.report_lag()),
            self._memory_tokens.get(state.target.service, 0),
            state.memory_tokens_used
            + sum(p.memory_tokens_used for p in loads),
        )

    def record_sent(self, state: TargetState) -> bool:
        """Count a request that is sent now; return if it took a turn."""
        limit = state.rejection_limit.limit
        is_sure = limit is None or has_sure_room(
            self._estimate_room(state), self.count_members()
        )
        state.record_sent(self._clock.now(), is_sure)
        return not is_sure

    def record_served(self, state: TargetState, seconds: float) -> None:
        """Record that a request that took a turn had room at a target."""
        slots = self._estimate_room(state).slots
        if not sees_room(self.count_members(), slots):
            state.rejection_limit.return_turn(seconds)

    def list_if_all_limited(
        self, service: str, allowed: frozenset[str] | None = None
    ) -> list[TargetState]:
        """Return the targets of a service if all of them are limited.

        Otherwise some may take requests without a turn, if not now.
        """
        states = [
            s
            for s in self.list_included(service, allowed)
            if not s.is_leaving()
        ]
        if not all(s.rate_limit.is_limited() for s in states):
            return []
        return states

    def _list_in_service(
        self, service: str, allowed: frozenset[str] | None
    ) -> list[TargetState]:
        now = self._clock.now()
        return [
            s
            for s in self.list_included(service, allowed)
            if s.is_in_service(now)
        ]

    def record_leaving(self, incarnation: str) -> bool:
        """Record that a target stated that it leaves; return if it is new."""
        state = self.states.get(incarnation)
        if state is None or state.statements.is_leaving:
            return False
        state.statements.is_leaving = True
        self.notify_changed()
        return True

    def list_stated_leaving(self) -> list[LeavingReport]:
        """Return the targets that stated to any VM that they leave."""
        return [
            LeavingReport(n, s.target.started_at_ms)
            for n, s in self.states.items()
            if s.statements.is_leaving
        ]

    def receive_leaving(self, reports: Iterable[LeavingReport]) -> None:
        """Apply what other VMs know; it holds for one start of a target."""
        for report in reports:
            state = self.states.get(report.incarnation)
            if (
                state is not None
                and state.target.started_at_ms == report.started_at_ms
            ):
                self.record_leaving(report.incarnation)

    def estimate_return(
        self, service: str, allowed: frozenset[str] | None = None
    ) -> float:
        """Return when a target of a service takes requests again, in s.

        It is 0 unless all of them rest or leave, and infinite if all leave.
        """
        states = self.list_included(service, allowed)
        now = self._clock.now()
        staying = [s for s in states if not s.is_leaving()]
        if not states or any(
            not s.statements.is_resting(now) for s in staying
        ):
            return 0.0
        ends = [s.statements.rest_until for s in staying]
        return min(ends, default=math.inf) - now

    def list_cache_sources(
        self, service: str, allowed: frozenset[str] | None = None
    ) -> list[TargetState]:
        """Return the engines that others may fetch cached segments from."""
        now = self._clock.now()
        return [
            s
            for s in self.list_included(service, allowed)
            if s.blocked_until <= now and not s.is_cordoned(now)
        ]

    def record_success(self, state: TargetState) -> None:
        """Record a whole response and end the back-off."""
        state.decay_outcomes(self._clock.now())
        state.successes += 1.0
        state.connect_failures = 0
        state.blocked_until = float('-inf')

    def record_failure(self, state: TargetState) -> None:
        """Record a response that failed."""
        state.decay_outcomes(self._clock.now())
        state.failures += 1.0

    def record_unreachable(self, state: TargetState) -> None:
        """Send no requests to a target for a time that doubles each time."""
        self.record_failure(state)
        backoff = min(
            _MAX_BACKOFF_S, _MIN_BACKOFF_S * 2.0**state.connect_failures
        )
        state.connect_failures += 1
        state.blocked_until = self._clock.now() + backoff

    def retry_unreachable(self) -> None:
        """Use targets again that were out of reach, as the path is back."""
        now = self._clock.now()
        for state in self.states.values():
            if state.is_unreachable(now):
                state.connect_failures = 0
                state.blocked_until = float('-inf')
        self.notify_changed()

    def make_candidate(
        self,
        state: TargetState,
        service: Service,
        prefill_plan: PrefillPlan,
        has_stale_weights: bool,
        is_outdated: bool,
        urgency: int,
    ) -> Candidate:
        """Return the state of a target for a request of some ``urgency``."""
        now = self._clock.now()
        state.decay_outcomes(now)
        engine = service.engine
        in_flight = state.in_flight
        long_in_flight = state.long_in_flight
        prefill_tokens = state.prefill_tokens
        memory_tokens_used = state.memory_tokens_used
        urgent_tokens = _sum_urgent(state.prefill_by_urgency, urgency)
        requests, pace_total = state.count_pace(now)
        # One loop, as this runs for each target that a call compares.
        for load in state.peer_loads.values():
            if not load.is_recent(now):
                continue
            in_flight += load.in_flight
            long_in_flight += load.long_in_flight
            prefill_tokens += load.prefill_tokens
            memory_tokens_used += load.memory_tokens_used
            urgent_tokens += _sum_urgent(load.prefill_by_urgency, urgency)
            requests += load.paced_requests
            pace_total += load.pace_total
        return Candidate(
            state.target.incarnation,
            self.is_local(state),
            has_stale_weights,
            engine.slots if engine is not None else state.target.slots,
            in_flight,
            long_in_flight,
            prefill_tokens,
            memory_tokens_used,
            state.busy_for(now),
            engine.memory_tokens if engine is not None else 0,
            prefill_plan,
            state.failure_rate(),
            urgent_tokens,
            estimate_pace(PaceCounts(requests, pace_total)),
            is_outdated,
        )

    def compare_busiest(self) -> dict[str, float]:
        """Return the most requests in flight at a target, by service.

        They are those that this VM knows of, as a multiple of the mean of the
        service's targets that are in service. Services with a single target
        or without requests have no value.
        """
        now = self._clock.now()
        counts = collections.defaultdict(list)
        for state in self.states.values():
            if state.is_in_service(now):
                counts[state.target.service].append(state.count_in_flight(now))
        return {
            service: max(in_flight) * len(in_flight) / sum(in_flight)
            for service, in_flight in counts.items()
            if len(in_flight) > 1 and any(in_flight)
        }

    def get_estimator(self, service: str) -> SpeedEstimator:
        """Return the estimator of the speeds of a service's targets."""
        return self._estimators[service]

    def get_sent(self, service: str) -> SentRequests:
        """Return the last requests that this VM sent to a service."""
        return self._sent[service]

    def is_local(self, state: TargetState) -> bool:
        """Return whether a target is in this VM's data centre."""
        return state.target.data_centre == self._data_centre


def _sum_urgent(tokens_by_urgency: dict[int, float], urgency: int) -> float:
    """Return the tokens of requests that are at least as urgent."""
    total = 0.0
    for other, tokens in tokens_by_urgency.items():
        if other <= urgency:
            total += tokens
    return total


__all__ = ['Targets']
