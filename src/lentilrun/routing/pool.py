"""The targets of each model, and what is known of their state."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from .ring import HashRing

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.configuration import Configuration
    from ..config.configuration import Model
    from ..config.configuration import Target
    from ..coordination.clock import Clock
    from ..targets.loads import ReportedLoad

_BLOCK_BASE = 0.25
_BLOCK_MAX = 4.0
_SERVICE_MEMORY = 0.05
_STALLED = 2
_OTHERS_MEMORY = 0.3


@dataclasses.dataclass
class TargetState:
    """A target as this daemon sees it.

    ``own_in_flight`` counts this daemon's running requests,
    ``own_in_report`` those that the last report already held,
    ``others_in_flight_mean`` those of others; ``prefill_tokens`` are
    still to be computed there, times are in seconds of the clock.
    ``stall_callbacks`` are called when it is found to be stalled.
    """

    target: Target
    model: Model
    incarnation: str = ''
    weights_version: str = ''
    reported_in_flight: int = 0
    own_in_flight: int = 0
    own_in_report: int = 0
    others_in_flight_mean: float = 0.0
    prefill_tokens: float = 0.0
    suspects: int = 0
    leaving: bool = False
    loading_weights: bool = False
    failures: int = 0
    blocked_until: float = float('-inf')
    stall_callbacks: set[Callable[[], None]] = dataclasses.field(
        default_factory=set
    )

    def estimate_in_flight(self) -> int:
        """Return the estimated number of requests at the target."""
        others = max(0, self.reported_in_flight - self.own_in_report)
        return (
            round(max(others, self.others_in_flight_mean)) + self.own_in_flight
        )

    def apply_report(self, reported: int, own_before: int) -> None:
        """Take a report of the requests that it ran a moment ago.

        All VMs see a free target at once. What others held there over
        the last reports tells how many of its places they will take.
        """
        self.reported_in_flight = reported
        self.own_in_report = min(self.own_in_flight, own_before)
        others = max(0, reported - own_before)
        self.others_in_flight_mean += _OTHERS_MEMORY * (
            others - self.others_in_flight_mean
        )

    def count_free_slots(self, part: float) -> int:
        """Return how many more requests it should be given now.

        ``part`` is how many this daemon may hold there whatever others
        do; above it, only places that others seem to leave free count.
        """
        free = self.model.slots - self.estimate_in_flight()
        return max(math.ceil(part) - self.own_in_flight, free)


class TargetGroup:
    """The usable targets of one model and version."""

    def __init__(self, names: tuple[str, ...], ring: HashRing) -> None:
        self.names = names
        self.members = frozenset(names)
        self._ring = ring

    def find_targets(self, key: int, most: int) -> list[str]:
        """Return up to ``most`` of the targets in order for a key."""
        return self._ring.find_members(key, most, self.members)


class TargetPool:
    """The state of all targets, and usable ones by model and version."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.targets: dict[str, TargetState] = {}
        self._by_model: dict[str, list[str]] = {}
        self._rings: dict[str, tuple[tuple[str, ...], HashRing]] = {}
        self._groups: dict[str, dict[str, TargetGroup]] = {}
        self._service_time: dict[str, float] = {}
        self.withdrawn_targets: frozenset[str] = frozenset()

    def configure(self, configuration: Configuration) -> None:
        """Take the targets of a configuration; keeps known states."""
        before = self.targets
        self.targets = {}
        self._by_model = {}
        for name, target in configuration.targets.items():
            model = configuration.models[target.model]
            state = before.get(name)
            moved = state is None or state.target.address != target.address
            if state is None or moved:
                state = TargetState(
                    target, model, weights_version=target.version
                )
            state.target = target
            state.model = model
            self.targets[name] = state
            self._by_model.setdefault(model.name, []).append(name)
        for names in self._by_model.values():
            names.sort()
        self._groups.clear()

    def set_withdrawn_targets(self, gone: frozenset[str]) -> None:
        """Set the targets that the platform lists as leaving or gone."""
        if gone != self.withdrawn_targets:
            self.withdrawn_targets = gone
            self._groups.clear()

    def get_groups(self, model: str) -> dict[str, TargetGroup]:
        """Return the usable targets of a model by version."""
        found = self._groups.get(model)
        if found is None:
            found = self._build(model)
            self._groups[model] = found
        return found

    def _build(self, model: str) -> dict[str, TargetGroup]:
        now = self._clock.now()
        versions: dict[str, list[str]] = {}
        for name in self._by_model.get(model, ()):
            if self._is_usable(self.targets[name], now):
                version = self.targets[name].weights_version
                versions.setdefault(version, []).append(name)
        ring = self._find_ring(model)
        return {v: TargetGroup(tuple(n), ring) for v, n in versions.items()}

    def _find_ring(self, model: str) -> HashRing:
        """Return the ring of all targets of a model, usable or not."""
        names = tuple(self._by_model.get(model, ()))
        known = self._rings.get(model)
        if known is None or known[0] != names:
            known = (names, HashRing(names))
            self._rings[model] = known
        return known[1]

    def _is_usable(self, state: TargetState, now: float) -> bool:
        if (
            state.leaving
            or state.loading_weights
            or state.target.name in self.withdrawn_targets
        ):
            return False
        return state.blocked_until <= now

    def list_targets(self, model: str) -> list[TargetState]:
        """Return all targets of a model, usable or not."""
        return [self.targets[n] for n in self._by_model.get(model, ())]

    def apply_report(
        self, name: str, load: ReportedLoad, own_before: int
    ) -> None:
        """Take a report; ``own_before`` counts our requests it can hold."""
        state = self.targets.get(name)
        if state is None:
            return
        state.apply_report(load.running + load.waiting, own_before)
        before = self._traits(state)
        state.incarnation = load.incarnation or state.incarnation
        state.weights_version = load.weights_version or state.weights_version
        state.leaving = load.leaving
        state.loading_weights = load.loading_weights
        self._recover(state)
        if before != self._traits(state):
            self._groups.pop(state.model.name, None)

    @staticmethod
    def _traits(state: TargetState) -> tuple[str, bool, bool, float]:
        return (
            state.weights_version,
            state.leaving,
            state.loading_weights,
            state.blocked_until,
        )

    def _recover(self, state: TargetState) -> None:
        state.failures = 0
        state.blocked_until = float('-inf')

    def mark_unreachable(self, name: str) -> None:
        """Keep new requests off a target that can't be reached."""
        state = self.targets.get(name)
        if state is None:
            return
        state.failures += 1
        if state.failures >= _STALLED:
            for watcher in list(state.stall_callbacks):
                watcher()
        pause = min(_BLOCK_MAX, _BLOCK_BASE * 2.0**state.failures)
        state.blocked_until = self._clock.now() + pause
        self._groups.pop(state.model.name, None)

    def mark_loading_weights(self, name: str, loading: bool) -> None:
        """Keep requests off a target while it loads weights."""
        state = self.targets.get(name)
        if state is not None:
            state.loading_weights = loading
            self._groups.pop(state.model.name, None)

    def record_identity(
        self, name: str, incarnation: str, version: str
    ) -> None:
        """Note what a target's answer said of itself."""
        state = self.targets.get(name)
        if state is None:
            return
        state.incarnation = incarnation or state.incarnation
        if version and version != state.weights_version:
            state.weights_version = version
            self._groups.pop(state.model.name, None)

    def mark_leaving(self, name: str) -> None:
        """Note that a target said it is leaving."""
        state = self.targets.get(name)
        if state is not None:
            state.leaving = True
            self._groups.pop(state.model.name, None)

    def expire_backoffs(self) -> None:
        """Let targets back in whose pause is over."""
        now = self._clock.now()
        for state in self.targets.values():
            until = state.blocked_until
            if float('-inf') < until <= now:
                state.blocked_until = float('-inf')
                self._groups.pop(state.model.name, None)

    def record_service_time(self, model: str, seconds: float) -> None:
        """Note the time that a request took."""
        mean = self._service_time.get(model, seconds)
        mean += _SERVICE_MEMORY * (seconds - mean)
        self._service_time[model] = mean

    def mean_service_time(self, model: str) -> float:
        """Return the mean time of a model's requests, in seconds."""
        return self._service_time.get(model, 0.0)


__all__ = ['TargetGroup', 'TargetPool', 'TargetState']
