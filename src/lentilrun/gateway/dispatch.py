"""Dispatch of a call to a target, and to others if retries are safe."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from ..decisions.facts import RouteKind
from ..decisions.retries import RetryBudget
from ..decisions.sources import pick_kv_cache_store
from ..metrics.registry import Count
from ..metrics.registry import Timing
from ..platform import dialect
from ..platform.dialect import ForwardedHeaders
from ..web.client import InterruptedExchangeError
from ..web.client import NotSentError
from ..web.client import Request
from .call import Reason
from .call import Refusal
from .choice import TargetSelector
from .loads import LoadReservation
from .messages import PrefillReport
from .recent import Origin
from .relay import ResponseReceiver
from .relay import StreamProgress

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tornado.httputil import HTTPHeaders

    from ..config.ini import Address
    from .call import Call
    from .call import ResponseWriter
    from .choice import Assignment
    from .context import DispatchContext
    from .targets import TargetState

_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500
# No attempt starts with less time than this until the deadline.
_MIN_ATTEMPT_TIME_S = 0.03
# Longest wait of a call for a usable target, as a share of its time left.
_MAX_WAIT_SHARE = 0.6
_RETRY_AFTER_S = 0.25
# A target that refused a request because it was full gets no requests for
# this long. A waiting call looks for a usable target at least this often.
_FULL_TARGET_BACKOFF_S = 0.08


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended.

    ``NOT_RUN`` means that the target states that it has not run the request,
    and ``FAILED`` that its response is whole and reports a server error.
    ``BROKEN`` covers connections that closed early and unusable responses,
    and also attempts that the router itself ends at the deadline or because
    the caller stopped waiting.
    """

    DELIVERED = 'delivered'
    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    BROKEN = 'broken'


class AttemptResult(NamedTuple):
    """How an attempt ended; the receiver holds the target's response."""

    outcome: AttemptOutcome
    receiver: ResponseReceiver


class Dispatcher:
    """Sends calls to targets and relays their responses."""

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._budgets: dict[str, RetryBudget] = {}
        self._changed = asyncio.Event()
        context.targets.on_change.append(self._notify)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self, call: Call, writer: ResponseWriter) -> None:
        """Run a call and send its response to ``writer``.

        Raises ``Refusal`` if no whole response was delivered, and
        ``StreamClosedError`` if the caller has disconnected.
        """
        execution = _CallExecution(self, self._context, call, writer)
        await execution.run()

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._context.bounds
            budget = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
            self._budgets[service] = budget
        return budget

    async def wait_for_change(self, timeout: float) -> None:
        """Wait until targets may have become usable; ``timeout`` in s."""
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return


