"""Serving of one request from a caller, from admission to settlement."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..errors import CallError
from ..errors import Ran
from ..metrics.registry import Count
from ..metrics.registry import Timing
from .claimed import Ended

if TYPE_CHECKING:
    from ..fleet.state import FleetState
    from ..metrics.registry import Metrics
    from ..usage.records import UsageBook
    from .admission import Admission
    from .admission import Incoming
    from .attempts import Attempts
    from .call import Call
    from .claimed import ClaimedRuns
    from .relay import Reply
    from .relay import Used
    from .running import Running


class Parts(NamedTuple):
    """What serving works with."""

    state: FleetState
    admission: Admission
    attempts: Attempts
    claimed: ClaimedRuns
    running: Running
    usage: UsageBook
    metrics: Metrics


class Service:
    """Serves calls."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    async def identify(self, incoming: Incoming) -> Call:
        """Return the call that a request makes; raises ``CallError``."""
        try:
            return await self._parts.admission.identify(incoming)
        except CallError as error:
            self._parts.metrics.add(Count.REFUSALS, error.code)
            raise

    async def serve(self, call: Call, reply: Reply) -> Ended:
        """Run a call and settle its account; raises ``CallError``."""
        parts = self._parts
        parts.metrics.add(Count.REQUESTS, call.route.name)
        try:
            with parts.running.track(call):
                await parts.admission.charge(call)
                return await self._run_charged(call, reply)
        except CallError as error:
            self._note_refusal(call, error)
            raise

    async def _run_charged(self, call: Call, reply: Reply) -> Ended:
        try:
            ended = await self._run(call, reply)
        except CallError as error:
            if error.ran is Ran.NOT_RUN:
                self._parts.admission.settle(call, 0.0)
            raise
        if ended.repeated:
            self._parts.admission.settle(call, 0.0)
        else:
            self._settle(call, ended.result.used)
        spent = self._parts.state.clock.now() - call.arrived
        self._parts.metrics.time(Timing.REQUEST, spent)
        return ended

    async def _run(self, call: Call, reply: Reply) -> Ended:
        if call.idempotency_key and not call.route.idempotent:
            return await self._parts.claimed.run(call, reply)
        result = await self._parts.attempts.run(call, reply)
        return Ended(result, False)

    def _note_refusal(self, call: Call, error: CallError) -> None:
        self._parts.metrics.add(Count.REFUSALS, error.code)
        self._parts.usage.note_refused(call.workspace, error.code)

    def settle_cut(self, call: Call, output: int) -> None:
        """Settle a stream whose caller went away after ``output`` events."""
        self._parts.admission.settle(call, float(call.tokens + output))
        self._parts.usage.note_served(call.workspace, call.tokens, 0, output)
        self._parts.metrics.add(Count.CANCELLED)

    def _settle(self, call: Call, used: Used) -> None:
        parts = self._parts
        if call.text:
            parts.admission.settle(call, float(used.total()))
        parts.usage.note_served(
            call.workspace, used.prompt, used.cached, used.output
        )
        parts.metrics.add(Count.PROMPT_TOKENS, by=used.prompt)
        parts.metrics.add(Count.CACHED_TOKENS, by=used.cached)
        parts.metrics.add(Count.OUTPUT_TOKENS, by=used.output)


__all__ = ['Parts', 'Service']
