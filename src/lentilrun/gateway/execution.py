"""The execution of one call: its attempts, waits and refusals."""

from __future__ import annotations

import functools
import math
import random
from typing import TYPE_CHECKING

from ..decisions.facts import RouteKind
from ..decisions.placement import assume_usual_pace
from ..decisions.streammoves import MAX_BUDGET_SHARE
from ..decisions.streammoves import may_move
from ..decisions.streammoves import RunningStream
from ..decisions.streamorder import StreamProgress
from ..decisions.waiting import compute_retry_after
from ..decisions.waiting import decide
from ..decisions.waiting import Decision
from ..decisions.waiting import Prospect
from ..metrics.registry import Count
from .attempt import Attempt
from .attempt import AttemptResult
from .attemptoutcome import AttemptOutcome
from .attemptoutcome import ENDED_BY_ROUTER
from .attemptwatch import AttemptWatch
from .call import Reason
from .call import Refusal
from .choice import Assignment
from .choice import TargetSelector
from .crashes import list_suspects
from .exchange import MIN_ATTEMPT_TIME_S
from .forwarding import ForwardedAttempt
from .peers import Peer
from .turnplace import TurnPlace

if TYPE_CHECKING:
    from ..platform.dialect import ResponseHead
    from .call import Call
    from .call import Cancellation
    from .call import ResponseWriter
    from .context import DispatchContext
    from .dispatch import Dispatcher
    from .forwarding import HelperRefusal
    from .relay import ResponseReceiver

_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
# Longest wait of a call for a usable target, as a share of its time left.
_MAX_WAIT_SHARE = 0.6
_RETRY_AFTER_S = 0.25
_QUARANTINE_RETRY_AFTER_S = 1.0
# Retry-After while all targets of a service leave, or are excluded, and none
# has replaced them.
_LEAVING_RETRY_S = 1.0
# A waiting call looks for a target at intervals in this range; they differ so
# that the VMs do not send their calls at the same time.
_QUEUE_POLL_RANGE_S = (0.03, 0.07)
# Most VMs that a call is forwarded to, one after the other.
_MAX_HELPERS = 6
# Longest Retry-After of a call that targets' rate limits leave no turn.
_MAX_TURN_RETRY_AFTER_S = 2.0