class _CallExecution:
    """The attempts of one call."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        context: DispatchContext,
        call: Call,
        writer: ResponseWriter,
    ) -> None:
        self._dispatcher = dispatcher
        self._context = context
        self._call = call
        self._writer = writer
        self._progress = StreamProgress(call.last_event_id)
        self._avoid: set[str] = set()
        self._sent_attempts = 0
        # Attempts whose request a target may have run.
        self._possible_runs = 0
        self._is_abandoned = False
        self._first_event_at: float | None = None
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

    async def run(self) -> None:
        now = self._context.clock.now()
        self._budget.record_request(now)
        if self._context.crashes.is_quarantined(self._call.fingerprint):
            raise Refusal(_UNAVAILABLE, Reason.QUARANTINED, 1.0)
        while True:
            assignment = await self._acquire()
            if self._sent_attempts and not self._spend_retry():
                raise self._make_refusal(Reason.RETRIES_SPENT)
            started_at = self._context.clock.now()
            result = await self._attempt(assignment)
            self._log_attempt(assignment, result, started_at)
            self._context.metrics.add(Count.ATTEMPTS, result.outcome)
            if result.outcome is AttemptOutcome.DELIVERED:
                return
            if result.outcome is AttemptOutcome.NOT_SENT:
                self._avoid.add(assignment.state.target.incarnation)
                continue
            self._sent_attempts += 1
            if result.outcome is AttemptOutcome.NOT_RUN:
                continue
            self._possible_runs += 1
            self._avoid.add(assignment.state.target.incarnation)
            if not self._may_repeat():
                await self._finish_failed(result)
                return

    def _may_repeat(self) -> bool:
        call = self._call
        if not call.route.is_idempotent() or self._is_abandoned:
            return False
        if self._possible_runs >= call.route.max_attempts:
            return False
        if self._context.crashes.is_quarantined(call.fingerprint):
            return False
        return self._time_left() > _MIN_ATTEMPT_TIME_S

    def _spend_retry(self) -> bool:
        now = self._context.clock.now()
        if not self._budget.spend(now, self._context.peers.count_members()):
            return False
        self._context.metrics.add(Count.RETRIES, self._service)
        return True

    async def _finish_failed(self, result: AttemptResult) -> None:
        """Respond to a call whose last attempt failed after it was sent."""
        receiver = result.receiver
        if (
            result.outcome is AttemptOutcome.FAILED
            and not self._progress.has_started
        ):
            await receiver.deliver()
            return
        raise self._make_refusal(Reason.TARGET_FAILED)

    def _make_refusal(self, reason: Reason) -> Refusal:
        if not self._possible_runs:
            return Refusal(_UNAVAILABLE, reason, _RETRY_AFTER_S)
        if self._time_left() <= _MIN_ATTEMPT_TIME_S or self._is_abandoned:
            return Refusal(_GATEWAY_TIMEOUT, Reason.DEADLINE)
        return Refusal(_BAD_GATEWAY, reason)

    async def _acquire(self) -> Assignment:
        """Return a target as soon as one can run the call."""
        clock = self._context.clock
        until = clock.now() + _MAX_WAIT_SHARE * self._time_left()
        while True:
            if self._time_left() <= _MIN_ATTEMPT_TIME_S:
                raise self._make_refusal(Reason.DEADLINE)
            assignment = self._selector.select(self._avoid)
            if assignment is not None:
                if assignment.choice.estimated_wait > self._time_left():
                    raise self._make_refusal(Reason.OVERLOADED)
                return assignment
            if clock.now() >= until:
                raise self._make_refusal(Reason.NO_TARGET)
            await self._dispatcher.wait_for_change(
                min(_FULL_TARGET_BACKOFF_S, until - clock.now())
            )

    async def _attempt(self, assignment: Assignment) -> AttemptResult:
        call = self._call
        state = assignment.state
        now = self._context.clock.now()
        self._first_event_at = None
        load = LoadReservation(
            state, assignment.demand, assignment.choice.prefill_plan, now
        )
        self._record_prefill(assignment)
        receiver = ResponseReceiver(
            call.request_id,
            self._writer,
            self._progress,
            lambda: self._record_first_event(load),
        )
        request = Request(
            call.incoming.method,
            call.incoming.uri,
            self._make_headers(assignment),
            call.incoming.body,
            max(_MIN_ATTEMPT_TIME_S, self._time_left()),
        )
        with load, self._watch_first_event(receiver):
            outcome = await self._exchange(assignment, request, receiver)
        self._record_outcome(assignment, outcome, receiver)
        if outcome is AttemptOutcome.DELIVERED:
            await receiver.deliver()
        return AttemptResult(outcome, receiver)

    def _record_prefill(self, assignment: Assignment) -> None:
        """Record the segments that the target is to prefill, for all VMs."""
        prompt = self._call.prompt
        if prompt is None or assignment.weights_version is None:
            return
        report = PrefillReport(
            assignment.state.target.incarnation,
            assignment.salt,
            prompt.segments,
        )
        self._context.targets.record_prefill(report, Origin.OWN)

    @contextlib.contextmanager
    def _watch_first_event(self, receiver: ResponseReceiver) -> Iterator[None]:
        """Stop an attempt if no event arrives while the caller waits.

        A caller that stops waiting may not close its connection at once.
        """
        call = self._call
        if call.route.kind is not RouteKind.STREAMING:
            yield
            return
        timeout = call.route.abandon_timeout()
        remaining = (
            call.incoming.arrived_at + timeout - self._context.clock.now()
        )

        def stop() -> None:
            if not self._progress.has_started:
                self._is_abandoned = True
                receiver.stop()

        timer = asyncio.get_running_loop().call_later(
            max(0.0, remaining), stop
        )
        try:
            yield
        finally:
            timer.cancel()

    def _record_first_event(self, load: LoadReservation) -> None:
        load.record_prefill()
        if self._first_event_at is None:
            self._first_event_at = self._context.clock.now()
        if not self._progress.has_started:
            elapsed = (
                self._context.clock.now() - self._call.incoming.arrived_at
            )
            self._context.metrics.record_time(Timing.FIRST_TOKEN, elapsed)

    async def _exchange(
        self,
        assignment: Assignment,
        request: Request,
        receiver: ResponseReceiver,
    ) -> AttemptOutcome:
        target = assignment.state.target
        try:
            await self._context.client.exchange(
                target.address, request, receiver
            )
        except NotSentError:
            return AttemptOutcome.NOT_SENT
        except InterruptedExchangeError as error:
            if receiver.caller_disconnected:
                raise StreamClosedError from error
            return AttemptOutcome.BROKEN
        head = receiver.head
        if head is None or receiver.is_truncated():
            return AttemptOutcome.BROKEN
        if head.not_run:
            return AttemptOutcome.NOT_RUN
        if not receiver.is_usable():
            return AttemptOutcome.BROKEN
        if head.status >= _SERVER_ERROR:
            return AttemptOutcome.FAILED
        return AttemptOutcome.DELIVERED

    def _make_headers(self, assignment: Assignment) -> HTTPHeaders:
        call = self._call
        workspace = call.workspace
        forwarded = ForwardedHeaders(
            workspace.name if workspace is not None else '',
            self._time_left(),
            assignment.state.target.incarnation,
            call.urgency(),
            assignment.weights_version,
            assignment.salt,
            assignment.choice.prefill_plan.source,
            self._find_save_store(assignment),
        )
        headers = dialect.make_forwarded_headers(
            call.incoming.headers, forwarded
        )
        if self._progress.last_event_id > call.last_event_id:
            dialect.resume_after(headers, self._progress.last_event_id)
        return headers

    def _find_save_store(self, assignment: Assignment) -> Address | None:
        """Return the store where the target is to save shared segments.

        The target transfers the whole prompt, over a link that all targets
        share, so each segment is saved only once.
        """
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
        store = pick_kv_cache_store(prompt, configuration.kv_cache_stores)
        if store is None:
            return None
        stored_segments.record_save(assignment.salt, prompt)
        return store.address

    def _record_outcome(
        self,
        assignment: Assignment,
        outcome: AttemptOutcome,
        receiver: ResponseReceiver,
    ) -> None:
        targets = self._context.targets
        state = assignment.state
        head = receiver.head
        prompt = self._call.prompt
        if head is not None and head.weights_version and prompt is not None:
            state.record_weights_version(prompt.model, head.weights_version)
        if outcome is AttemptOutcome.NOT_SENT:
            targets.record_unreachable(state)
        elif outcome is AttemptOutcome.NOT_RUN:
            self._record_not_run(state, receiver)
        elif outcome is AttemptOutcome.DELIVERED:
            targets.record_success(state)
            self._context.crashes.clear(self._call.fingerprint)
        else:
            targets.record_failure(state)
            if outcome is AttemptOutcome.BROKEN:
                self._context.crashes.record_crash(
                    self._call.fingerprint, state.target
                )

    def _record_not_run(
        self, state: TargetState, receiver: ResponseReceiver
    ) -> None:
        """Remove a target whose address has another incarnation.

        Any other target that did not run the request is not used for a time.
        """
        head = receiver.head
        target = state.target
        if (
            head is not None
            and head.misdirected
            and head.incarnation not in ('', target.incarnation)
        ):
            self._context.targets.remove(target.incarnation)
            self._context.client.close_idle(target.address)
            return
        self._avoid.add(target.incarnation)
        now = self._context.clock.now()
        state.blocked_until = max(
            state.blocked_until, now + _FULL_TARGET_BACKOFF_S
        )

    def _compute_time_to_first_event(self, started_at: float) -> float | None:
        """Return the time to the first event, in seconds, for the log."""
        if self._first_event_at is None:
            return None
        return round(self._first_event_at - started_at, 3)

    def _log_attempt(
        self, assignment: Assignment, result: AttemptResult, started_at: float
    ) -> None:
        head = result.receiver.head
        view = self._context.view
        configuration = view.configuration
        self._context.log.write(
            'attempt',
            id=self._call.request_id,
            route=self._call.route.name,
            target=assignment.state.target.incarnation,
            fate=result.outcome,
            status=head.status if head is not None else None,
            wait=round(assignment.choice.estimated_wait, 4),
            cached=int(assignment.choice.prefill_plan.cached_tokens),
            source=_format_source(assignment),
            tokens=_count_tokens(self._call),
            weights=assignment.weights_version,
            sent=self._sent_attempts,
            left=round(self._time_left(), 3),
            events=self._progress.last_event_id,
            first=self._compute_time_to_first_event(started_at),
            seconds=round(self._context.clock.now() - started_at, 3),
            configuration=configuration.version if configuration else None,
        )


def _format_source(assignment: Assignment) -> str | None:
    source = assignment.choice.prefill_plan.source
    return None if source is None else str(source)


def _count_tokens(call: Call) -> tuple[int, int] | None:
    """Return a call's prompt and output tokens, for the log."""
    if call.prompt is None:
        return None
    return call.prompt.input_tokens, call.prompt.output_tokens


__all__ = [
    'AttemptOutcome',
    'Dispatcher',
]
