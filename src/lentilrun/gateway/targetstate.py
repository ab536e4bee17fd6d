"""The state of one start of a target, as a VM knows it."""

from __future__ import annotations

import collections
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..decisions.speeds import NO_PACE
from ..decisions.speeds import PaceCounts
from ..decisions.speeds import SpeedEstimator
from .olderversions import OlderVersions
from .prefixcache import PrefixCache

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.facts import Target
    from .ratelimits import TargetRateLimit
    from .statements import TargetStatements

_OUTCOME_HALF_LIFE_S = 2.0
# Successes that are added to the counted ones, so that a single failure does
# not exclude a target that gets few requests.
_ASSUMED_SUCCESSES = 4.0
# A peer's report of its load is valid for this long.
_PEER_LOAD_TTL_S = 1.8


class Expectation(NamedTuple):
    """A request without its first token; times by the clock, in seconds.

    It was expected to take ``duration`` seconds from ``started_at``.
    """

    started_at: float
    duration: float


class PeerLoad(NamedTuple):
    """A peer's load on a target; times by the clock, in seconds.

    The last of its requests is expected to be complete at ``busy_until``.
    ``successes`` and ``failures`` are decayed counts.
    """

    in_flight: int
    long_in_flight: int
    prefill_tokens: float
    memory_tokens_used: float
    busy_until: float
    successes: float
    failures: float
    prefill_by_urgency: dict[int, float]
    paced_requests: float
    pace_total: float
    received_at: float

    def is_recent(self, now: float) -> bool:
        """Return whether the report is still valid."""
        return now - self.received_at < _PEER_LOAD_TTL_S


