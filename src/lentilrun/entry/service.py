"""Serving of a caller's request, from admission to settlement."""

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
    """The components that the service uses."""

    state: FleetState
    admission: Admission
    attempts: AttemptRunner
    claimed_calls: ClaimedCallRunner
    in_flight: InFlightCalls
    usage: UsageRecorder
    metrics: Metrics


class Service:
    """Serves calls and settles what they are charged."""

    def __init__(self, dependencies: ServiceDependencies) -> None:
        self._dependencies = dependencies

    async def identify(self, incoming: IncomingRequest) -> Call:
        """Return the call that a request makes; raises ``CallError``."""
        try:
            return await self._dependencies.admission.identify(incoming)
        except CallError as error:
            self._dependencies.metrics.add(Count.REFUSALS, error.code)
            raise

    async def serve(self, call: Call, writer: ResponseWriter) -> ServedCall:
        """Run a call and settle its charge; raises ``CallError``.

        A call that did not run, or whose recorded result is repeated, is
        refunded in full.
        """
        dependencies = self._dependencies
        dependencies.metrics.add(Count.REQUESTS, call.route.name)
        try:
            with dependencies.in_flight.track(call):
                await dependencies.admission.charge(call)
                return await self._run_charged(call, writer)
        except CallError as error:
            self._record_refusal(call, error)
            raise

    async def _run_charged(
        self, call: Call, writer: ResponseWriter
    ) -> ServedCall:
        try:
            served = await self._run(call, writer)
        except CallError as error:
            if error.run_status is RunStatus.NOT_RUN:
                self._dependencies.admission.refund_unused(call, 0.0)
            raise
        if served.replayed:
            self._dependencies.admission.refund_unused(call, 0.0)
        else:
            self._settle(call, served.result.usage)
        elapsed = self._dependencies.state.clock.now() - call.arrived_at
        self._dependencies.metrics.record_time(Timing.REQUEST, elapsed)
        return served

    async def _run(self, call: Call, writer: ResponseWriter) -> ServedCall:
        if call.idempotency_key and not call.route.idempotent:
            return await self._dependencies.claimed_calls.run(call, writer)
        result = await self._dependencies.attempts.run(call, writer)
        return ServedCall(result, False)

    def _record_refusal(self, call: Call, error: CallError) -> None:
        self._dependencies.metrics.add(Count.REFUSALS, error.code)
        self._dependencies.usage.record_refused(call.workspace, error.code)

    def settle_aborted(self, call: Call, event_count: int) -> None:
        """Settle a call whose caller disconnected.

        Each of the ``event_count`` relayed events counts as one token.
        """
        self._dependencies.admission.refund_unused(
            call, float(call.prompt_tokens + event_count)
        )
        self._dependencies.usage.record_served(
            call.workspace, call.prompt_tokens, 0, event_count
        )
        self._dependencies.metrics.add(Count.CANCELLED)

    def _settle(self, call: Call, usage: TokenUsage) -> None:
        dependencies = self._dependencies
        if call.prompt:
            dependencies.admission.refund_unused(call, float(usage.total()))
        dependencies.usage.record_served(
            call.workspace,
            usage.prompt_tokens,
            usage.cached_tokens,
            usage.output_tokens,
        )
        dependencies.metrics.add(Count.PROMPT_TOKENS, by=usage.prompt_tokens)
        dependencies.metrics.add(Count.CACHED_TOKENS, by=usage.cached_tokens)
        dependencies.metrics.add(Count.OUTPUT_TOKENS, by=usage.output_tokens)


__all__ = ['Service', 'ServiceDependencies']
