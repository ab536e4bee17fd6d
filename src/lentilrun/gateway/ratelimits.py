"""The rate limits that targets state, and the turns of this VM."""

from __future__ import annotations

import itertools
from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING
import zlib

from ..decisions.ratelimits import compute_end
from ..decisions.ratelimits import compute_period
from ..decisions.ratelimits import count_turns
from ..decisions.ratelimits import is_early
from ..decisions.ratelimits import list_turn_starts
from ..decisions.ratelimits import Place
from .messages import RateLimitReport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from ..coordination.clock import Clock
    from ..platform.rows import RowStore
    from .logs import Log
    from .peers import Peers
    from .targets import Targets
    from .targetstate import TargetState

# Observations of the same response differ by the time that messages take.
_MIN_NEWER_S = 0.02
# Calls that are not turns, as those that bring an engine to new weights, are
# at most this far apart.
_MAX_CALL_INTERVAL_S = 2.0
# A target whose limit was last stated this long ago gets the next request,
# as only a response shows whether the limit has ended.
_RECHECK_S = 2.0
# A request may take so many times as long as the one before it.
_RETURN_MARGIN = 2.0
# The end of a limit is reported to other VMs for this long.
_REPORT_END_S = 3.0
# Keeps messages small: the limits that were stated first are left out.
_MAX_REPORTS = 200


class RoundRobin(Protocol):
    """The order in which VMs take turns, and the clock that it goes by."""

    def now(self) -> float:
        """Return the time by the clock of all VMs, in seconds."""

    def find_place(self, offset: int) -> Place:
        """Return the place of this VM if the first one is at ``offset``."""


class SingleVm:
    """Gives all turns to this VM; implements ``RoundRobin``."""

    def now(self) -> float:
        """Return 0."""
        return 0.0

    def find_place(self, offset: int) -> Place:
        """Return the only place."""
        return Place(0, 1)


class FleetRoundRobin:
    """The VMs by name, and the store's clock; implements ``RoundRobin``."""

    def __init__(self, peers: Peers, store: RowStore) -> None:
        self._peers = peers
        self._store = store

    def now(self) -> float:
        """Return the time by the store's clock, in seconds."""
        return self._store.estimate_clock()

    def find_place(self, offset: int) -> Place:
        """Return the place of this VM by the order of names."""
        members = self._peers.count_members()
        return Place((self._peers.rank() + offset) % members, members)


class ColdLimit(NamedTuple):
    """The requests a second that a target gets while it is cold.

    It is cold for ``seconds_left``. A VM that does not know the others yet
    has no turns.
    """

    per_s: float
    seconds_left: float
    knows_members: bool


class TargetRateLimit:
    """The limit of one start of a target, in requests per second.

    ``limit`` is what it states, nothing while it states none. ``stated_at``
    is by the VM's clock, in seconds: when the newest response arrived at any
    VM. While the target is cold, the lower of both limits is in force.
    """

    def __init__(self, incarnation: str, round_robin: RoundRobin) -> None:
        self._round_robin = round_robin
        # Different targets begin their turns with different VMs.
        self._offset = zlib.crc32(incarnation.encode())
        self.limit: float | None = None
        self.stated_at = float('-inf')
        self.find_cold_limit: Callable[[], ColdLimit | None] = lambda: None
        self._period = 0
        self._sent = 0
        # Until when turns of the current period may be used once more.
        self._returned: list[float] = []

    def record_stated(self, limit: float, now: float) -> bool:
        """Record a limit; return whether there was none before."""
        return self._set(limit, now)

    def record_not_stated(self, sent_at: float, now: float) -> bool:
        """Record a response without a limit; return whether it ends one.

        It does if the request was sent after the limit was last stated.
        """
        if self.limit is None or sent_at < self.stated_at:
            return False
        return self._set(None, now)

    def receive(self, limit: float | None, stated_at: float) -> bool:
        """Apply what another VM knows; return if a limit begins or ends."""
        if stated_at <= self.stated_at + _MIN_NEWER_S:
            return False
        return self._set(limit, stated_at)

    def _set(self, limit: float | None, stated_at: float) -> bool:
        has_changed = (limit is None) is not (self.limit is None)
        self.limit = limit
        self.stated_at = stated_at
        return has_changed

    def has_turn(self, spare: float = 0.0) -> bool:
        """Return whether this VM may send a request now.

        The target takes ``spare`` requests a second beyond its limit.
        """
        cold = self.find_cold_limit()
        limit = self._pick_limit(cold)
        if limit is None:
            return True
        now = self._round_robin.now()
        if cold is not None and not (cold.knows_members and is_early(now)):
            return False
        period = compute_period(now)
        sent = self._sent if self._is_current(period) else 0
        return sent < count_turns(limit + spare, self._find_place(), period)

    def is_limited(self) -> bool:
        """Return whether a request to the target needs a turn."""
        return self._pick_limit(self.find_cold_limit()) is not None

    def _pick_limit(self, cold: ColdLimit | None) -> float | None:
        if cold is None:
            return self.limit
        return (
            cold.per_s if self.limit is None else min(cold.per_s, self.limit)
        )

    def _is_current(self, period: int) -> bool:
        """Return whether requests of a period count with those before it.

        The estimate of the common clock may go back a little.
        """
        return self._period - 1 <= period <= self._period

    def is_doubtful(self, now: float) -> bool:
        """Return whether the limit may have ended since it was stated."""
        return self.limit is not None and now - self.stated_at > _RECHECK_S

    def record_sent(self) -> None:
        """Count a request that is sent now."""
        if not self.is_limited():
            return
        period = compute_period(self._round_robin.now())
        if not self._is_current(period):
            self._period = period
            self._sent = 0
            self._returned.clear()
        if self.has_returned_turn():
            self._returned.pop()
        else:
            self._sent += 1

    def return_turn(self, seconds: float) -> None:
        """Let a turn be used again, as the target served its request.

        It took ``seconds``. One that takes twice as long must end within
        the period, as another VM may then have the turn.
        """
        now = self._round_robin.now()
        period = compute_period(now)
        if compute_period(now - seconds) == period == self._period:
            end = compute_end(period)
            self._returned.append(end - _RETURN_MARGIN * seconds)

    def has_returned_turn(self) -> bool:
        """Return whether a turn of this period may be used once more."""
        now = self._round_robin.now()
        if compute_period(now) != self._period:
            return False
        self._returned = [u for u in self._returned if u >= now]
        return bool(self._returned)

    def list_turn_delays(self) -> Iterator[float]:
        """Yield the time until each later turn of this VM, in seconds."""
        cold = self.find_cold_limit()
        limit = self._pick_limit(cold)
        assert limit is not None
        now = self._round_robin.now()
        starts = list_turn_starts(
            limit, self._find_place(), compute_period(now)
        )
        delays = (s - now for s in starts)
        if cold is None or self.limit is not None:
            return delays
        # Once it is warm, no request needs a turn.
        left = cold.seconds_left
        cold_delays = itertools.takewhile(lambda d: d < left, delays)
        return itertools.chain(cold_delays, itertools.repeat(left))

    def _find_place(self) -> Place:
        return self._round_robin.find_place(self._offset)

    def call_interval(self) -> float:
        """Return the least time between calls that are not turns, in s."""
        if self.limit is None:
            return 0.0
        if not self.limit:
            return _MAX_CALL_INTERVAL_S
        return min(_MAX_CALL_INTERVAL_S, 1.0 / self.limit)


