"""One attempt of a call: the exchange with a target, and its records."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..decisions.facts import RouteKind
from ..decisions.quarantine import list_segments
from ..decisions.sources import identify_shared_prefix
from ..decisions.sources import pick_kv_cache_store
from ..errors import LentilrunError
from ..metrics.registry import Timing
from ..platform import dialect
from ..platform.dialect import ForwardedHeaders
from ..web.body import release_body
from ..web.client import Request
from .attemptlog import AttemptRecord
from .attemptlog import write_attempt
from .attemptoutcome import AttemptOutcome
from .attemptoutcome import ENDED_BY_ROUTER
from .attemptstatements import AttemptStatements
from .crashes import list_suspects
from .exchange import CallerPatience
from .exchange import choose_ack_timeout
from .exchange import MIN_ATTEMPT_TIME_S
from .exchange import run_exchange
from .loads import LoadReservation
from .messages import PrefillReport
from .prefillplans import list_allowed_stores
from .recent import Origin
from .relay import ResponseReceiver
from .streammoves import StreamMove
from .withdrawals import Withdrawal

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from ..config.ini import Address
    from ..decisions.facts import Target
    from ..decisions.quarantine import Suspect
    from ..decisions.streamorder import StreamProgress
    from .call import Call
    from .call import ResponseWriter
    from .choice import Assignment
    from .context import DispatchContext
    from .targetstate import TargetState

# A target that refused a request because it was full gets no requests for
# this long.
_FULL_TARGET_BACKOFF_S = 0.08
# A target has begun to answer without a crash once a stream lasts this long
# after its first event.
_CRASH_DELAY_S = 0.1
# A target may end its stream when its time is over, as if it were complete. It
# gets this much more time, so that the router breaks the stream off before.
_STREAM_DEADLINE_MARGIN_S = 0.1


class UnknownEndError(LentilrunError):
    """A stream ended with its connection, maybe before its last event."""


class AttemptResult(NamedTuple):
    """How an attempt ended; the receiver holds the target's response.

    ``is_abandoned`` is set if the caller is assumed to have stopped waiting.
    """

    outcome: AttemptOutcome
    receiver: ResponseReceiver
    is_abandoned: bool


class Attempt:
    """Sends a call to one target and relays the response."""

    def __init__(
        self,
        context: DispatchContext,
        call: Call,
        assignment: Assignment,
        progress: StreamProgress,
        writer: ResponseWriter,
        may_move: Callable[[], bool],
        may_stop: bool,
        on_start: Callable[[], None],
    ) -> None:
        """Continue the stream whose ``progress`` earlier attempts made.

        ``may_move`` returns whether another target may continue the stream
        now, and reserves the retry for that if so. The attempt ``may_stop``
        when this VM loses all targets, as another VM may repeat it.
        ``on_start`` is called before the first byte of the request is sent.
        """
        self._context = context
        self._call = call
        self._assignment = assignment
        self._progress = progress
        self._may_move = may_move
        self._may_stop = may_stop
        # By the clock, in seconds.
        self.started_at = context.clock.now()
        self._target_deadline = self._find_target_deadline()
        self.first_event_at: float | None = None
        self._has_answered = False
        # Whether the request may be rejected for want of room.
        self._took_turn = False
        self._error: LentilrunError | None = None
        self._load = LoadReservation(
            assignment,
            call.urgency(),
            context.targets.get_estimator(assignment.service.name),
            context.clock,
        )
        self._receiver = ResponseReceiver(
            call.request_id,
            writer,
            progress,
            self._record_first_event,
            expects_body=call.incoming.method != 'HEAD',
        )
        self._receiver.on_head = AttemptStatements(
            context, call.request_id, assignment.state
        ).record
        self._receiver.on_start = on_start
        self._receiver.on_data = context.reachability.record_data
        self._patience = CallerPatience(
            call, context.clock, progress, self._receiver
        )

    def release(self) -> None:
        """Drop what was received of the response."""
        self._receiver.release()

    async def run(self) -> AttemptResult:
        """Send the request; deliver a complete response to the caller.

        Raises ``StreamClosedError`` if the caller has disconnected.
        """
        receiver = self._receiver
        self._took_turn = self._context.targets.record_sent(
            self._assignment.state
        )
        self._record_prefill()
        self._context.targets.get_sent(self._assignment.service.name).record(
            identify_shared_prefix(self._call.prompt),
            self._assignment.choice.added_cost,
        )
        request = Request(
            self._call.incoming.method,
            self._call.incoming.uri,
            self._make_headers(),
            self._call.incoming.body,
            max(MIN_ATTEMPT_TIME_S, self._time_left()),
            choose_ack_timeout(self._call),
            self._call.request_id,
            self._call.route.is_idempotent(),
        )
        move = StreamMove(
            self._assignment.state,
            self._context.clock,
            receiver,
            self._may_move,
        )
        withdrawal = self._make_withdrawal()
        path = self._context.reachability.watch(
            self._assignment.state, receiver.stop if self._may_stop else None
        )
        with self._load, move, withdrawal, self._patience, path:
            outcome = await self._exchange(request)
            if outcome is AttemptOutcome.DELIVERED:
                self._load.record_response()
        if outcome is AttemptOutcome.BROKEN:
            if move.has_stopped:
                outcome = AttemptOutcome.MOVED
            elif withdrawal.has_stopped:
                outcome = AttemptOutcome.WITHDRAWN
            elif path.has_stopped:
                outcome = AttemptOutcome.CUT_OFF
        self._record_outcome(outcome)
        if outcome is AttemptOutcome.DELIVERED:
            release_body(self._call.incoming.body)
            await receiver.deliver()
        return AttemptResult(outcome, receiver, self._patience.is_over)

    def _time_left(self) -> float:
        return self._call.deadline - self._context.clock.now()

    def _find_target_deadline(self) -> float:
        """Return until when the target is to work, by the clock."""
        if self._call.route.kind is RouteKind.STREAMING:
            return self._call.deadline + _STREAM_DEADLINE_MARGIN_S
        return self._call.deadline

    def _make_withdrawal(self) -> Withdrawal:
        prompt = self._call.prompt
        return Withdrawal(
            self._context.view,
            prompt.model if prompt is not None else '',
            self._assignment.weights_version,
            self._context.bounds.stale_weights_limit,
            self._has_begun,
            self._receiver.stop,
        )

    def _has_begun(self) -> bool:
        """Return whether the target is known to run the request."""
        if self._call.route.kind is RouteKind.STREAMING:
            return self.first_event_at is not None
        return self._receiver.head is not None

    def _record_prefill(self) -> None:
        """Record the segments that the target is to prefill, for all VMs."""
        assignment = self._assignment
        prompt = self._call.prompt
        if prompt is None or assignment.weights_version is None:
            return
        report = PrefillReport(
            assignment.state.target.incarnation,
            assignment.salt,
            prompt.segments,
        )
        self._context.targets.record_prefill(report, Origin.OWN)

    def _record_first_event(self) -> None:
        self._load.record_first_event()
        if self.first_event_at is None:
            self.first_event_at = self._context.clock.now()
            if not self._call.route.is_idempotent():
                # The stream has begun and can't be run again.
                release_body(self._call.incoming.body)
        if not self._has_answered and not self._is_beginning():
            self._has_answered = True
            self._record_response(list_segments(self._call.prompt))
        if not self._progress.has_started:
            elapsed = (
                self._context.clock.now() - self._call.incoming.arrived_at
            )
            self._context.metrics.record_time(Timing.FIRST_TOKEN, elapsed)

    def _is_beginning(self) -> bool:
        """Return whether the target has at most begun to answer."""
        if self._has_answered:
            return False
        if self.first_event_at is None:
            return True
        elapsed = self._context.clock.now() - self.first_event_at
        return elapsed < _CRASH_DELAY_S

    async def _exchange(self, request: Request) -> AttemptOutcome:
        result = await run_exchange(
            self._context.client,
            self._assignment.state.target.address,
            request,
            self._receiver,
            self._patience,
        )
        self._error = result.error
        receiver = self._receiver
        if result.error is None and not receiver.is_truncated():
            # The whole response arrived, though it can't be used.
            self._has_answered |= result.outcome is AttemptOutcome.BROKEN
        if result.outcome is AttemptOutcome.DELIVERED:
            return await self._check_end()
        return result.outcome

    async def _check_end(self) -> AttemptOutcome:
        """Return how a response that seems whole has ended."""
        if self._is_past_deadline():
            return AttemptOutcome.TIMED_OUT
        if await self._is_end_known():
            return AttemptOutcome.DELIVERED
        self._error = UnknownEndError('the target does not run any more')
        return AttemptOutcome.BROKEN

    def _is_past_deadline(self) -> bool:
        """Return whether the target may have ended a stream at its deadline.

        This VM may be late to end the exchange before.
        """
        if not self._receiver.is_stream():
            return False
        return self._context.clock.now() >= self._target_deadline

    async def _is_end_known(self) -> bool:
        receiver = self._receiver
        if not receiver.has_unknown_end():
            return True
        ends = self._context.response_ends
        if receiver.is_stream():
            return await ends.confirm_stream(
                self._call, self._assignment.state
            )
        return await ends.confirm_body(self._assignment.state)

    def _make_headers(self) -> HTTPHeaders:
        assignment = self._assignment
        call = self._call
        workspace = call.workspace
        forwarded = ForwardedHeaders(
            workspace.name if workspace is not None else '',
            self._target_deadline - self._context.clock.now(),
            assignment.state.target.incarnation,
            call.urgency(),
            assignment.weights_version,
            assignment.salt,
            assignment.choice.prefill_plan.source,
            self._find_save_store(),
        )
        headers = dialect.make_forwarded_headers(
            call.incoming.headers, forwarded
        )
        if self._progress.last_event_id > call.last_event_id:
            dialect.resume_after(headers, self._progress.last_event_id)
        return headers

    def _find_save_store(self) -> Address | None:
        """Return the store where the target is to save shared segments.

        The target transfers the whole prompt, over a link that all targets
        share, so each segment is saved only once.
        """
        assignment = self._assignment
        prompt = self._call.prompt
        configuration = self._context.view.configuration
        if (
            prompt is None
            or assignment.weights_version is None
            or configuration is None
        ):
            return None
        stored_segments = self._context.stored_segments
        if not stored_segments.needs_save(assignment.salt, prompt):
            return None
        store = pick_kv_cache_store(
            prompt, list_allowed_stores(self._call, configuration)
        )
        if store is None:
            return None
        stored_segments.record_save(assignment.salt, prompt)
        return store.address

    def _record_outcome(self, outcome: AttemptOutcome) -> None:
        receiver = self._receiver
        targets = self._context.targets
        state = self._assignment.state
        head = receiver.head
        prompt = self._call.prompt
        if head is not None and head.weights_version and prompt is not None:
            state.record_weights_version(prompt.model, head.weights_version)
        if outcome is AttemptOutcome.NOT_SENT:
            if not receiver.is_stopped:
                targets.record_unreachable(state)
                self._context.reachability.record_failure()
        elif outcome is AttemptOutcome.NOT_RUN:
            self._record_not_run(state)
        elif outcome is AttemptOutcome.DELIVERED:
            targets.record_success(state)
            if self._took_turn:
                seconds = self._context.clock.now() - self.started_at
                targets.record_served(state, seconds)
            self._record_delivery()
        elif outcome not in ENDED_BY_ROUTER:
            self._record_failure(outcome)

    def _record_failure(self, outcome: AttemptOutcome) -> None:
        """Record a failure, unless this VM lost its path to all targets."""
        reachability = self._context.reachability
        if outcome is AttemptOutcome.BROKEN:
            reachability.record_failure()
            if reachability.is_cut_off():
                return
            self._record_crash(self._assignment.state.target)
        self._context.targets.record_failure(self._assignment.state)

    def _record_crash(self, target: Target) -> None:
        """Record that the target may have crashed under the call.

        Segments are suspected only if it broke off as it began to answer.
        """
        suspects = list_suspects(self._call)
        if self._receiver.is_stopped or not self._is_beginning():
            suspects = suspects[:1]
        self._context.crashes.record_crash(suspects, target, self.started_at)

    def _record_delivery(self) -> None:
        """Record that the target responded, unless a stream had no event."""
        head = self._receiver.head
        if head is None or (head.is_stream and self.first_event_at is None):
            return
        self._record_response(list_suspects(self._call))

    def _record_response(self, suspects: list[Suspect]) -> None:
        self._context.crashes.record_response(
            suspects, self._assignment.state.target, self.started_at
        )

    def _record_not_run(self, state: TargetState) -> None:
        """Learn why a target did not run the request, where it says so.

        A target whose address has another incarnation is removed, and the
        versions of one with other weights are read. Any other target is not
        used for a time.
        """
        head = self._receiver.head
        target = state.target
        if head is not None and head.misdirected:
            if head.incarnation not in ('', target.incarnation):
                self._context.targets.remove(target.incarnation)
                self._context.client.close_idle(target.address)
                return
            if self._assignment.weights_version is not None:
                self._context.version_reader.request(state)
                return
        now = self._context.clock.now()
        state.blocked_until = max(
            state.blocked_until, now + _FULL_TARGET_BACKOFF_S
        )

    def log(self, outcome: AttemptOutcome, sent_before: int) -> None:
        """Log how the attempt ended, after ``sent_before`` other ones."""
        record = AttemptRecord(
            self._call,
            self._assignment,
            outcome,
            self._receiver.head,
            self.started_at,
            self.first_event_at,
            self._progress.last_event_id,
            self._receiver.trace(),
            sent_before,
            self._receiver.is_on_kept_connection,
            self._error,
        )
        write_attempt(self._context, record)


__all__ = [
    'Attempt',
    'AttemptResult',
]
