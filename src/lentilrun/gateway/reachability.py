"""Whether this VM reaches any target, found out by connecting to some.

A network partition may leave connections open and silent, reset them, or
only keep new ones from being made.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from .events import wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from ..coordination.clock import Clock
    from ..web.client import Client
    from .logs import Log
    from .targets import Targets
    from .targetstate import TargetState

# If targets owe responses and none of them has sent a byte for this time,
# connections are checked.
_SILENCE_S = 0.6
_POLL_INTERVAL_S = 0.2
# Least time between checks while targets are in reach.
_MIN_CHECK_INTERVAL_S = 1.0
# Time between checks while no target is in reach.
_CUT_OFF_CHECK_INTERVAL_S = 0.4
# Without requests nothing is checked; the task wakes up to begin again.
_IDLE_INTERVAL_S = 30.0
_CHECKED_TARGETS = 3


class AttemptWatch:
    """A context manager around an attempt that may lose its target.

    ``has_stopped`` is set once it was stopped because this VM is cut off
    from all targets.
    """

    def __init__(
        self,
        reachability: Reachability,
        state: TargetState,
        started_at: float,
        stop: Callable[[], None] | None,
    ) -> None:
        """Without ``stop``, the attempt goes on until it ends by itself."""
        self._reachability = reachability
        self._stop = stop
        self.state = state
        self.started_at = started_at
        self.has_stopped = False

    def __enter__(self) -> AttemptWatch:
        self._reachability.add(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._reachability.remove(self)

    def may_stop(self) -> bool:
        """Return whether it goes on, and another VM may repeat it."""
        return self._stop is not None and not self.has_stopped

    def stop(self) -> None:
        """Stop the attempt if another VM may repeat it."""
        if self._stop is not None and not self.has_stopped:
            self.has_stopped = True
            self._stop()


class Reachability:
    """Checks the connections to targets when there is reason to doubt them."""

    def __init__(
        self, clock: Clock, client: Client, targets: Targets, log: Log
    ) -> None:
        self._clock = clock
        self._client = client
        self._targets = targets
        self._log = log
        self._attempts: set[AttemptWatch] = set()
        self._last_heard = float('-inf')
        self._checked_at = float('-inf')
        self._cut_off_since: float | None = None
        self._has_failed = False
        self._wake = asyncio.Event()
        # Called when the last target was lost, or the first one regained.
        self.on_change: list[Callable[[], None]] = []

    def is_cut_off(self) -> bool:
        """Return whether this VM reaches no target at all."""
        return self._cut_off_since is not None

    def reaches(
        self, service: str, allowed: frozenset[str] | None = None
    ) -> bool:
        """Return whether this VM may reach some target of a service.

        Only those in data centres that are ``allowed`` count, if it is set.
        """
        if self.is_cut_off():
            return False
        now = self._clock.now()
        states = self._targets.list_included(service, allowed)
        return not states or not all(s.is_unreachable(now) for s in states)

    def watch(
        self, state: TargetState, stop: Callable[[], None] | None
    ) -> AttemptWatch:
        """Return the watch of an attempt at a target that begins now."""
        return AttemptWatch(self, state, self._clock.now(), stop)

    def add(self, attempt: AttemptWatch) -> None:
        """Count an attempt as one that waits for its target."""
        if not self._attempts:
            self._wake.set()
        self._attempts.add(attempt)

    def remove(self, attempt: AttemptWatch) -> None:
        """Remove an attempt that has ended."""
        self._attempts.discard(attempt)

    def record_data(self) -> None:
        """Record that a target sent something."""
        self._last_heard = self._clock.now()

    def record_failure(self) -> None:
        """Record that a target was out of reach, or broke off."""
        self._has_failed = True
        self._wake.set()

    async def run(self) -> None:
        """Check connections until cancelled."""
        while True:
            self._wake.clear()
            if self._is_check_due():
                await self._check()
            await wait_for_event(self._wake, self._interval())
            if self._wake.is_set() and not self._is_check_due():
                # Many requests may begin, or fail, until the next check.
                await asyncio.sleep(_POLL_INTERVAL_S)

    def _interval(self) -> float:
        if self.is_cut_off():
            return _CUT_OFF_CHECK_INTERVAL_S
        if self._attempts or self._has_failed:
            return _POLL_INTERVAL_S
        return _IDLE_INTERVAL_S

    def _is_check_due(self) -> bool:
        if self.is_cut_off():
            return True
        if self._clock.now() - self._checked_at < _MIN_CHECK_INTERVAL_S:
            return False
        return self._has_failed or self._is_silent()

    def _is_silent(self) -> bool:
        """Return whether no target sends, though some owe responses."""
        limit = self._clock.now() - _SILENCE_S
        return self._last_heard <= limit and any(
            a.started_at <= limit for a in self._attempts
        )

    def _pick_targets(self) -> list[TargetState]:
        """Return targets to connect to, reachable ones first.

        A path to evacuated targets is of no use. The targets of attempts
        are added if these are to be judged: rows may be there before their
        targets take connections, while others respond.
        """
        now = self._clock.now()
        states = [
            s
            for s in self._targets.states.values()
            if not s.is_leaving()
            and self._targets.places.includes(s.target.data_centre)
        ]
        random.shuffle(states)
        states.sort(key=lambda s: s.is_unreachable(now))
        picked = states[:_CHECKED_TARGETS]
        if not picked or not self._is_silent():
            return picked
        awaited = {id(a.state): a.state for a in self._attempts}
        others = [s for s in awaited.values() if s not in picked]
        random.shuffle(others)
        return picked + others[:_CHECKED_TARGETS]

    async def _check(self) -> None:
        """Connect to some targets; any connection shows a path to them."""
        self._has_failed = False
        states = self._pick_targets()
        if not states:
            return
        connected = await asyncio.gather(
            *(self._client.open_idle(s.target.address) for s in states)
        )
        self._checked_at = self._clock.now()
        if any(connected):
            self._record_path()
        else:
            self._record_no_path(states)
            if self._is_silent():
                await self._stop_attempts()

    def _record_path(self) -> None:
        if self._cut_off_since is None:
            return
        seconds = self._clock.now() - self._cut_off_since
        self._cut_off_since = None
        self._targets.retry_unreachable()
        self._log.write('targets_regained', seconds=round(seconds, 3))
        self._notify()

    def _record_no_path(self, states: list[TargetState]) -> None:
        if self._cut_off_since is None:
            self._cut_off_since = self._clock.now()
            self._log.write(
                'targets_lost',
                tried=[s.target.incarnation for s in states],
                attempts=len(self._attempts),
                heard=round(self._clock.now() - self._last_heard, 3),
            )
            self._notify()

    async def _stop_attempts(self) -> None:
        """Stop the attempts at targets that are out of reach.

        A target that leaves may take no connections. If it still answers, it
        is connected to in vain, but the connection is refused at once.
        """
        # Connections that hang are lost, also if the network recovers.
        self._client.close_all_idle()
        uncertain: dict[int, list[AttemptWatch]] = {}
        for attempt in list(self._attempts):
            if self._takes_connections(attempt.state):
                attempt.stop()
            elif attempt.may_stop():
                uncertain.setdefault(id(attempt.state), []).append(attempt)
        await asyncio.gather(*map(self._stop_if_lost, uncertain.values()))

    async def _stop_if_lost(self, attempts: list[AttemptWatch]) -> None:
        """Stop attempts at one target if nothing answers at its address."""
        address = attempts[0].state.target.address
        if await self._client.is_in_reach(address) or not self._is_silent():
            return
        for attempt in attempts:
            if attempt in self._attempts:
                attempt.stop()

    def _takes_connections(self, state: TargetState) -> bool:
        """Return whether a target is expected to take connections."""
        known = self._targets.states.get(state.target.incarnation)
        return known is state and not state.is_leaving()

    def _notify(self) -> None:
        for callback in self.on_change:
            callback()


__all__ = ['AttemptWatch', 'Reachability']
