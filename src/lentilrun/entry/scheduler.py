"""The order in which waiting calls get targets: fair by tokens."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from ..errors import CallError
from ..errors import Code
from ..metrics.registry import Timing
from ..routing import prefix
from ..routing.selection import PlacementRequest
from .fairness import FairClock
from .fairness import Throughput

if TYPE_CHECKING:
    from types import TracebackType

    from ..config.configuration import Model
    from ..fleet.state import FleetState
    from ..metrics.registry import Metrics
    from ..moves.progress import MoveTracker
    from ..moves.progress import VersionSplit
    from ..routing.pool import TargetGroup
    from ..routing.pool import TargetPool
    from ..routing.selection import PlacementChoice
    from ..routing.selection import PlacementSelector
    from .call import Call

_UNAVAILABLE = 503
_OVERLOAD_RETRY = 1.0
_MAX_WAITING = 4000
_FILL = 1.5
_SLACK = 5.0
# The share of a deadline that a call may be expected to wait.
_PATIENCE = 0.7
_NO_TARGET_WAIT = 2.0


@dataclasses.dataclass(eq=False)
class _Waiter:
    call: Call
    avoid: frozenset[str]
    ready: asyncio.Future[Assignment]
    since: float


class Assignment:
    """A call's place at a target; given back on exit."""

    def __init__(
        self, scheduler: Scheduler, call: Call, choice: PlacementChoice
    ) -> None:
        self.target_state = choice.target_state
        self.cached_tokens = choice.cached_tokens
        self._scheduler = scheduler
        self._model = call.model.name
        self._prefill = max(0, call.prompt_tokens - choice.cached_tokens)
        self.target_state.own_in_flight += 1
        self.target_state.prefill_tokens += self._prefill

    def __enter__(self) -> Assignment:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()

    def mark_prefilled(self) -> None:
        """Note that the call's prompt was computed."""
        state = self.target_state
        state.prefill_tokens = max(0.0, state.prefill_tokens - self._prefill)
        self._prefill = 0

    def release(self) -> None:
        """Give the place to another call."""
        self.mark_prefilled()
        state = self.target_state
        state.own_in_flight = max(0, state.own_in_flight - 1)
        state.own_in_report = min(state.own_in_report, state.own_in_flight)
        self._scheduler.assign_waiting(self._model)


def _weigh(call: Call) -> float:
    """Return the tokens that a call is expected to take."""
    return (
        call.prompt_tokens + call.max_output_tokens
        if call.prompt
        else call.charged_tokens
    )