class CallExecution:
    """The attempts of one call."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        context: DispatchContext,
        call: Call,
        writer: ResponseWriter,
        cancellation: Cancellation,
    ) -> None:
        self._dispatcher = dispatcher
        self._context = context
        self._call = call
        self._writer = writer
        self._cancellation = cancellation
        self._suspects = list_suspects(call)
        # The last attempt, whose response may still be needed.
        self._held_attempt: Attempt | ForwardedAttempt | None = None
        self._progress = StreamProgress(call.last_event_id)
        self._avoid: set[str] = set()
        self._sent_attempts = 0
        # Attempts whose request a target may have run.
        self._possible_runs = 0
        self._is_abandoned = False
        self._tried_helpers = 0
        # Whether the next attempt was already counted as a retry.
        self._has_reserved_retry = False
        # Whether the caller waits for the rest of a stream that this VM has
        # taken from a target.
        self._owes_rest = False
        self._service = self._pick_service()
        self._budget = dispatcher.retry_budget(self._service)
        self._selector = TargetSelector(
            call, self._service, context, self._budget
        )

    def _pick_service(self) -> str:
        splits = self._call.route.traffic_splits
        if len(splits) == 1:
            return splits[0].service
        weights = [s.weight for s in splits]
        return random.choices(splits, weights)[0].service

    def _time_left(self) -> float:
        return self._call.deadline - self._context.clock.now()

    def _waiting_time_left(self) -> float:
        """Return for how long the caller waits for a response to begin."""
        time_left = self._time_left()
        call = self._call
        if call.route.kind is not RouteKind.STREAMING or self._has_begun():
            return time_left
        return min(time_left, call.patience_end() - self._context.clock.now())

    def _hold_attempt(
        self, attempt: Attempt | ForwardedAttempt | None
    ) -> None:
        """Keep the response of an attempt in place of the previous one."""
        if self._held_attempt is not None:
            self._held_attempt.release()
        self._held_attempt = attempt

    async def run(self) -> None:
        try:
            await self._run()
        finally:
            self._hold_attempt(None)

    async def _run(self) -> None:
        if not self._call.is_forwarded:
            self._budget.record_request(self._context.clock.now())
        while True:
            way = await self._acquire()
            if self._sent_attempts and not self._spend_retry():
                if not self._owes_rest:
                    raise self._make_refusal(Reason.RETRIES_SPENT)
                await self._wait_for_change()
                continue
            result = await self._attempt(way)
            self._is_abandoned = result.is_abandoned
            if result.outcome is AttemptOutcome.DELIVERED:
                return
            if result.outcome is AttemptOutcome.NOT_SENT:
                self._cancellation.permit()
                # No target got what was counted as a retry. A helper may have
                # sent it before it refused the call.
                self._has_reserved_retry = self._sent_attempts > 0 and (
                    isinstance(way, Assignment)
                )
                continue
            self._sent_attempts += 1
            if result.outcome is AttemptOutcome.NOT_RUN:
                self._cancellation.permit()
                continue
            self._possible_runs += 1
            self._owes_rest = (
                result.outcome in ENDED_BY_ROUTER
                and self._progress.has_started
            )
            if result.outcome is AttemptOutcome.MOVED:
                self._avoid |= self._selector.list_outdated()
            elif not self._may_repeat():
                await self._finish_failed(result)
                return

    @functools.singledispatchmethod
    async def _attempt(self, way: Assignment | Peer) -> AttemptResult:
        """Send the call to a target, or to a VM that passes it on."""
        raise NotImplementedError(type(way))

    @_attempt.register
    async def _send(self, assignment: Assignment) -> AttemptResult:
        self._context.crashes.record_attempt(self._suspects)
        attempt = Attempt(
            self._context,
            self._call,
            assignment,
            self._progress,
            self._writer,
            lambda: self._may_move(assignment),
            self._may_repeat_elsewhere(),
            self._forbid_cancellation,
        )
        self._hold_attempt(attempt)
        events_before = self._progress.last_event_id
        with AttemptWatch(
            self._context.rollouts,
            self._context.clock,
            self._call.route.name,
            assignment,
            attempt,
        ) as watch:
            result = await attempt.run()
            watch.finish(result, self._progress.last_event_id - events_before)
        attempt.log(result.outcome, self._sent_attempts)
        self._context.metrics.add(Count.ATTEMPTS, result.outcome)
        self._avoid.add(assignment.state.target.incarnation)
        return result

    @_attempt.register
    async def _forward(self, helper: Peer) -> AttemptResult:
        context = self._context
        configuration = context.view.configuration
        assert configuration is not None
        self._tried_helpers += 1
        started_at = context.clock.now()
        attempt = ForwardedAttempt(
            context.peer_client,
            context.clock,
            self._call,
            helper,
            self._progress,
            self._writer,
            self._record_forwarded_head,
            self._forbid_cancellation,
        )
        self._hold_attempt(attempt)
        with context.helpers.count(helper):
            result = await attempt.run(
                context.peers.own_member.name, configuration.version
            )
        self._log_forward(helper, started_at, result.outcome, result.refusal)
        if result.refusal is not None:
            self._handle_refusal(helper, result.refusal)
        elif result.outcome is AttemptOutcome.NOT_SENT:
            context.helpers.record_unfit(helper)
        return AttemptResult(
            result.outcome, result.receiver, result.is_abandoned
        )

    def _forbid_cancellation(self) -> None:
        """Complete a call that may run from now on, if it must be."""
        if not self._call.may_cancel_sent():
            self._cancellation.forbid()

    def _record_forwarded_head(self, head: ResponseHead) -> None:
        """Record that the target that answered another VM leaves."""
        if head.is_leaving:
            self._context.targets.record_leaving(head.incarnation)

    def _handle_refusal(self, helper: Peer, refusal: HelperRefusal) -> None:
        """Raise ``Refusal`` unless the call may go elsewhere."""
        if refusal.is_of_helper(self._call):
            self._context.helpers.record_unfit(helper)
        elif refusal.reason is Reason.NO_TARGET:
            self._context.helpers.record_no_target(
                self._service, self._call.restriction
            )
        else:
            retry_after = refusal.retry_after
            if retry_after is None:
                retry_after = _RETRY_AFTER_S
            raise self._make_refusal(refusal.reason, retry_after)

    def _log_forward(
        self,
        helper: Peer,
        started_at: float,
        outcome: AttemptOutcome,
        refusal: HelperRefusal | None,
    ) -> None:
        now = self._context.clock.now()
        self._context.metrics.add(Count.FORWARDS, outcome)
        self._context.log.write(
            'forward',
            id=self._call.request_id,
            route=self._call.route.name,
            peer=helper.member.name,
            fate=outcome,
            refusal=refusal.reason if refusal is not None else None,
            held=round(started_at - self._call.incoming.arrived_at, 3),
            sent=self._sent_attempts,
            left=round(self._call.deadline - now, 3),
            events=self._progress.last_event_id,
            seconds=round(now - started_at, 3),
        )

    def _may_repeat_elsewhere(self) -> bool:
        """Return whether another VM may repeat the next attempt."""
        call = self._call
        if call.is_forwarded or not call.route.is_idempotent():
            return False
        return self._possible_runs + 1 < call.route.max_attempts

    def _may_move(self, assignment: Assignment) -> bool:
        """Return whether another engine may continue a stream now.

        If so, the retry for it is spent.
        """
        if assignment.weights_version is None or self._call.is_forwarded:
            return False
        if not self._progress.may_continue():
            return False
        call = self._call
        stream = RunningStream(
            call.route.is_idempotent(),
            self._possible_runs + 1,
            call.route.max_attempts,
            self._time_left(),
            assignment.weights_version,
        )
        newest_version = self._selector.newest_usable_version()
        is_movable = may_move(stream, newest_version)
        self._has_reserved_retry = is_movable and self._spend_retry(
            MAX_BUDGET_SHARE
        )
        self._context.log.write(
            'stream_move',
            id=call.request_id,
            target=assignment.state.target.incarnation,
            weights=stream.weights_version,
            newest=newest_version,
            runs=stream.possible_runs,
            left=round(stream.time_left, 3),
            movable=is_movable,
            moved=self._has_reserved_retry,
        )
        return self._has_reserved_retry

    def _may_repeat(self) -> bool:
        call = self._call
        if call.is_forwarded or self._is_abandoned:
            return False
        if not call.route.is_idempotent():
            return False
        if not self._progress.may_continue():
            return False
        if self._possible_runs >= call.route.max_attempts:
            return False
        if self._context.crashes.is_quarantined(self._suspects):
            return False
        return self._time_left() > MIN_ATTEMPT_TIME_S

    def _spend_retry(self, max_share: float = 1.0) -> bool:
        if self._has_reserved_retry:
            self._has_reserved_retry = False
            return True
        now = self._context.clock.now()
        members = self._context.peers.count_members()
        if not self._budget.spend(now, members, max_share):
            return False
        self._context.metrics.add(Count.RETRIES, self._service)
        return True

    async def _finish_failed(self, result: AttemptResult) -> None:
        """Respond to a call whose last attempt failed after it was sent."""
        receiver: ResponseReceiver = result.receiver
        if (
            result.outcome is AttemptOutcome.FAILED
            and not self._progress.has_started
        ):
            await receiver.deliver()
            return
        reason = Reason.TARGET_FAILED
        if result.outcome is AttemptOutcome.WITHDRAWN:
            reason = Reason.OLD_WEIGHTS
        raise self._make_refusal(reason)

    def _make_refusal(
        self, reason: Reason, retry_after: float = _RETRY_AFTER_S
    ) -> Refusal:
        if not self._possible_runs:
            return Refusal(_UNAVAILABLE, reason, retry_after)
        if self._time_left() <= MIN_ATTEMPT_TIME_S or self._is_abandoned:
            return Refusal(_GATEWAY_TIMEOUT, Reason.DEADLINE)
        return Refusal(_BAD_GATEWAY, reason)

    async def _acquire(self) -> Assignment | Peer:
        """Return a target, or a VM, once the call is to be sent to it."""
        waiting = self._dispatcher.waiting_for_turns
        waiting_ids = self._dispatcher.waiting_ids
        waiting_ids.add(self._call.request_id)
        try:
            with TurnPlace(waiting, self._service) as place:
                return await self._wait_for_way(place)
        finally:
            waiting_ids.discard(self._call.request_id)

    def preview(self) -> Assignment | Peer | None:
        """Return how the call would be sent now, nothing if it would wait.

        Raises ``Refusal`` if it would be refused.
        """
        waiting = self._dispatcher.waiting_for_turns.copy()
        place = TurnPlace(waiting, self._service)
        return self._find_way(place, self._find_wait_end())

    def _find_wait_end(self) -> float:
        """Return until when the call may wait for a usable target."""
        now = self._context.clock.now()
        return now + _MAX_WAIT_SHARE * self._waiting_time_left()

    async def _wait_for_way(self, place: TurnPlace) -> Assignment | Peer:
        until = self._find_wait_end()
        while True:
            way = self._find_way(place, until)
            if way is not None:
                return way
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        await self._dispatcher.wait_for_change(
            random.uniform(*_QUEUE_POLL_RANGE_S)
        )

    def _find_way(
        self, place: TurnPlace, until: float
    ) -> Assignment | Peer | None:
        """Return how the call is to be sent now, nothing if it waits.

        Raises ``Refusal`` if it is not to wait.
        """
        if self._waiting_time_left() <= MIN_ATTEMPT_TIME_S:
            raise self._make_refusal(Reason.DEADLINE)
        if self._dispatcher.is_stopping and not self._has_begun():
            raise self._make_refusal(Reason.LEAVING)
        if self._is_quarantined():
            raise self._make_refusal(
                Reason.QUARANTINED, _QUARANTINE_RETRY_AFTER_S
            )
        if not self._context.targets.has_target_left(
            self._service, self._call.allowed_targets()
        ):
            raise self._make_refusal(Reason.NO_TARGET, _LEAVING_RETRY_S)
        helper = self._find_helper()
        if helper is not None:
            return helper
        assignment = self._selector.select(self._avoid)
        if assignment is None:
            self._check_wait(place, until)
            return None
        if self._decide(assignment) is Decision.SEND:
            return assignment
        return None

    def _check_wait(self, place: TurnPlace, until: float) -> None:
        """Refuse the call if no target will take it until a time.

        The rest of a stream that this VM owes is waited for until the
        deadline: to give up earlier would only break the stream off.
        """
        if self._owes_rest:
            return
        now = self._context.clock.now()
        if now >= until:
            raise self._make_refusal(Reason.NO_TARGET)
        wait = self._context.targets.estimate_return(
            self._service, self._call.allowed_targets()
        )
        if now + wait > until:
            retry_after = wait if math.isfinite(wait) else _LEAVING_RETRY_S
            raise self._make_refusal(Reason.NO_TARGET, retry_after)
        if place.number is None and not self._has_begun():
            self._check_turns(place.take(), until)

    def _find_helper(self) -> Peer | None:
        """Return a VM to forward the call to if no target is in reach.

        Raises ``Refusal`` if another VM forwarded the call to this one.
        """
        if self._context.reachability.reaches(
            self._service, self._call.allowed_targets()
        ):
            return None
        if self._call.is_forwarded:
            raise self._make_refusal(Reason.NO_PATH)
        if self._tried_helpers >= _MAX_HELPERS:
            return None
        return self._context.helpers.pick(
            self._service, self._call.restriction
        )

    def _has_begun(self) -> bool:
        """Return whether the caller has received events of a stream."""
        return self._progress.has_started or self._call.is_continued

    def _check_turns(self, place: int, until: float) -> None:
        """Refuse the call if those before it take all turns until a time.

        Raises ``Refusal`` if all targets that could run it limit their
        requests, and ``place`` other calls wait for them.
        """
        wait = self._selector.estimate_turn_wait(place)
        if wait == math.inf or self._context.clock.now() + wait <= until:
            return
        retry_after = min(wait, _MAX_TURN_RETRY_AFTER_S)
        self._context.log.write(
            'no_turn',
            id=self._call.request_id,
            service=self._service,
            waiting=place,
            wait=round(wait, 3),
            retry_after=round(retry_after, 3),
        )
        raise self._make_refusal(Reason.RATE_LIMITED, retry_after)

    def _is_quarantined(self) -> bool:
        # A stream that has begun, and moves, has crashed no target.
        if self._has_begun():
            return False
        return self._context.crashes.is_quarantined(self._suspects)

    def _decide(self, assignment: Assignment) -> Decision:
        """Return whether to send the call now; raises ``Refusal``."""
        if self._has_begun() or assignment.is_trial:
            # The caller waits for the rest of a stream, or the request
            # shows how a new software version does.
            return Decision.SEND
        prospect = self._make_prospect(assignment)
        decision = decide(prospect)
        if decision is Decision.REFUSE:
            retry_after = compute_retry_after(prospect, random.random())
            self._context.log.write(
                'overload',
                id=self._call.request_id,
                target=assignment.state.target.incarnation,
                wait=round(prospect.estimated_wait, 3),
                queue=round(prospect.queue_wait, 3),
                left=round(prospect.time_left, 3),
                retry_after=round(retry_after, 3),
            )
            raise self._make_refusal(Reason.OVERLOADED, retry_after)
        estimator = self._context.targets.get_estimator(self._service)
        # Calls do not wait because of speeds that are only assumed.
        return decision if estimator.is_settled() else Decision.SEND

    def _make_prospect(self, assignment: Assignment) -> Prospect:
        call = self._call
        choice = assignment.choice
        now = self._context.clock.now()
        # A target that was slow shows that it is not any more only by a
        # request: without any in flight it is sent one.
        if choice.pace > 1.0 and not assignment.state.count_in_flight(now):
            choice = assume_usual_pace(choice)
        waited = now - call.incoming.arrived_at
        time_left = self._waiting_time_left()
        aim = (
            call.route.target_latency
            or call.route.timeout
            or self._time_left()
        )
        return Prospect(
            choice.estimated_wait,
            choice.queue_wait,
            aim - waited,
            time_left,
            aim,
        )


__all__ = ['CallExecution']
