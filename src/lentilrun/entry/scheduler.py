"""Assignment of targets to calls, fair by tokens among workspaces."""

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
_OVERLOAD_RETRY_S = 1.0
_MAX_WAITING_CALLS = 4000
# The calls that all VMs together may have at a target, whatever it reports,
# for each of its slots.
_RESERVED_PER_SLOT = 1.5
# Calls are ordered by urgency only among workspaces whose virtual time
# exceeds the lowest one by at most the tokens served in this time; the calls
# of all other workspaces come after them.
_FAIRNESS_SLACK_S = 5.0
# A call is rejected at once if its estimated wait is above this share of
# its remaining time.
_MAX_WAIT_SHARE = 0.7
_MAX_NO_TARGET_WAIT_S = 2.0


@dataclasses.dataclass(eq=False)
class _WaitingCall:
    call: Call
    excluded_targets: frozenset[str]
    assignment: asyncio.Future[Assignment]
    waiting_since: float


class Assignment:
    """A call's slot at a target; released on exit."""

    def __init__(
        self, scheduler: Scheduler, call: Call, choice: PlacementChoice
    ) -> None:
        self.target_state = choice.target_state
        self.cached_tokens = choice.cached_tokens
        self._scheduler = scheduler
        self._model = call.model.name
        self._prefill_tokens = max(
            0, call.prompt_tokens - choice.cached_tokens
        )
        self.target_state.own_in_flight += 1
        self.target_state.prefill_tokens += self._prefill_tokens

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
        """Mark the call's prompt as computed by the target."""
        state = self.target_state
        state.prefill_tokens = max(
            0.0, state.prefill_tokens - self._prefill_tokens
        )
        self._prefill_tokens = 0

    def release(self) -> None:
        """Release the slot and assign it to a waiting call."""
        self.mark_prefilled()
        state = self.target_state
        state.own_in_flight = max(0, state.own_in_flight - 1)
        state.own_in_report = min(state.own_in_report, state.own_in_flight)
        self._scheduler.assign_waiting(self._model)


def _estimate_tokens(call: Call) -> float:
    """Return the most tokens that a call is expected to use."""
    return (
        call.prompt_tokens + call.max_output_tokens
        if call.prompt
        else call.charged_tokens
    )