class Scheduler:
    """Gives targets to calls; those that find no room wait their turn."""

    def __init__(
        self,
        state: FleetState,
        pool: TargetPool,
        chooser: PlacementSelector,
        moves: MoveTracker,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._pool = pool
        self._chooser = chooser
        self._moves = moves
        self._metrics = metrics
        self._waiting: dict[str, list[_Waiter]] = {}
        self._fair = FairClock()
        self._throughput = Throughput(state.clock)

    def count_waiting(self) -> int:
        """Return how many calls wait."""
        return sum(len(w) for w in self._waiting.values())

    async def acquire(self, call: Call, avoid: frozenset[str]) -> Assignment:
        """Return a target for a call, with its place taken.

        Raises ``CallError`` if none has room by the deadline.
        """
        waiting = self._waiting.get(call.model.name)
        if not waiting:
            choice = self._try(call, avoid)
            if choice is not None:
                return self._take(call, choice)
        return await self._wait(call, avoid)

    async def _wait(self, call: Call, avoid: frozenset[str]) -> Assignment:
        loop = asyncio.get_running_loop()
        now = self._state.clock.now()
        waiter = _Waiter(call, avoid, loop.create_future(), now)
        waiting = self._waiting.setdefault(call.model.name, [])
        if self._expect_wait(call, waiting) > _PATIENCE * (
            call.deadline - now
        ):
            raise self._overloaded()
        waiting.append(waiter)
        if self.count_waiting() > _MAX_WAITING:
            self._shed(waiting)
        self.assign_waiting(call.model.name)
        limit = max(0.0, call.deadline - now)
        if not self._has_targets(call):
            limit = min(limit, _NO_TARGET_WAIT)
        try:
            async with asyncio.timeout(limit):
                return await waiter.ready
        except TimeoutError as error:
            if waiter.ready.done() and not waiter.ready.cancelled():
                if waiter.ready.exception() is None:
                    return waiter.ready.result()
            raise self._explain(call) from error
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            if waiter in waiting:
                waiting.remove(waiter)

    def _expect_wait(self, call: Call, waiting: list[_Waiter]) -> float:
        """Return how long a call's workspace takes to get to it."""
        rate = self._throughput.get()
        ahead = sum(
            _weigh(w.call)
            for w in waiting
            if w.call.workspace == call.workspace
            and w.call.route.urgency <= call.route.urgency
        )
        if not rate or not ahead:
            return 0.0
        workspaces = {w.call.workspace for w in waiting}
        return ahead * len(workspaces) / rate

    def _give_back(self, waiter: _Waiter) -> None:
        ready = waiter.ready
        if ready.done() and not ready.cancelled() and not ready.exception():
            ready.result().release()

    def _has_targets(self, call: Call) -> bool:
        return bool(self._pool.get_groups(call.model.name))

    def _explain(self, call: Call) -> CallError:
        if not self._has_targets(call):
            text = 'no target can take the request'
            return CallError(
                Code.NO_TARGET, text, _UNAVAILABLE, retry_after=1.0
            )
        return self._overloaded()

    @staticmethod
    def _overloaded() -> CallError:
        return CallError(
            Code.OVERLOADED,
            'all targets are busy',
            _UNAVAILABLE,
            retry_after=_OVERLOAD_RETRY,
        )

    def _key(
        self, waiter: _Waiter, least: float, slack: float
    ) -> tuple[float, ...]:
        """Return the sort key: urgent calls first, within fair shares."""
        served = self._fair.get(waiter.call.workspace)
        beyond = served - least > slack
        urgency = waiter.call.route.urgency
        return (float(beyond), float(urgency), served, waiter.since)

    def _sort(self, waiting: list[_Waiter]) -> None:
        least = min(self._fair.get(w.call.workspace) for w in waiting)
        self._fair.raise_floor(least)
        slack = _SLACK * self._throughput.get()
        waiting.sort(key=lambda w: self._key(w, least, slack))

    def _shed(self, waiting: list[_Waiter]) -> None:
        self._sort(waiting)
        last = waiting.pop()
        if not last.ready.done():
            last.ready.set_exception(self._overloaded())

    def assign_waiting(self, model: str) -> None:
        """Give free places of a model's targets to those who wait."""
        waiting = self._waiting.get(model)
        if not waiting:
            return
        self._sort(waiting)
        index = 0
        while index < len(waiting):
            waiter = waiting[index]
            if waiter.ready.done():
                waiting.pop(index)
                continue
            choice = self._try(waiter.call, waiter.avoid)
            if choice is None:
                return
            waiting.pop(index)
            waiter.ready.set_result(self._take(waiter.call, choice))

    def assign_all_waiting(self) -> None:
        """Give free places of all targets to those who wait."""
        for model in list(self._waiting):
            self.assign_waiting(model)

    def _take(self, call: Call, choice: PlacementChoice) -> Assignment:
        workspace = self._state.configuration.workspaces.get(call.workspace)
        weight = workspace.weight if workspace is not None else 1.0
        tokens = _weigh(call)
        self._fair.charge(call.workspace, tokens, weight)
        self._throughput.record(tokens)
        return Assignment(self, call, choice)

    def _try(
        self, call: Call, avoid: frozenset[str]
    ) -> PlacementChoice | None:
        started = self._state.clock.now()
        groups = self._pool.get_groups(call.model.name)
        split = self._moves.split_by_version(call.model.name, groups)
        choice = self._choose(call, split, avoid)
        self._metrics.record_time(
            Timing.DECISION, self._state.clock.now() - started
        )
        return choice

    def _choose(
        self, call: Call, split: VersionSplit, avoid: frozenset[str]
    ) -> PlacementChoice | None:
        model = call.model.name
        if self._moves.pick_new_version(model, call.route.name, split):
            assert split.new is not None
            choice = self._choose_in(call, split.new, avoid)
            if choice is not None:
                return choice
        best: PlacementChoice | None = None
        for group in split.old:
            choice = self._choose_in(call, group, avoid)
            if choice is None:
                continue
            if best is None or choice.cost < best.cost:
                best = choice
        if best is None and split.new is not None and split.share >= 1.0:
            best = self._choose_in(call, split.new, avoid)
        return best

    def _find_part(self, model: Model) -> float:
        """Return the calls that this VM may hold at each target.

        All VMs see a free place at once, and a report of it lags. Their
        parts need no report: together they keep each target busy, with
        a few calls that wait there.
        """
        vms = max(1, len(self._state.roster.members))
        return model.slots * _FILL / vms

    def _choose_in(
        self, call: Call, group: TargetGroup, avoid: frozenset[str]
    ) -> PlacementChoice | None:
        version = self._pool.targets[group.names[0]].weights_version
        salt = prefix.make_salt(call.workspace, version)
        chain = prefix.hash_blocks(call.prompt, salt, call.model.block_bytes)
        wish = PlacementRequest(call.model, chain, call.prompt_tokens, avoid)
        policy = self._state.configuration.policy
        part = self._find_part(call.model)
        return self._chooser.select(wish, group, policy, part)


__all__ = ['Assignment', 'Scheduler']
