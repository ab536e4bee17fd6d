"""The exchange of one request and its response, and how it may end."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from ..decisions.facts import RouteKind
from ..web.exchangeerrors import ExchangeTimeoutError
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError
from ..web.sockets import DEFAULT_ACK_TIMEOUT_S
from .attemptoutcome import AttemptOutcome
from .timers import Timer

if TYPE_CHECKING:
    from types import TracebackType

    from ..config.ini import Address
    from ..coordination.clock import Clock
    from ..decisions.streamorder import StreamProgress
    from ..errors import LentilrunError
    from ..web.client import Client
    from ..web.client import Request
    from .call import Call
    from .relay import ResponseReceiver

_SERVER_ERROR = 500
# No attempt starts with less time than this until the deadline.
MIN_ATTEMPT_TIME_S = 0.03
# A sound target may be silent for a second or so; an attempt that can't be
# repeated does not end because of that.
_UNREPEATABLE_ACK_TIMEOUT_S = 2.5


def choose_ack_timeout(call: Call) -> float:
    """Return the ``ack_timeout`` of a call's request, in seconds."""
    if call.route.is_idempotent():
        return DEFAULT_ACK_TIMEOUT_S
    return _UNREPEATABLE_ACK_TIMEOUT_S


class CallerPatience:
    """A context manager that stops an exchange its caller gave up.

    A caller that stops waiting for the first event of a stream may not
    close its connection at once.
    """

    def __init__(
        self,
        call: Call,
        clock: Clock,
        progress: StreamProgress,
        receiver: ResponseReceiver,
    ) -> None:
        self._call = call
        self._clock = clock
        self._progress = progress
        self._receiver = receiver
        self._timer = Timer(self._stop)
        self.is_over = False

    def __enter__(self) -> CallerPatience:
        call = self._call
        if call.route.kind is RouteKind.STREAMING and not call.is_continued:
            self._timer.start(call.patience_end() - self._clock.now())
        return self

    def _stop(self) -> None:
        if not self._progress.has_started:
            self.is_over = True
            self._receiver.stop()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._timer.cancel()


class ExchangeResult(NamedTuple):
    """How an exchange ended; ``error`` is why it got no whole response."""

    outcome: AttemptOutcome
    error: LentilrunError | None = None


def _without_frames(error: LentilrunError) -> LentilrunError:
    """Return an error that is kept, without the frames that it refers to.

    They refer to the attempt that keeps the error.
    """
    cause: BaseException | None = error
    while cause is not None:
        cause.__traceback__ = None
        cause = cause.__cause__ or cause.__context__
    return error


async def run_exchange(
    client: Client,
    address: Address,
    request: Request,
    receiver: ResponseReceiver,
    patience: CallerPatience,
    reuse: bool = True,
) -> ExchangeResult:
    """Send a request once; return how the exchange ended.

    With ``reuse`` it may be sent over a connection that is open already.
    Raises ``StreamClosedError`` if the caller has disconnected.
    """
    try:
        await client.exchange(address, request, receiver, reuse)
    except NotSentError as error:
        return ExchangeResult(AttemptOutcome.NOT_SENT, _without_frames(error))
    except ExchangeTimeoutError as error:
        return ExchangeResult(AttemptOutcome.TIMED_OUT, _without_frames(error))
    except InterruptedExchangeError as error:
        if receiver.caller_disconnected:
            raise StreamClosedError from error
        kept = _without_frames(error)
        if patience.is_over:
            return ExchangeResult(AttemptOutcome.TIMED_OUT, kept)
        return ExchangeResult(AttemptOutcome.BROKEN, kept)
    return ExchangeResult(_find_outcome(receiver))


def _find_outcome(receiver: ResponseReceiver) -> AttemptOutcome:
    head = receiver.head
    if head is None or receiver.is_truncated():
        return AttemptOutcome.BROKEN
    if head.not_run:
        return AttemptOutcome.NOT_RUN
    if not receiver.is_usable():
        return AttemptOutcome.BROKEN
    if head.status >= _SERVER_ERROR or receiver.is_beside_stream():
        return AttemptOutcome.FAILED
    return AttemptOutcome.DELIVERED


__all__ = [
    'CallerPatience',
    'choose_ack_timeout',
    'ExchangeResult',
    'MIN_ATTEMPT_TIME_S',
    'run_exchange',
]