class Scheduler:
    """Assigns targets to calls; calls wait while all slots are taken."""

    def __init__(
        self,
        state: FleetState,
        pool: TargetPool,
        selector: PlacementSelector,
        moves: MoveTracker,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._pool = pool
        self._selector = selector
        self._moves = moves
        self._metrics = metrics
        self._waiting: dict[str, list[_WaitingCall]] = {}
        self._fair_clock = FairClock()
        self._throughput = Throughput(state.clock)

    def count_waiting(self) -> int:
        """Return the number of waiting calls of all models."""
        return sum(
            len(waiting_calls) for waiting_calls in self._waiting.values()
        )

    async def acquire(
        self, call: Call, excluded_targets: frozenset[str]
    ) -> Assignment:
        """Return the assignment of a call to a target, when one is free.

        Raises ``CallError`` if no slot gets free by the deadline, if the
        model has no usable target for ``_MAX_NO_TARGET_WAIT_S``, or if
        the estimated wait or the number of waiting calls is too high.
        """
        waiting = self._waiting.get(call.model.name)
        if not waiting:
            choice = self._select_target(call, excluded_targets)
            if choice is not None:
                return self._assign(call, choice)
        return await self._wait(call, excluded_targets)

    async def _wait(
        self, call: Call, excluded_targets: frozenset[str]
    ) -> Assignment:
        loop = asyncio.get_running_loop()
        now = self._state.clock.now()
        waiting_call = _WaitingCall(
            call, excluded_targets, loop.create_future(), now
        )
        waiting = self._waiting.setdefault(call.model.name, [])
        if self._estimate_wait(call, waiting) > _MAX_WAIT_SHARE * (
            call.deadline - now
        ):
            raise self._make_overload_error()
        waiting.append(waiting_call)
        if self.count_waiting() > _MAX_WAITING_CALLS:
            self._reject_last(waiting)
        self.assign_waiting(call.model.name)
        max_wait = max(0.0, call.deadline - now)
        if not self._has_targets(call):
            max_wait = min(max_wait, _MAX_NO_TARGET_WAIT_S)
        try:
            async with asyncio.timeout(max_wait):
                return await waiting_call.assignment
        except TimeoutError as error:
            if (
                waiting_call.assignment.done()
                and not waiting_call.assignment.cancelled()
            ):
                if waiting_call.assignment.exception() is None:
                    return waiting_call.assignment.result()
            raise self._make_timeout_error(call) from error
        except asyncio.CancelledError:
            self._release_assignment(waiting_call)
            raise
        finally:
            if waiting_call in waiting:
                waiting.remove(waiting_call)

    def _estimate_wait(self, call: Call, waiting: list[_WaitingCall]) -> float:
        """Return the estimated wait in seconds.

        Counts the waiting calls of the same workspace that are as urgent
        or more, and assumes equal throughput of all waiting workspaces.
        """
        rate = self._throughput.get()
        tokens_ahead = sum(
            _estimate_tokens(w.call)
            for w in waiting
            if w.call.workspace == call.workspace
            and w.call.route.urgency <= call.route.urgency
        )
        if not rate or not tokens_ahead:
            return 0.0
        workspaces = {w.call.workspace for w in waiting}
        return tokens_ahead * len(workspaces) / rate

    def _release_assignment(self, waiting_call: _WaitingCall) -> None:
        assignment = waiting_call.assignment
        if (
            assignment.done()
            and not assignment.cancelled()
            and not assignment.exception()
        ):
            assignment.result().release()

    def _has_targets(self, call: Call) -> bool:
        return bool(self._pool.get_groups(call.model.name))

    def _make_timeout_error(self, call: Call) -> CallError:
        if not self._has_targets(call):
            text = 'no target can take the request'
            return CallError(
                Code.NO_TARGET, text, _UNAVAILABLE, retry_after=1.0
            )
        return self._make_overload_error()

    @staticmethod
    def _make_overload_error() -> CallError:
        return CallError(
            Code.OVERLOADED,
            'all targets are busy',
            _UNAVAILABLE,
            retry_after=_OVERLOAD_RETRY_S,
        )

    def _get_sort_key(
        self,
        waiting_call: _WaitingCall,
        min_virtual_time: float,
        slack: float,
    ) -> tuple[float, ...]:
        """Return the sort key: urgent calls first, within the slack."""
        virtual_time = self._fair_clock.get(waiting_call.call.workspace)
        exceeds_slack = virtual_time - min_virtual_time > slack
        urgency = waiting_call.call.route.urgency
        return (
            float(exceeds_slack),
            float(urgency),
            virtual_time,
            waiting_call.waiting_since,
        )

    def _sort(self, waiting: list[_WaitingCall]) -> None:
        min_virtual_time = min(
            self._fair_clock.get(w.call.workspace) for w in waiting
        )
        self._fair_clock.raise_floor(min_virtual_time)
        slack = _FAIRNESS_SLACK_S * self._throughput.get()
        waiting.sort(
            key=lambda w: self._get_sort_key(w, min_virtual_time, slack)
        )

    def _reject_last(self, waiting: list[_WaitingCall]) -> None:
        self._sort(waiting)
        rejected = waiting.pop()
        if not rejected.assignment.done():
            rejected.assignment.set_exception(self._make_overload_error())

    def assign_waiting(self, model: str) -> None:
        """Assign free slots of a model's targets to waiting calls."""
        waiting = self._waiting.get(model)
        if not waiting:
            return
        self._sort(waiting)
        index = 0
        while index < len(waiting):
            waiting_call = waiting[index]
            if waiting_call.assignment.done():
                waiting.pop(index)
                continue
            choice = self._select_target(
                waiting_call.call, waiting_call.excluded_targets
            )
            if choice is None:
                return
            waiting.pop(index)
            waiting_call.assignment.set_result(
                self._assign(waiting_call.call, choice)
            )

    def assign_all_waiting(self) -> None:
        """Assign free slots of all targets to waiting calls."""
        for model in list(self._waiting):
            self.assign_waiting(model)

    def _assign(self, call: Call, choice: PlacementChoice) -> Assignment:
        workspace = self._state.configuration.workspaces.get(call.workspace)
        weight = workspace.weight if workspace is not None else 1.0
        tokens = _estimate_tokens(call)
        self._fair_clock.charge(call.workspace, tokens, weight)
        self._throughput.record(tokens)
        return Assignment(self, call, choice)

    def _select_target(
        self, call: Call, excluded_targets: frozenset[str]
    ) -> PlacementChoice | None:
        started_at = self._state.clock.now()
        groups = self._pool.get_groups(call.model.name)
        split = self._moves.split_by_version(call.model.name, groups)
        choice = self._select_by_version(call, split, excluded_targets)
        self._metrics.record_time(
            Timing.DECISION, self._state.clock.now() - started_at
        )
        return choice

    def _select_by_version(
        self, call: Call, split: VersionSplit, excluded_targets: frozenset[str]
    ) -> PlacementChoice | None:
        model = call.model.name
        if self._moves.pick_new_version(model, call.route.name, split):
            assert split.new is not None
            choice = self._select_in_group(call, split.new, excluded_targets)
            if choice is not None:
                return choice
        best: PlacementChoice | None = None
        for group in split.old:
            choice = self._select_in_group(call, group, excluded_targets)
            if choice is None:
                continue
            if best is None or choice.cost < best.cost:
                best = choice
        if best is None and split.new is not None and split.share >= 1.0:
            best = self._select_in_group(call, split.new, excluded_targets)
        return best

    def _compute_reserved_slots(self, model: Model) -> float:
        """Return the calls that this VM may have at each target.

        All VMs see a free slot at the same time, and the report of it
        lags. A VM uses its reserved slots without waiting for a report;
        those of all VMs together exceed a target's slots, so that a few
        calls wait at the target and keep it busy.
        """
        vms = max(1, len(self._state.roster.members))
        return model.slots * _RESERVED_PER_SLOT / vms

    def _select_in_group(
        self, call: Call, group: TargetGroup, excluded_targets: frozenset[str]
    ) -> PlacementChoice | None:
        version = self._pool.targets[group.names[0]].weights_version
        salt = prefix.make_salt(call.workspace, version)
        chain = prefix.hash_blocks(call.prompt, salt, call.model.block_bytes)
        request = PlacementRequest(
            call.model, chain, call.prompt_tokens, excluded_targets
        )
        policy = self._state.configuration.policy
        reserved_slots = self._compute_reserved_slots(call.model)
        return self._selector.select(request, group, policy, reserved_slots)


__all__ = ['Assignment', 'Scheduler']
