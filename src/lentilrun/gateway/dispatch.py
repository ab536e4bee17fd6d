"""Sending of a call to targets: one, or more where that is safe."""

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
# With less time than this left no target is asked any more.
_LEAST_TIME_S = 0.03
# How long a call may wait for a target to become usable, as a share of
# the time that it has left.
_WAIT_SHARE = 0.6
_RETRY_AFTER_S = 0.25
# A target that refused for want of room is left alone for this long.
_FULL_S = 0.08


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended."""

    DELIVERED = 'delivered'
    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    BROKEN = 'broken'


class AttemptResult(NamedTuple):
    """An attempt's end; the receiver holds an answer that failed."""

    outcome: AttemptOutcome
    receiver: ResponseReceiver


class Dispatcher:
    """Runs calls at targets and relays their answers."""

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._budgets: dict[str, RetryBudget] = {}
        self._changed = asyncio.Event()
        context.targets.on_change.append(self._notify)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self, call: Call, reply: ResponseWriter) -> None:
        """Run a call; raises ``Refusal`` if nothing was delivered."""
        run = _Run(self, self._context, call, reply)
        await run.run()

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            bounds = self._context.bounds
            found = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
            self._budgets[service] = found
        return found

    async def wait_for_change(self, timeout: float) -> None:
        """Wait until targets may have become usable."""
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return


