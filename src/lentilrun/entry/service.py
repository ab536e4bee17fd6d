"""Serving of one request from a caller, from admission to settlement."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..errors import CallError
from ..errors import RunStatus
from ..metrics.registry import Count
from ..metrics.registry import Timing
from .claimedcalls import ServedCall

if TYPE_CHECKING:
    from ..fleet.state import FleetState
    from ..metrics.registry import Metrics
    from ..usage.records import UsageRecorder
    from .admission import Admission
    from .admission import IncomingRequest
    from .attemptrunner import AttemptRunner
    from .call import Call
    from .claimedcalls import ClaimedCallRunner
    from .inflight import InFlightCalls
    from .relay import ResponseWriter
    from .relay import TokenUsage


class ServiceDependencies(NamedTuple):
    """What serving works with."""

    state: FleetState
    admission: Admission
    attempts: AttemptRunner
    claimed_calls: ClaimedCallRunner
    in_flight: InFlightCalls
    usage: UsageRecorder
    metrics: Metrics


class Service:
    """Serves calls."""

    def __init__(self, parts: ServiceDependencies) -> None:
        self._parts = parts

    async def identify(self, incoming: IncomingRequest) -> Call:
        """Return the call that a request makes; raises ``CallError``."""
        try:
            return await self._parts.admission.identify(incoming)
        except CallError as error:
            self._parts.metrics.add(Count.REFUSALS, error.code)
            raise

    async def serve(self, call: Call, reply: ResponseWriter) -> ServedCall:
        """Run a call and settle its account; raises ``CallError``."""
        parts = self._parts
        parts.metrics.add(Count.REQUESTS, call.route.name)
        try:
            with parts.in_flight.track(call):
                await parts.admission.charge(call)
                return await self._run_charged(call, reply)
        except CallError as error:
            self._note_refusal(call, error)
            raise

    async def _run_charged(
        self, call: Call, reply: ResponseWriter
    ) -> ServedCall:
        try:
            ended = await self._run(call, reply)
        except CallError as error:
            if error.run_status is RunStatus.NOT_RUN:
                self._parts.admission.refund_unused(call, 0.0)
            raise
        if ended.replayed:
            self._parts.admission.refund_unused(call, 0.0)
        else:
            self._settle(call, ended.result.usage)
        spent = self._parts.state.clock.now() - call.arrived_at
        self._parts.metrics.record_time(Timing.REQUEST, spent)
        return ended

    async def _run(self, call: Call, reply: ResponseWriter) -> ServedCall:
        if call.idempotency_key and not call.route.idempotent:
            return await self._parts.claimed_calls.run(call, reply)
        result = await self._parts.attempts.run(call, reply)
        return ServedCall(result, False)

    def _note_refusal(self, call: Call, error: CallError) -> None:
        self._parts.metrics.add(Count.REFUSALS, error.code)
        self._parts.usage.record_refused(call.workspace, error.code)

    def settle_aborted(self, call: Call, output: int) -> None:
        """Settle a stream whose caller went away after ``output`` events."""
        self._parts.admission.refund_unused(
            call, float(call.prompt_tokens + output)
        )
        self._parts.usage.record_served(
            call.workspace, call.prompt_tokens, 0, output
        )
        self._parts.metrics.add(Count.CANCELLED)

    def _settle(self, call: Call, used: TokenUsage) -> None:
        parts = self._parts
        if call.prompt:
            parts.admission.refund_unused(call, float(used.total()))
        parts.usage.record_served(
            call.workspace,
            used.prompt_tokens,
            used.cached_tokens,
            used.output_tokens,
        )
        parts.metrics.add(Count.PROMPT_TOKENS, by=used.prompt_tokens)
        parts.metrics.add(Count.CACHED_TOKENS, by=used.cached_tokens)
        parts.metrics.add(Count.OUTPUT_TOKENS, by=used.output_tokens)


__all__ = ['Service', 'ServiceDependencies']
