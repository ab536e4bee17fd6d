"""The targets of each model and their state as this VM sees it."""

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

# The back-off of an unreachable target doubles with each failure; the first
# is twice the base.
_BACKOFF_BASE_S = 0.25
_MAX_BACKOFF_S = 4.0
# A smoothing share is the share of the newest value in a moving average.
_SERVICE_TIME_SMOOTHING_SHARE = 0.05
_STALLED_AFTER_FAILURES = 2
_OTHERS_SMOOTHING_SHARE = 0.3


@dataclasses.dataclass
class TargetState:
    """The state of a target as this VM sees it.

    ``reported_in_flight`` counts the requests in the target's last load
    report, ``own_in_flight`` this VM's requests at the target, and
    ``own_in_report`` those of them that the report includes.
    ``others_in_flight_mean`` is a moving average of other VMs' requests
    in the reports. ``prefill_tokens`` counts the prompt tokens of this
    VM's requests that the target still has to compute; ``failures``
    counts how often the target was marked as unreachable since the last
    report. ``blocked_until`` is a time of the clock, in seconds.
    ``stall_callbacks`` are called when the target is stalled:
    unreachable several times in a row. ``suspects`` is not used.
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
        """Return the estimated number of requests of all VMs there."""
        others = max(0, self.reported_in_flight - self.own_in_report)
        return (
            round(max(others, self.others_in_flight_mean)) + self.own_in_flight
        )

    def apply_report(self, in_flight: int, own_reported: int) -> None:
        """Apply a load report with the requests at the target.

        ``own_reported`` counts this VM's requests that the report can
        include. All VMs see a free slot at the same time, so the mean
        number of other VMs' requests in the last reports predicts how
        many slots they are about to fill.
        """
        self.reported_in_flight = in_flight
        self.own_in_report = min(self.own_in_flight, own_reported)
        others = max(0, in_flight - own_reported)
        self.others_in_flight_mean += _OTHERS_SMOOTHING_SHARE * (
            others - self.others_in_flight_mean
        )

    def count_free_slots(self, reserved_slots: float) -> int:
        """Return how many more requests this VM may send there now.

        ``reserved_slots`` is the number of requests that this VM may
        have there regardless of other VMs; above it only slots count
        that other VMs are estimated to leave free.
        """
        free = self.model.slots - self.estimate_in_flight()
        return max(math.ceil(reserved_slots) - self.own_in_flight, free)


class TargetGroup:
    """The usable targets of one model and weights version."""

    def __init__(self, names: tuple[str, ...], ring: HashRing) -> None:
        self.names = names
        self.members = frozenset(names)
        self._ring = ring

    def find_targets(self, key: int, max_targets: int) -> list[str]:
        """Return up to ``max_targets`` targets in ring order for a key."""
        return self._ring.find_members(key, max_targets, self.members)


class TargetPool:
    """All targets' states; usable ones by model and weights version."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.targets: dict[str, TargetState] = {}
        self._by_model: dict[str, list[str]] = {}
        self._rings: dict[str, tuple[tuple[str, ...], HashRing]] = {}
        self._groups: dict[str, dict[str, TargetGroup]] = {}
        self._mean_service_times: dict[str, float] = {}
        self.withdrawn_targets: frozenset[str] = frozenset()

    def configure(self, configuration: Configuration) -> None:
        """Set the targets; keeps the states of those that stay."""
        old_states = self.targets
        self.targets = {}
        self._by_model = {}
        for name, target in configuration.targets.items():
            model = configuration.models[target.model]
            state = old_states.get(name)
            is_new = state is None or state.target.address != target.address
            if state is None or is_new:
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

    def set_withdrawn_targets(self, names: frozenset[str]) -> None:
        """Set the targets that the platform lists as leaving or removed."""
        if names != self.withdrawn_targets:
            self.withdrawn_targets = names
            self._groups.clear()

    def get_groups(self, model: str) -> dict[str, TargetGroup]:
        """Return the usable targets of a model by weights version."""
        groups = self._groups.get(model)
        if groups is None:
            groups = self._build_groups(model)
            self._groups[model] = groups
        return groups

    def _build_groups(self, model: str) -> dict[str, TargetGroup]:
        now = self._clock.now()
        versions: dict[str, list[str]] = {}
        for name in self._by_model.get(model, ()):
            if self._is_usable(self.targets[name], now):
                version = self.targets[name].weights_version
                versions.setdefault(version, []).append(name)
        ring = self._get_ring(model)
        return {
            v: TargetGroup(tuple(names), ring) for v, names in versions.items()
        }

    def _get_ring(self, model: str) -> HashRing:
        """Return the ring of all targets of a model, usable or not.

        It is rebuilt only when the model's targets change.
        """
        names = tuple(self._by_model.get(model, ()))
        cached = self._rings.get(model)
        if cached is None or cached[0] != names:
            cached = (names, HashRing(names))
            self._rings[model] = cached
        return cached[1]

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
        self, name: str, load: ReportedLoad, own_reported: int
    ) -> None:
        """Apply a target's load report.

        ``own_reported`` counts this VM's requests that the report can
        include.
        """
        state = self.targets.get(name)
        if state is None:
            return
        state.apply_report(load.running + load.waiting, own_reported)
        old_fields = self._get_grouping_fields(state)
        state.incarnation = load.incarnation or state.incarnation
        state.weights_version = load.weights_version or state.weights_version
        state.leaving = load.leaving
        state.loading_weights = load.loading_weights
        self._clear_failures(state)
        if old_fields != self._get_grouping_fields(state):
            self._groups.pop(state.model.name, None)

    @staticmethod
    def _get_grouping_fields(
        state: TargetState,
    ) -> tuple[str, bool, bool, float]:
        return (
            state.weights_version,
            state.leaving,
            state.loading_weights,
            state.blocked_until,
        )

    def _clear_failures(self, state: TargetState) -> None:
        state.failures = 0
        state.blocked_until = float('-inf')

    def mark_unreachable(self, name: str) -> None:
        """Block new requests to an unreachable target for a back-off.

        After ``_STALLED_AFTER_FAILURES`` failures in a row its stall
        callbacks are called as well.
        """
        state = self.targets.get(name)
        if state is None:
            return
        state.failures += 1
        if state.failures >= _STALLED_AFTER_FAILURES:
            for callback in list(state.stall_callbacks):
                callback()
        backoff = min(_MAX_BACKOFF_S, _BACKOFF_BASE_S * 2.0**state.failures)
        state.blocked_until = self._clock.now() + backoff
        self._groups.pop(state.model.name, None)

    def mark_loading_weights(self, name: str, loading: bool) -> None:
        """Set whether a target loads weights and so gets no requests."""
        state = self.targets.get(name)
        if state is not None:
            state.loading_weights = loading
            self._groups.pop(state.model.name, None)

    def record_identity(
        self, name: str, incarnation: str, version: str
    ) -> None:
        """Record the incarnation and weights version in a response.

        An empty text leaves the recorded value.
        """
        state = self.targets.get(name)
        if state is None:
            return
        state.incarnation = incarnation or state.incarnation
        if version and version != state.weights_version:
            state.weights_version = version
            self._groups.pop(state.model.name, None)

    def mark_leaving(self, name: str) -> None:
        """Mark a target as leaving, so that it gets no new requests."""
        state = self.targets.get(name)
        if state is not None:
            state.leaving = True
            self._groups.pop(state.model.name, None)

    def expire_backoffs(self) -> None:
        """Make targets usable again whose back-off is over."""
        now = self._clock.now()
        for state in self.targets.values():
            blocked_until = state.blocked_until
            if float('-inf') < blocked_until <= now:
                state.blocked_until = float('-inf')
                self._groups.pop(state.model.name, None)

    def record_service_time(self, model: str, seconds: float) -> None:
        """Add a request's time, in seconds, to the mean of its model."""
        mean = self._mean_service_times.get(model, seconds)
        mean += _SERVICE_TIME_SMOOTHING_SHARE * (seconds - mean)
        self._mean_service_times[model] = mean

    def mean_service_time(self, model: str) -> float:
        """Return the mean time of a model's requests, in seconds.

        It is 0 before the first request.
        """
        return self._mean_service_times.get(model, 0.0)


__all__ = ['TargetGroup', 'TargetPool', 'TargetState']