class _Run:
    """One call on its way."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        context: DispatchContext,
        call: Call,
        reply: ResponseWriter,
    ) -> None:
        self._dispatcher = dispatcher
        self._context = context
        self._call = call
        self._reply = reply
        self._progress = StreamProgress(call.last_event_id)
        self._avoid: set[str] = set()
        self._sent = 0
        self._may_have_run = 0
        self._is_abandoned = False
        self._first_at: float | None = None
        self._service = self._pick_service()
        self._budget = dispatcher.retry_budget(self._service)
        self._chooser = TargetSelector(
            call, self._service, context, self._budget
        )

    def _pick_service(self) -> str:
        splits = self._call.route.traffic_splits
        if len(splits) == 1:
            return splits[0].service
        weights = [s.weight for s in splits]
        return random.choices(splits, weights)[0].service

    def _left(self) -> float:
        return self._call.deadline - self._context.clock.now()

    async def run(self) -> None:
        now = self._context.clock.now()
        self._budget.record_request(now)
        if self._context.crashes.is_quarantined(self._call.fingerprint):
            raise Refusal(_UNAVAILABLE, Reason.QUARANTINED, 1.0)
        while True:
            taken = await self._acquire()
            if self._sent and not self._spend_retry():
                raise self._give_up(Reason.RETRIES_SPENT)
            began = self._context.clock.now()
            attempted = await self._attempt(taken)
            self._log_attempt(taken, attempted, began)
            self._context.metrics.add(Count.ATTEMPTS, attempted.outcome)
            if attempted.outcome is AttemptOutcome.DELIVERED:
                return
            if attempted.outcome is AttemptOutcome.NOT_SENT:
                self._avoid.add(taken.state.target.incarnation)
                continue
            self._sent += 1
            if attempted.outcome is AttemptOutcome.NOT_RUN:
                continue
            self._may_have_run += 1
            self._avoid.add(taken.state.target.incarnation)
            if not self._may_repeat():
                await self._end(attempted)
                return

    def _may_repeat(self) -> bool:
        call = self._call
        if not call.route.is_idempotent() or self._is_abandoned:
            return False
        if self._may_have_run >= call.route.max_attempts:
            return False
        if self._context.crashes.is_quarantined(call.fingerprint):
            return False
        return self._left() > _LEAST_TIME_S

    def _spend_retry(self) -> bool:
        now = self._context.clock.now()
        if not self._budget.spend(now, self._context.peers.count_members()):
            return False
        self._context.metrics.add(Count.RETRIES, self._service)
        return True

    async def _end(self, attempted: AttemptResult) -> None:
        """End a call whose last attempt failed after it was sent."""
        receiver = attempted.receiver
        if (
            attempted.outcome is AttemptOutcome.FAILED
            and not self._progress.has_started
        ):
            await receiver.deliver()
            return
        raise self._give_up(Reason.TARGET_FAILED)

    def _give_up(self, reason: Reason) -> Refusal:
        if not self._may_have_run:
            return Refusal(_UNAVAILABLE, reason, _RETRY_AFTER_S)
        if self._left() <= _LEAST_TIME_S or self._is_abandoned:
            return Refusal(_GATEWAY_TIMEOUT, Reason.DEADLINE)
        return Refusal(_BAD_GATEWAY, reason)

    async def _acquire(self) -> Assignment:
        """Return a target once one can take the call."""
        clock = self._context.clock
        until = clock.now() + _WAIT_SHARE * self._left()
        while True:
            if self._left() <= _LEAST_TIME_S:
                raise self._give_up(Reason.DEADLINE)
            taken = self._chooser.select(self._avoid)
            if taken is not None:
                if taken.choice.estimated_wait > self._left():
                    raise self._give_up(Reason.OVERLOADED)
                return taken
            if clock.now() >= until:
                raise self._give_up(Reason.NO_TARGET)
            await self._dispatcher.wait_for_change(
                min(_FULL_S, until - clock.now())
            )

    async def _attempt(self, taken: Assignment) -> AttemptResult:
        call = self._call
        state = taken.state
        now = self._context.clock.now()
        self._first_at = None
        load = LoadReservation(
            state, taken.demand, taken.choice.prefill_plan, now
        )
        self._note_read(taken)
        receiver = ResponseReceiver(
            call.request_id,
            self._reply,
            self._progress,
            lambda: self._note_first(load),
        )
        request = Request(
            call.incoming.method,
            call.incoming.uri,
            self._make_headers(taken),
            call.incoming.body,
            max(_LEAST_TIME_S, self._left()),
        )
        with load, self._watch_first_event(receiver):
            fate = await self._exchange(taken, request, receiver)
        self._note_fate(taken, fate, receiver)
        if fate is AttemptOutcome.DELIVERED:
            await receiver.deliver()
        return AttemptResult(fate, receiver)

    def _note_read(self, taken: Assignment) -> None:
        """Tell all VMs what the target is given to read."""
        prompt = self._call.prompt
        if prompt is None or taken.weights_version is None:
            return
        news = PrefillReport(
            taken.state.target.incarnation, taken.salt, prompt.segments
        )
        self._context.targets.record_prefill(news, Origin.OWN)

    @contextlib.contextmanager
    def _watch_first_event(self, receiver: ResponseReceiver) -> Iterator[None]:
        """Stop an attempt once the caller has left for want of an event.

        A caller may leave without closing its connection at once.
        """
        call = self._call
        if call.route.kind is not RouteKind.STREAMING:
            yield
            return
        patience = call.route.abandon_timeout()
        leaves = (
            call.incoming.arrived_at + patience - self._context.clock.now()
        )

        def stop() -> None:
            if not self._progress.has_started:
                self._is_abandoned = True
                receiver.stop()

        timer = asyncio.get_running_loop().call_later(max(0.0, leaves), stop)
        try:
            yield
        finally:
            timer.cancel()

    def _note_first(self, load: LoadReservation) -> None:
        load.record_prefill()
        if self._first_at is None:
            self._first_at = self._context.clock.now()
        if not self._progress.has_started:
            spent = self._context.clock.now() - self._call.incoming.arrived_at
            self._context.metrics.record_time(Timing.FIRST_TOKEN, spent)

    async def _exchange(
        self, taken: Assignment, request: Request, receiver: ResponseReceiver
    ) -> AttemptOutcome:
        target = taken.state.target
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
        answer = receiver.head
        if answer is None or receiver.is_truncated():
            return AttemptOutcome.BROKEN
        if answer.not_run:
            return AttemptOutcome.NOT_RUN
        if not receiver.is_usable():
            return AttemptOutcome.BROKEN
        if answer.status >= _SERVER_ERROR:
            return AttemptOutcome.FAILED
        return AttemptOutcome.DELIVERED

    def _make_headers(self, taken: Assignment) -> HTTPHeaders:
        call = self._call
        workspace = call.workspace
        passing = ForwardedHeaders(
            workspace.name if workspace is not None else '',
            self._left(),
            taken.state.target.incarnation,
            call.urgency(),
            taken.weights_version,
            taken.salt,
            taken.choice.prefill_plan.source,
            self._find_place_to_save(taken),
        )
        headers = dialect.make_forwarded_headers(
            call.incoming.headers, passing
        )
        if self._progress.last_event_id > call.last_event_id:
            dialect.resume_after(headers, self._progress.last_event_id)
        return headers

    def _find_place_to_save(self, taken: Assignment) -> Address | None:
        """Return the store that the target is to save shared parts in.

        The whole prompt goes there, over a link that all targets share,
        so a part is saved once.
        """
        prompt = self._call.prompt
        configuration = self._context.view.configuration
        if (
            prompt is None
            or taken.weights_version is None
            or configuration is None
        ):
            return None
        kept = self._context.stored_segments
        if not kept.needs_save(taken.salt, prompt):
            return None
        store = pick_kv_cache_store(prompt, configuration.kv_cache_stores)
        if store is None:
            return None
        kept.record_save(taken.salt, prompt)
        return store.address

    def _note_fate(
        self,
        taken: Assignment,
        fate: AttemptOutcome,
        receiver: ResponseReceiver,
    ) -> None:
        targets = self._context.targets
        state = taken.state
        answer = receiver.head
        prompt = self._call.prompt
        if (
            answer is not None
            and answer.weights_version
            and prompt is not None
        ):
            state.record_weights_version(prompt.model, answer.weights_version)
        if fate is AttemptOutcome.NOT_SENT:
            targets.record_unreachable(state)
        elif fate is AttemptOutcome.NOT_RUN:
            self._note_not_run(state, receiver)
        elif fate is AttemptOutcome.DELIVERED:
            targets.record_success(state)
            self._context.crashes.clear(self._call.fingerprint)
        else:
            targets.record_failure(state)
            if fate is AttemptOutcome.BROKEN:
                self._context.crashes.record_crash(
                    self._call.fingerprint, state.target
                )

    def _note_not_run(
        self, state: TargetState, receiver: ResponseReceiver
    ) -> None:
        answer = receiver.head
        target = state.target
        if (
            answer is not None
            and answer.misdirected
            and answer.incarnation not in ('', target.incarnation)
        ):
            self._context.targets.remove(target.incarnation)
            self._context.client.close_idle(target.address)
            return
        self._avoid.add(target.incarnation)
        now = self._context.clock.now()
        state.blocked_until = max(state.blocked_until, now + _FULL_S)

    def _find_first(self, began: float) -> float | None:
        """Return the time to the first event, in seconds, for the log."""
        if self._first_at is None:
            return None
        return round(self._first_at - began, 3)

    def _log_attempt(
        self, taken: Assignment, attempted: AttemptResult, began: float
    ) -> None:
        answer = attempted.receiver.head
        view = self._context.view
        configuration = view.configuration
        self._context.log.write(
            'attempt',
            id=self._call.request_id,
            route=self._call.route.name,
            target=taken.state.target.incarnation,
            fate=attempted.outcome,
            status=answer.status if answer is not None else None,
            wait=round(taken.choice.estimated_wait, 4),
            cached=int(taken.choice.prefill_plan.cached_tokens),
            source=_name_source(taken),
            tokens=_count_tokens(self._call),
            weights=taken.weights_version,
            sent=self._sent,
            left=round(self._left(), 3),
            events=self._progress.last_event_id,
            first=self._find_first(began),
            seconds=round(self._context.clock.now() - began, 3),
            configuration=configuration.version if configuration else None,
        )


def _name_source(taken: Assignment) -> str | None:
    source = taken.choice.prefill_plan.source
    return None if source is None else str(source)


def _count_tokens(call: Call) -> tuple[int, int] | None:
    """Return the tokens that a call reads and may make, for the log."""
    if call.prompt is None:
        return None
    return call.prompt.input_tokens, call.prompt.output_tokens


__all__ = [
    'AttemptOutcome',
    'Dispatcher',
]
