"""Takes calls that other VMs forward, as they reach no target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.regions import make_restriction
from .call import Reason
from .call import Refusal
from .forwarding import mark_refusal
from .forwarding import take_forwarded_call
from .forwarding import take_restricted_call
from .forwarding import UnknownFormError
from .server import CallHandler

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from .admission import Admission
    from .call import Call
    from .call import Cancellation
    from .call import IncomingRequest
    from .call import ResponseWriter
    from .dispatch import Dispatcher
    from .logs import Log
    from .view import View

_BAD_REQUEST = 400
_UNAVAILABLE = 503
_RETRY_AFTER_S = 0.25
# Open calls of other VMs that a VM takes, for each of its processor cores.
_MAX_OPEN_PER_CORE = 64.0
_MIN_MAX_OPEN = 8


class ForwardedCallHandler(CallHandler):
    """Admits forwarded calls, without a charge, and dispatches them."""

    def __init__(
        self,
        admission: Admission,
        dispatcher: Dispatcher,
        view: View,
        power: float,
        log: Log,
    ) -> None:
        """Take calls as far as ``power`` processor cores allow."""
        self._admission = admission
        self._dispatcher = dispatcher
        self._view = view
        self._max_open = max(_MIN_MAX_OPEN, int(_MAX_OPEN_PER_CORE * power))
        self._open = 0
        self._log = log

    def admit(self, incoming: IncomingRequest) -> Call:
        """Return a call whose API key is valid; raises ``Refusal``.

        The VM that forwards it is not believed that it is.
        """
        try:
            stated = take_forwarded_call(incoming.headers)
            restricted = take_restricted_call(incoming.headers)
        except UnknownFormError as error:
            self._log.write('forwarded_call_unreadable', error=error)
            # A reason for which all builds ask another VM.
            raise Refusal(
                _UNAVAILABLE, Reason.NOT_CONFIGURED, _RETRY_AFTER_S
            ) from error
        if restricted is not None:
            stated = restricted.call
        if stated is None:
            raise Refusal(_BAD_REQUEST, Reason.BAD_REQUEST)
        if self._open >= self._max_open:
            raise Refusal(_UNAVAILABLE, Reason.BUSY, _RETRY_AFTER_S)
        configuration = self._view.configuration
        if (
            configuration is not None
            and configuration.version < stated.configuration
        ):
            raise Refusal(
                _UNAVAILABLE, Reason.OLD_CONFIGURATION, _RETRY_AFTER_S
            )
        arrived_at = incoming.arrived_at - max(0.0, stated.waited)
        call = self._admission.admit(
            incoming._replace(arrived_at=arrived_at), is_charged=False
        )
        self._log.write(
            'forwarded_call',
            id=call.request_id,
            peer=stated.node,
            waited=stated.waited,
            configuration=stated.configuration,
            open=self._open,
        )
        if restricted is not None:
            call = _restrict(call, frozenset(restricted.data_centres))
        return call._replace(
            is_forwarded=True, is_continued=stated.is_continued
        )

    async def run(
        self,
        call: Call,
        writer: ResponseWriter,
        cancellation: Cancellation | None = None,
    ) -> None:
        """Run a call; raises ``Refusal`` if no target answered it."""
        self._open += 1
        try:
            await self._dispatcher.run(call, writer, cancellation)
        finally:
            self._open -= 1

    def record_end(self, call: Call, refusal: Refusal | None) -> None:
        """Record nothing: the VM that admitted the call does."""

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a call waits, so that no target has it."""
        return request_id in self._dispatcher.waiting_ids

    def limit_body(self) -> int:
        """Return the largest body that is admitted, in bytes."""
        return self._admission.limit_body()

    def identify(self, headers: HTTPHeaders) -> str:
        """Return the workspace of a request, empty if it has none."""
        return self._admission.identify(headers)

    def make_refusal_headers(
        self, request_id: str, refusal: Refusal
    ) -> HTTPHeaders:
        """Return the headers of a refusal, marked as the helper's own."""
        headers = super().make_refusal_headers(request_id, refusal)
        mark_refusal(headers, refusal.reason)
        return headers


def _restrict(call: Call, data_centres: frozenset[str]) -> Call:
    """Return a call that keeps to the restrictions of both VMs."""
    own = call.allowed_targets()
    targets = data_centres if own is None else data_centres & own
    return call._replace(restriction=make_restriction(targets, targets))


__all__ = ['ForwardedCallHandler']
