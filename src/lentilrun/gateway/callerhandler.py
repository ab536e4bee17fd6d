"""Takes the calls of callers: admits, dispatches and records them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..metrics.registry import Count
from ..metrics.registry import Timing
from .call import Refusal
from .server import CallHandler

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from .call import Call
    from .call import Cancellation
    from .call import IncomingRequest
    from .call import ResponseWriter
    from .node import Node

# Statuses of a refusal whose request has not run at a target.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class CallerCallHandler(CallHandler):
    """Admits and dispatches calls; records them in the metrics."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def admit(self, incoming: IncomingRequest) -> Call:
        """Return an admitted call; raises ``Refusal``."""
        try:
            return self._node.admission.admit(incoming)
        except Refusal as refusal:
            self._node.metrics.add(Count.REFUSALS, refusal.reason)
            raise

    async def run(
        self,
        call: Call,
        writer: ResponseWriter,
        cancellation: Cancellation | None = None,
    ) -> None:
        """Run a call; raises ``Refusal`` if no target answered it."""
        await self._node.dispatcher.run(call, writer, cancellation)

    def limit_body(self) -> int:
        """Return the largest body that is admitted, in bytes."""
        return self._node.admission.limit_body()

    def identify(self, headers: HTTPHeaders) -> str:
        """Return the workspace of a request, empty if it has none."""
        return self._node.admission.identify(headers)

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a call waits, so that no target has it."""
        return request_id in self._node.dispatcher.waiting_ids

    def record_unread(self, refusal: Refusal) -> None:
        """Count a request that was refused before its body was read."""
        self._node.metrics.add(Count.REFUSALS, refusal.reason)

    def record_end(self, call: Call, refusal: Refusal | None) -> None:
        """Record a finished call; refund its charge if it has not run."""
        metrics = self._node.metrics
        metrics.add(Count.REQUESTS, call.route.name)
        duration = self._node.clock.now() - call.incoming.arrived_at
        metrics.record_time(Timing.REQUEST, duration)
        if refusal is None:
            return
        metrics.add(Count.REFUSALS, refusal.reason)
        if refusal.status not in _NOT_RUN_STATUSES:
            return
        if call.workspace is not None and call.workspace.rate:
            self._node.quotas.refund(call.workspace, call.charged_tokens)


__all__ = ['CallerCallHandler']