class TargetState:
    """The state of one start of a target; sizes in tokens.

    Counts are of this VM's requests, except for those in ``peer_loads``.
    """

    def __init__(
        self,
        target: Target,
        estimator: SpeedEstimator,
        statements: TargetStatements,
    ) -> None:
        """Decay the pace with the requests that ``estimator`` counts."""
        self.target = target
        self.rate_limit = statements.rate_limit
        self.rejection_limit = statements.rejection_limit
        self.statements = statements
        # When this VM sent requests that others may not know of yet.
        self._unreported: collections.deque[float] = collections.deque()
        self._estimator = estimator
        self.weights_versions = dict(target.weights_versions)
        self._older_versions = OlderVersions()
        # Versions of the row that was last believed, and of the last one that
        # may be that of a copy of the store.
        self.row_version = 0
        self.copied_version = 0
        self.in_flight = 0
        self.long_in_flight = 0
        self.prefill_tokens = 0.0
        self.prefill_by_urgency: dict[int, float] = {}
        # Requests that have no first token yet.
        self.waiting: dict[int, Expectation] = {}
        self._pace = NO_PACE
        self._paced_at_request = 0
        self.memory_tokens_used = 0.0
        self.expected_ends: dict[int, float] = {}
        self.peer_loads: dict[str, PeerLoad] = {}
        self.connect_failures = 0
        self.blocked_until = float('-inf')
        # By its row, by the clock in seconds.
        self.cold_until = float('-inf')
        self.weights_loading_until = float('-inf')
        self.is_loading_by_this_vm = False
        # The VM that reported that the target loads weights, if any.
        self.cordoned_by: str | None = None
        # Called when the target goes out of service to load weights.
        self.on_cordon: list[Callable[[], None]] = []
        self.successes = 0.0
        self.failures = 0.0
        self._decayed_at = 0.0
        self.prefix_cache = PrefixCache()

    def is_leaving(self) -> bool:
        """Return whether the target leaves, by its row or its responses."""
        return self.target.is_draining or self.statements.is_leaving

    def find_limit(self, of_rejections: bool) -> TargetRateLimit:
        """Return the limit of requests, or that of rejections."""
        return self.rejection_limit if of_rejections else self.rate_limit

    def record_sent(self, now: float, has_sure_room: bool) -> None:
        """Count a request that is sent now."""
        self.rate_limit.record_sent()
        if not has_sure_room:
            self.rejection_limit.record_sent()
        self._unreported.append(now)

    def count_unreported(self, since: float) -> int:
        """Return how many requests this VM sent after a time."""
        while self._unreported and self._unreported[0] < since:
            self._unreported.popleft()
        return len(self._unreported)

    def record_cold(self, now: float) -> None:
        """Record how long the target stays slow, as it registered."""
        self.cold_until = now + self.target.cold_remaining

    def is_cold(self, now: float) -> bool:
        """Return whether the target is still slow after its start."""
        return self.cold_until > now

    def is_cordoned(self, now: float) -> bool:
        """Return whether the target is out of service to load weights."""
        return self.weights_loading_until > now

    def is_in_service(self, now: float) -> bool:
        """Return whether the target may get requests now."""
        return not (
            self.blocked_until > now
            or self.weights_loading_until > now
            or self.statements.is_resting(now)
            or self.is_leaving()
        )

    def cordon(
        self, now: float, duration: float, by: str | None = None
    ) -> None:
        """Take the target out of service for ``duration`` seconds.

        ``by`` is the VM that reported it, if this VM does not order it.
        """
        is_new = not self.is_cordoned(now)
        self.cordoned_by = by
        self.weights_loading_until = now + duration
        if is_new and self.is_cordoned(now):
            for callback in list(self.on_cordon):
                callback()

    def end_cordon(self) -> None:
        """Put the target into service again."""
        self.cordoned_by = None
        self.weights_loading_until = float('-inf')

    def is_unreachable(self, now: float) -> bool:
        """Return whether the last connections to the target failed."""
        return self.connect_failures > 0 and self.blocked_until > now

    def has_requests(self) -> bool:
        """Return whether this VM has requests at it, or had failures."""
        return self.in_flight > 0 or self.failures > 0.0

    def busy_for(self, now: float) -> float:
        """Return the expected time until all requests end, in seconds."""
        until = max(self.expected_ends.values(), default=now)
        for load in self.peer_loads.values():
            if load.busy_until > until and load.is_recent(now):
                until = load.busy_until
        return max(0.0, until - now)

    def add_prefill(self, urgency: int, tokens: float) -> None:
        """Add tokens to prefill, or remove them if negative."""
        self.prefill_tokens += tokens
        total = self.prefill_by_urgency.get(urgency, 0.0) + tokens
        if total > 0.0:
            self.prefill_by_urgency[urgency] = total
        else:
            self.prefill_by_urgency.pop(urgency, None)

    def record_pace(self, now: float, seconds: float, expected: float) -> None:
        """Record how long a request took, and was expected to take."""
        self.decay_outcomes(now)
        self._pace = self._pace.add(seconds, expected)

    def count_pace(self, now: float) -> PaceCounts:
        """Return the pace of this VM's requests.

        Those that wait for longer than expected count with their age.
        """
        counts = self._pace
        for waiting in self.waiting.values():
            age = now - waiting.started_at
            if age > waiting.duration:
                counts = counts.add(age, waiting.duration)
        return counts

    def count_in_flight(self, now: float) -> int:
        """Return the number of requests of all VMs in flight."""
        peers = self.peer_loads.values()
        return self.in_flight + sum(
            p.in_flight for p in peers if p.is_recent(now)
        )

    def decay_outcomes(self, now: float) -> None:
        """Reduce the weight of outcomes by their age."""
        age = now - self._decayed_at
        factor = 0.5 ** (age / _OUTCOME_HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        requests = self._estimator.request_count
        self._pace = self._pace.decay(age, requests - self._paced_at_request)
        self._paced_at_request = requests
        self._decayed_at = now

    def failure_rate(self) -> float:
        """Return the share of recent responses to all VMs that failed."""
        successes = self.successes
        failures = self.failures
        for load in self.peer_loads.values():
            successes += load.successes
            failures += load.failures
        return failures / (successes + failures + _ASSUMED_SUCCESSES)

    def record_weights_version(self, model: str, version: int) -> bool:
        """Record a version that the target itself states.

        Return whether it is newer than known.
        """
        if version >= self.weights_versions.get(model, 0):
            self._older_versions.forget(model)
        return self._raise_weights_version(model, version)

    def record_stated_version(
        self, model: str, version: int, now: float
    ) -> bool:
        """Record a version that a row or another VM states.

        Return whether it is newer than known. The target may have gone back
        since.
        """
        if self._older_versions.is_doubted(model, version, now):
            return False
        return self._raise_weights_version(model, version)

    def _raise_weights_version(self, model: str, version: int) -> bool:
        if version <= self.weights_versions.get(model, 0):
            return False
        self._set_weights_version(model, version)
        return True

    def record_older_version(
        self, model: str, version: int, now: float
    ) -> bool:
        """Record that the target itself states a version older than known.

        Return whether it is believed.
        """
        if not self._older_versions.confirm(model, version, now):
            return False
        known = self.weights_versions[model]
        self._older_versions.forget(model)
        self._older_versions.doubt(model, known, now)
        self._set_weights_version(model, version)
        return True

    def _set_weights_version(self, model: str, version: int) -> None:
        self.weights_versions[model] = version
        self.end_cordon()
        self.prefix_cache.clear()


__all__ = ['Expectation', 'PeerLoad', 'TargetState']
