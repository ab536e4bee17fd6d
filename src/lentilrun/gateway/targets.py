"""The targets that a VM knows: their load, health and cached parts."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..decisions.placement import Candidate
from .messages import PrefillReport
from .prefixcache import PrefixCache
from .recent import Origin
from .recent import RecentReports

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..coordination.clock import Clock
    from ..decisions.facts import Configuration
    from ..decisions.facts import Service
    from ..decisions.facts import Target
    from ..decisions.sources import PrefillPlan

_BLOCK_BASE_S = 0.15
_BLOCK_MAX_S = 2.5
# Outcomes lose half of their weight in this time.
_HALF_LIFE_S = 2.0
# Outcomes that are assumed to have been good, so that one failure of a
# target that is seldom asked does not shut it out.
_ASSUMED_GOOD = 4.0
# What a peer says of a load holds for so long.
_PEER_LOAD_S = 1.8


class PeerLoad(NamedTuple):
    """What a peer runs at a target; times by the clock, in seconds.

    ``busy_until`` is when its last request there is expected to end.
    """

    in_flight: int
    long_in_flight: int
    prefill_tokens: float
    memory_tokens_used: float
    busy_until: float
    successes: float
    failures: float
    received_at: float

    def is_recent(self, now: float) -> bool:
        """Return whether it still tells of the present."""
        return now - self.received_at < _PEER_LOAD_S


class TargetState:
    """One start of a target as this VM sees it; sizes in tokens."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self.weights_versions = dict(target.weights_versions)
        self.in_flight = 0
        self.long_in_flight = 0
        self.prefill_tokens = 0.0
        self.memory_tokens_used = 0.0
        self.expected_ends: dict[int, float] = {}
        self.peer_loads: dict[str, PeerLoad] = {}
        self.connect_failures = 0
        self.blocked_until = float('-inf')
        self.weights_loading_until = float('-inf')
        self.is_loading_by_this_vm = False
        self.successes = 0.0
        self.failures = 0.0
        self._weighed = 0.0
        self.prefix_cache = PrefixCache()

    def busy_for(self, now: float) -> float:
        """Return after how long all requests are done, in seconds."""
        peers = self.peer_loads.values()
        ends = [p.busy_until for p in peers if p.is_recent(now)]
        until = max([*ends, *self.expected_ends.values()], default=now)
        return max(0.0, until - now)

    def count_in_flight(self, now: float) -> int:
        """Return the requests of all VMs that it runs."""
        peers = self.peer_loads.values()
        return self.in_flight + sum(
            p.in_flight for p in peers if p.is_recent(now)
        )

    def decay_outcomes(self, now: float) -> None:
        """Let old outcomes fade."""
        factor = 0.5 ** ((now - self._weighed) / _HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self._weighed = now

    def failure_rate(self) -> float:
        """Return the share of answers of all VMs that failed lately."""
        loads = self.peer_loads.values()
        good = self.successes + sum(p.successes for p in loads)
        bad = self.failures + sum(p.failures for p in loads)
        return bad / (good + bad + _ASSUMED_GOOD)

    def record_weights_version(self, model: str, version: int) -> bool:
        """Note a version that the target has; return if it is newer."""
        if version <= self.weights_versions.get(model, 0):
            return False
        self.weights_versions[model] = version
        self.weights_loading_until = float('-inf')
        self.prefix_cache.clear()
        return True


class Targets:
    """All targets by incarnation."""

    def __init__(self, clock: Clock, data_centre: str) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self.states: dict[str, TargetState] = {}
        self.on_change: list[Callable[[], None]] = []
        self.prefills: RecentReports[PrefillReport] = RecentReports(clock)
        # Memory of an engine by service, in tokens.
        self._memory: dict[str, int] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the sizes of the engines."""
        self._memory = {
            n: s.engine.memory_tokens
            for n, s in configuration.services.items()
            if s.engine is not None
        }

    def record_prefill(self, news: PrefillReport, origin: Origin) -> None:
        """Note what an engine was given to read, by whichever VM."""
        state = self.states.get(news.incarnation)
        if state is None or not self.prefills.add(news, origin):
            return
        memory = self._memory.get(state.target.service, 0)
        state.prefix_cache.record_prefill(news.salt, news.segments, memory)

    def notify_changed(self) -> None:
        """Tell all that wait for a target."""
        for call in self.on_change:
            call()

    def register(self, target: Target) -> None:
        """Take what a target says of itself."""
        state = self.states.get(target.incarnation)
        if state is None or state.target.started_at_ms != target.started_at_ms:
            self.states[target.incarnation] = TargetState(target)
        else:
            state.target = target
            for model, version in target.weights_versions.items():
                state.record_weights_version(model, version)
        self.notify_changed()

    def remove(self, incarnation: str) -> TargetState | None:
        """Forget a target that is gone."""
        return self.states.pop(incarnation, None)

    def list_of_service(self, service: str) -> list[TargetState]:
        """Return the targets of a service."""
        found = self.states.values()
        return [s for s in found if s.target.service == service]

    def list_usable(
        self, service: str, avoid: Iterable[str] = ()
    ) -> list[TargetState]:
        """Return the targets that may get a request now."""
        now = self._clock.now()
        return [
            s
            for s in self.list_of_service(service)
            if not s.target.is_draining
            and s.blocked_until <= now
            and s.weights_loading_until <= now
            and s.target.incarnation not in avoid
        ]

    def list_cache_sources(self, service: str) -> list[TargetState]:
        """Return the engines that others may fetch kept cache from."""
        now = self._clock.now()
        return [
            s
            for s in self.list_of_service(service)
            if s.blocked_until <= now and s.weights_loading_until <= now
        ]

    def record_success(self, state: TargetState) -> None:
        """Note an answer that came whole."""
        state.decay_outcomes(self._clock.now())
        state.successes += 1.0
        state.connect_failures = 0
        state.blocked_until = float('-inf')

    def record_failure(self, state: TargetState) -> None:
        """Note an answer that failed."""
        state.decay_outcomes(self._clock.now())
        state.failures += 1.0

    def record_unreachable(self, state: TargetState) -> None:
        """Keep requests off a target for a while, longer each time."""
        self.record_failure(state)
        pause = min(_BLOCK_MAX_S, _BLOCK_BASE_S * 2.0**state.connect_failures)
        state.connect_failures += 1
        state.blocked_until = self._clock.now() + pause

    def make_candidate(
        self,
        state: TargetState,
        service: Service,
        supply: PrefillPlan,
        is_stale: bool,
    ) -> Candidate:
        """Return a target as a request sees it.

        ``is_stale`` tells that its weights were replaced.
        """
        now = self._clock.now()
        state.decay_outcomes(now)
        loads = [p for p in state.peer_loads.values() if p.is_recent(now)]
        engine = service.engine
        return Candidate(
            state.target.incarnation,
            self.is_local(state),
            is_stale,
            engine.slots if engine is not None else state.target.slots,
            state.in_flight + sum(p.in_flight for p in loads),
            state.long_in_flight + sum(p.long_in_flight for p in loads),
            state.prefill_tokens + sum(p.prefill_tokens for p in loads),
            state.memory_tokens_used
            + sum(p.memory_tokens_used for p in loads),
            state.busy_for(now),
            engine.memory_tokens if engine is not None else 0,
            supply,
            state.failure_rate(),
        )

    def is_local(self, state: TargetState) -> bool:
        """Return whether a target is in this VM's data centre."""
        return state.target.data_centre == self._data_centre


__all__ = [
    'PeerLoad',
    'Targets',
    'TargetState',
]