class StatedLimits(NamedTuple):
    """What a response states; nothing where it states no limit."""

    requests: float | None
    rejections: float | None


class RateLimits:
    """Learns the limits from responses, and exchanges them with other VMs."""

    def __init__(self, clock: Clock, targets: Targets, log: Log) -> None:
        self._clock = clock
        self._targets = targets
        self._log = log
        # Called when a target begins or ceases to state a limit.
        self.on_change: list[Callable[[], None]] = []

    def record_response(
        self,
        state: TargetState,
        stated: StatedLimits,
        sent_at: float,
        is_signed: bool,
    ) -> None:
        """Record what the response to a request states, sent at a time.

        A refusal, which is not signed, may leave limits out.
        """
        for of_rejections in (False, True):
            limit = stated.rejections if of_rejections else stated.requests
            if limit is None and not is_signed:
                continue
            known = state.find_limit(of_rejections)
            if self._record(known, limit, sent_at):
                self._notify(state, of_rejections, None, 0.0)

    def _record(
        self, known: TargetRateLimit, limit: float | None, sent_at: float
    ) -> bool:
        now = self._clock.now()
        if limit is None:
            return known.record_not_stated(sent_at, now)
        return known.record_stated(limit, now)

    def export(self) -> list[RateLimitReport]:
        """Return the limits that targets state or stated until lately."""
        now = self._clock.now()
        reports = [
            RateLimitReport(
                name,
                limit.limit,
                round(now - limit.stated_at, 3),
                of_rejections,
            )
            for name, state in self._targets.states.items()
            for of_rejections in (False, True)
            if (limit := state.find_limit(of_rejections)).limit is not None
            or now - limit.stated_at < _REPORT_END_S
        ]
        reports.sort(key=lambda r: r.age)
        return reports[:_MAX_REPORTS]

    def receive(self, reports: Iterable[RateLimitReport], sender: str) -> None:
        """Apply the limits that another VM knows."""
        now = self._clock.now()
        for report in reports:
            state = self._targets.states.get(report.incarnation)
            if state is None:
                continue
            known = state.find_limit(report.of_rejections)
            if known.receive(report.limit, now - report.age):
                self._notify(state, report.of_rejections, sender, report.age)

    def _notify(
        self,
        state: TargetState,
        of_rejections: bool,
        sender: str | None,
        age: float,
    ) -> None:
        self._log.write(
            'rate_limit',
            target=state.target.incarnation,
            limit=state.find_limit(of_rejections).limit,
            of_rejections=of_rejections,
            peer=sender,
            age=round(age, 3),
        )
        for callback in self.on_change:
            callback()
        self._targets.notify_changed()


__all__ = [
    'ColdLimit',
    'FleetRoundRobin',
    'RateLimits',
    'RoundRobin',
    'SingleVm',
    'StatedLimits',
    'TargetRateLimit',
]
