"""Calls that another VM passes on, as this one reaches no target.

The VM that admitted a call keeps its charge, its deadline and the right to
repeat it. The helper checks the API key itself, picks the target, and lets
the call run once at most.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import LentilrunError
from ..platform import dialect
from ..records import PositionalRecord
from ..web.body import release_body
from ..web.client import Request
from .attemptoutcome import AttemptOutcome
from .call import Reason
from .exchange import CallerPatience
from .exchange import choose_ack_timeout
from .exchange import MIN_ATTEMPT_TIME_S
from .exchange import run_exchange
from .relay import ResponseReceiver

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from ..coordination.clock import Clock
    from ..decisions.streamorder import StreamProgress
    from ..platform.dialect import ResponseHead
    from ..web.client import Client
    from .call import Call
    from .call import ResponseWriter
    from .peers import Peer

_CALL_HEADER = 'Lentilrun-Forwarded'
# Instead of the one above: a build that does not know of restrictions finds no
# header of a forwarded call, and refuses it.
_RESTRICTED_CALL_HEADER = 'Lentilrun-Restricted'
_REFUSAL_HEADER = 'Lentilrun-Refusal'
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500
# Another helper may take a call that one refused for one of these reasons.
_REASONS_OF_HELPER = frozenset(
    (
        Reason.NO_PATH,
        Reason.BUSY,
        Reason.NO_MEMORY,
        Reason.NO_CONNECTION,
        Reason.LEAVING,
        Reason.NOT_CONFIGURED,
        Reason.UNKNOWN_ROUTE,
        Reason.KEY_REFUSED,
        Reason.OLD_CONFIGURATION,
    )
)


class ForwardedCall(PositionalRecord, frozen=True):
    """What a VM states of a call that it forwards.

    The caller has waited for ``waited`` seconds. The call ``is_continued``
    if the caller has received events of its stream from another attempt.
    """

    node: str
    configuration: int
    waited: float
    is_continued: bool


class RestrictedCall(PositionalRecord, frozen=True):
    """A forwarded call that goes only to targets of some data centres."""

    call: ForwardedCall
    data_centres: list[str]


class UnknownFormError(LentilrunError):
    """A VM states a call in a form that this build does not know."""


class HelperRefusal(NamedTuple):
    """A refusal of the helper itself; ``retry_after`` in seconds."""

    reason: Reason
    retry_after: float | None

    def is_of_helper(self, call: Call) -> bool:
        """Return whether another helper may take the call.

        A build that does not know of restrictions refuses such a call as a
        bad request.
        """
        if call.restriction is not None and self.reason is Reason.BAD_REQUEST:
            return True
        return self.reason in _REASONS_OF_HELPER


class ForwardResult(NamedTuple):
    """How a forwarded call ended; ``refusal`` is set if it has not run."""

    outcome: AttemptOutcome
    receiver: ResponseReceiver
    is_abandoned: bool
    refusal: HelperRefusal | None


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ForwardedCall)
_restricted_decoder = msgspec.json.Decoder(RestrictedCall)
_array_decoder = msgspec.json.Decoder(list[msgspec.Raw])


def take_forwarded_call(headers: HTTPHeaders) -> ForwardedCall | None:
    """Remove what a VM states of a call; return it if it is readable.

    Raises ``UnknownFormError`` if a VM of another build seems to state it.
    """
    text = headers.pop(_CALL_HEADER, None)
    if text is None:
        return None
    try:
        return _decoder.decode(text)
    except msgspec.MsgspecError as error:
        if _is_array(text):
            raise UnknownFormError(str(error)) from error
        return None


def take_restricted_call(headers: HTTPHeaders) -> RestrictedCall | None:
    """Remove what a VM states of a restricted call; return it if readable.

    Raises ``UnknownFormError`` if a VM of another build seems to state it.
    """
    text = headers.pop(_RESTRICTED_CALL_HEADER, None)
    if text is None:
        return None
    try:
        return _restricted_decoder.decode(text)
    except msgspec.MsgspecError as error:
        raise UnknownFormError(str(error)) from error


def _is_array(text: str) -> bool:
    try:
        _array_decoder.decode(text)
    except msgspec.MsgspecError:
        return False
    return True


def mark_refusal(headers: HTTPHeaders, reason: Reason) -> None:
    """Mark a response as a refusal of the helper itself."""
    headers[_REFUSAL_HEADER] = reason


def _read_refusal_reason(headers: HTTPHeaders) -> Reason | None:
    text = headers.get(_REFUSAL_HEADER)
    if text is None:
        return None
    try:
        return Reason(text)
    except ValueError:
        return Reason.INTERNAL


class ForwardedAttempt:
    """Sends a call to a helper and relays the response."""

    def __init__(
        self,
        client: Client,
        clock: Clock,
        call: Call,
        helper: Peer,
        progress: StreamProgress,
        writer: ResponseWriter,
        on_head: Callable[[ResponseHead], None],
        on_start: Callable[[], None],
    ) -> None:
        """Continue the stream whose ``progress`` earlier attempts made.

        ``on_head`` is called with the head of the response, and ``on_start``
        before the first byte of the request is sent.
        """
        self._client = client
        self._clock = clock
        self._call = call
        self._helper = helper
        self._progress = progress
        self._receiver = ResponseReceiver(
            call.request_id,
            writer,
            progress,
            lambda: None,
            expects_body=call.incoming.method != 'HEAD',
        )
        self._receiver.on_head = on_head
        self._receiver.on_start = on_start

    def release(self) -> None:
        """Drop what was received of the response."""
        self._receiver.release()

    async def run(self, node: str, configuration: int) -> ForwardResult:
        """Forward the call as the VM ``node``; deliver a whole response.

        The helper must have at least a version of the ``configuration``.
        Raises ``StreamClosedError`` if the caller has disconnected.
        """
        call = self._call
        receiver = self._receiver
        now = self._clock.now()
        stated = ForwardedCall(
            node,
            configuration,
            round(now - call.incoming.arrived_at, 3),
            self._progress.has_started,
        )
        request = Request(
            call.incoming.method,
            call.incoming.uri,
            self._make_headers(stated),
            call.incoming.body,
            max(MIN_ATTEMPT_TIME_S, call.deadline - now),
            choose_ack_timeout(call),
        )
        patience = CallerPatience(call, self._clock, self._progress, receiver)
        # A kept connection may close as a request is sent, which then may
        # have run.
        reuse = call.route.is_idempotent()
        with patience:
            result = await run_exchange(
                self._client,
                self._helper.address,
                request,
                receiver,
                patience,
                reuse,
            )
        outcome = result.outcome
        if receiver.has_unknown_end():
            # Other VMs send a length or chunks with all responses.
            outcome = AttemptOutcome.BROKEN
        refusal = None
        reason = _read_refusal_reason(receiver.headers)
        head = receiver.head
        if head is not None and reason is not None and not head.is_signed:
            outcome, refusal = self._classify_refusal(reason)
        if outcome is AttemptOutcome.DELIVERED:
            release_body(call.incoming.body)
            await receiver.deliver()
        return ForwardResult(outcome, receiver, patience.is_over, refusal)

    def _make_headers(self, stated: ForwardedCall) -> HTTPHeaders:
        headers = dialect.make_peer_headers(self._call.incoming.headers)
        restriction = self._call.restriction
        # A caller's own headers of these names must not reach the helper.
        for name in (_CALL_HEADER, _RESTRICTED_CALL_HEADER):
            headers.pop(name, None)
        if restriction is None:
            headers[_CALL_HEADER] = _encoder.encode(stated).decode()
        else:
            restricted = RestrictedCall(stated, sorted(restriction.targets))
            text = _encoder.encode(restricted).decode()
            headers[_RESTRICTED_CALL_HEADER] = text
        if self._progress.last_event_id > self._call.last_event_id:
            dialect.resume_after(headers, self._progress.last_event_id)
        return headers

    def _classify_refusal(
        self, reason: Reason
    ) -> tuple[AttemptOutcome, HelperRefusal | None]:
        """Return how a call ended that the helper itself answered.

        Its refusals other than 5xx, and 503, state that nothing has run.
        """
        head = self._receiver.head
        assert head is not None
        if head.status == _GATEWAY_TIMEOUT:
            return AttemptOutcome.TIMED_OUT, None
        if head.status >= _SERVER_ERROR and head.status != _UNAVAILABLE:
            return AttemptOutcome.BROKEN, None
        retry_after = dialect.read_retry_after(self._receiver.headers)
        refusal = HelperRefusal(reason, retry_after)
        return AttemptOutcome.NOT_SENT, refusal


__all__ = [
    'ForwardedAttempt',
    'ForwardedCall',
    'ForwardResult',
    'HelperRefusal',
    'mark_refusal',
    'RestrictedCall',
    'take_forwarded_call',
    'take_restricted_call',
    'UnknownFormError',
]
