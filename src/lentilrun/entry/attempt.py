"""One attempt to run a call at one target."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from ..errors import CallError
from ..errors import Code
from ..errors import LentilrunError
from ..metrics.registry import Count
from ..metrics.registry import Timing
from ..peers.messages import Suspicion
from ..routing import prefix
from . import streamtokens
from ..targets import requests
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError
from ..web.responses import is_framed
from ..web.responses import Response
from .crashprobe import has_crashed
from .feedback import AttemptMeasurement
from .feedback import FAILED_ATTEMPT
from .relay import read_usage
from .relay import ResponseReceiver
from .relay import StreamState
from .relay import TokenUsage
from .suspects import SuspectStatus

if TYPE_CHECKING:
    from types import TracebackType

    from ..config.settings import Settings
    from ..fleet.state import FleetState
    from ..metrics.registry import Metrics
    from ..peers.mesh import Mesh
    from ..routing.pool import TargetPool
    from ..web.client import Client
    from .call import Call
    from .feedback import Feedback
    from .relay import ResponseWriter
    from .scheduler import Assignment
    from .suspects import SuspectTracker

_OK = 200
_BODILESS_STATUSES = (204, 304)
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_RETRIABLE_STATUSES = (429, 500, 502, 503)
_MAX_RESUMES = 5
_RESUME_PAUSE_S = 0.1
STREAM_TOKEN_HEADER = 'X-Stream-Token'
REQUEST_ID_HEADER = 'X-Request-Id'


class AttemptDependencies(NamedTuple):
    """The components that attempts use."""

    settings: Settings
    state: FleetState
    mesh: Mesh
    client: Client
    pool: TargetPool
    suspects: SuspectTracker
    feedback: Feedback
    metrics: Metrics


class CallResult(NamedTuple):
    """The outcome of a call; ``response`` is empty if it was streamed."""

    response: Response | None
    usage: TokenUsage


class FailedError(LentilrunError):
    """An attempt failed.

    ``sent`` tells whether bytes may have reached the target,
    ``relay_started`` whether a part of a response was sent to the caller.
    ``result`` holds the target's response if its status is one for which
    another target may be tried.
    """

    def __init__(
        self,
        message: str,
        sent: bool,
        relay_started: bool = False,
        result: CallResult | None = None,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.relay_started = relay_started
        self.result = result


class Attempt:
    """An attempt with its own id.

    If it is incomplete on exit, a model request is cancelled at the target.
    """

    def __init__(
        self,
        dependencies: AttemptDependencies,
        call: Call,
        assignment: Assignment,
        writer: ResponseWriter,
    ) -> None:
        self._dependencies = dependencies
        self._call = call
        self._assignment = assignment
        self._target_state = assignment.target_state
        self._writer = writer
        self._incarnation = assignment.target_state.incarnation
        self._weights_version = assignment.target_state.weights_version
        self._started_at = dependencies.state.clock.now()
        self._is_complete = False
        self.identifier = secrets.token_hex(8)
        self._receiver = ResponseReceiver(StreamState(self.identifier), self)

    def _stop_if_idempotent(self) -> None:
        """Abort the attempt if the call may be sent to another target."""
        if self._call.route.idempotent and not self._receiver.relay_started:
            self._receiver.stop()

    def __enter__(self) -> Attempt:
        self._target_state.stall_callbacks.add(self._stop_if_idempotent)
        self._dependencies.metrics.add(Count.ATTEMPTS, self._call.model.name)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._target_state.stall_callbacks.discard(self._stop_if_idempotent)
        if not self._is_complete and self._call.prompt:
            address = self._target_state.target.address
            cancellation = requests.cancel(
                self._dependencies.client, address, self.identifier
            )
            task = asyncio.get_running_loop().create_task(cancellation)
            _cancellations.add(task)
            task.add_done_callback(_cancellations.discard)

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Begin a stream to the caller.

        Its headers have a token that resumes it at any VM.
        """
        self._assignment.mark_prefilled()
        now = self._dependencies.state.clock.now()
        first_token_time = now - self._call.arrived_at
        self._dependencies.metrics.record_time(
            Timing.FIRST_TOKEN, first_token_time
        )
        response_headers = HTTPHeaders(headers)
        response_headers[REQUEST_ID_HEADER] = self._call.identifier
        response_headers[requests.ATTEMPT_HEADER] = self.identifier
        response_headers[STREAM_TOKEN_HEADER] = self._seal_token(headers)
        self._writer.begin(status, response_headers)

    async def write(self, data: bytes) -> None:
        """Relay events to the caller unchanged."""
        await self._writer.write(data)

    def _seal_token(self, headers: HTTPHeaders) -> str:
        token = streamtokens.StreamToken(
            self.identifier,
            self._target_state.target.name,
            headers.get(requests.INCARNATION_HEADER, self._incarnation),
            self._call.workspace,
            self._call.route.name,
        )
        return streamtokens.seal(
            self._dependencies.settings.secrets.stream_key, token
        )

    def _compute_time_left(self) -> float:
        now = self._dependencies.state.clock.now()
        return max(0.001, self._call.deadline - now)

    def _make_forwarded_headers(self) -> requests.ForwardedHeaders:
        call = self._call
        return requests.ForwardedHeaders(
            call.identifier,
            self.identifier,
            call.workspace,
            prefix.make_salt(call.workspace, self._weights_version),
            call.route.urgency,
            self._compute_time_left(),
        )

    async def run(self) -> CallResult:
        """Send the request and relay or return its response.

        Raises ``FailedError``, ``CallError`` before anything is sent, or
        ``StreamClosedError`` if the caller disconnected.
        """
        call = self._call
        # The process may have been paused since the request was admitted,
        # so its key and this VM's state are checked right before sending.
        await self._check_fresh()
        try:
            await requests.send(
                self._dependencies.client,
                self._target_state.target.address,
                call.outgoing,
                self._make_forwarded_headers(),
                self._receiver,
                reuse=call.route.idempotent,
            )
        except NotSentError as error:
            self._dependencies.pool.mark_unreachable(
                self._target_state.target.name
            )
            raise FailedError(str(error), False) from error
        except InterruptedExchangeError as error:
            await self._handle_interruption(str(error))
        receiver = self._receiver
        if receiver.is_stream and not receiver.stream.is_done:
            # The connection closed properly, but without the stream's last
            # event.
            await self._handle_interruption('the stream ended early')
        if self._has_unknown_end() and await self._has_crashed():
            await self._handle_interruption('the target ended too')
        return await self._complete()

    def _has_unknown_end(self) -> bool:
        """Return whether a response ended with its connection only.

        The connections of a killed process end in the same way. The last
        event of a stream tells its end.
        """
        receiver = self._receiver
        if self._call.outgoing.method == 'HEAD' or receiver.is_stream:
            return False
        if receiver.status in _BODILESS_STATUSES:
            return False
        return not is_framed(receiver.headers)

    async def _check_fresh(self) -> None:
        state = self._dependencies.state
        key_digest = self._call.key_digest
        is_fresh = await state.wait_until_fresh()
        if is_fresh and (
            not key_digest or key_digest in state.configuration.keys
        ):
            return
        text = 'this VM lost touch, or the key was withdrawn'
        raise CallError(Code.VM_STALE, text, _UNAVAILABLE, retry_after=1.0)

    def _record_failure(self) -> None:
        self._dependencies.feedback.record_outcome(
            self._call, self._assignment, self._weights_version, FAILED_ATTEMPT
        )

    async def _handle_interruption(self, message: str) -> None:
        """Resume the stream if possible; return if it is complete.

        Raises ``FailedError`` otherwise, or ``StreamClosedError`` if the
        caller disconnected.
        """
        receiver = self._receiver
        if receiver.caller_disconnected:
            raise StreamClosedError
        if receiver.misdelivered:
            self._dependencies.metrics.add(Count.CROSSED_ANSWERS)
            raise FailedError('the answer was to another', True)
        if receiver.stream.is_done:
            return
        if await self._has_crashed():
            self._report_crash()
            self._dependencies.pool.mark_unreachable(
                self._target_state.target.name
            )
        elif receiver.relay_started and receiver.stream.has_event_ids:
            if await self._resume_stream():
                return
        self._record_failure()
        if receiver.relay_started:
            self._dependencies.metrics.add(Count.BROKEN_STREAMS)
        raise FailedError(message, True, receiver.relay_started)

    async def _has_crashed(self) -> bool:
        address = self._target_state.target.address
        return await has_crashed(
            self._dependencies.client, address, self._incarnation
        )

    def _report_crash(self) -> None:
        suspicion = Suspicion(
            self._call.fingerprint,
            self._target_state.target.name,
            self._incarnation,
            self._target_state.own_in_flight,
        )
        if self._dependencies.suspects.record_crash(suspicion):
            self._dependencies.mesh.broadcast(suspicion)

    async def _resume_stream(self) -> bool:
        stream = self._receiver.stream
        for _ in range(_MAX_RESUMES):
            self._dependencies.metrics.add(Count.RESUMES)
            receiver = ResponseReceiver(stream, self)
            receiver.relay_started = True
            try:
                await requests.resume(
                    self._dependencies.client,
                    self._target_state.target.address,
                    self.identifier,
                    stream.last_event_id,
                    self._compute_time_left(),
                    receiver,
                )
            except (NotSentError, InterruptedExchangeError):
                pass
            if stream.is_done:
                return True
            if receiver.caller_disconnected:
                raise StreamClosedError
            if receiver.status not in (0, _OK):
                return False
            await asyncio.sleep(_RESUME_PAUSE_S)
        return False

    async def _complete(self) -> CallResult:
        self._is_complete = True
        receiver = self._receiver
        response = None if receiver.is_stream else receiver.response()
        if response is not None and self._call.prompt:
            self._assignment.mark_prefilled()
        usage = read_usage(receiver, self._call.prompt_tokens)
        result = CallResult(response, usage)
        holder = self._dependencies.feedback.record_identity(
            self._target_state, receiver.headers
        )
        failed = response is not None and response.status >= _SERVER_ERROR
        elapsed = self._dependencies.state.clock.now() - self._started_at
        self._dependencies.feedback.record_outcome(
            self._call,
            self._assignment,
            self._weights_version,
            AttemptMeasurement(not failed, elapsed, usage.output_tokens),
        )
        if response is not None and response.status in _RETRIABLE_STATUSES:
            self._fail_with_response(result, response)
        if self._call.prompt and not failed:
            self._dependencies.feedback.record_cached(
                self._call, self._target_state, holder
            )
        await self._clear_suspicion()
        return result

    def _fail_with_response(
        self, result: CallResult, response: Response
    ) -> None:
        if response.status == _UNAVAILABLE:
            self._dependencies.pool.mark_unreachable(
                self._target_state.target.name
            )
        text = f'the target responded with status {response.status}'
        raise FailedError(text, True, False, result)

    async def _clear_suspicion(self) -> None:
        suspects = self._dependencies.suspects
        fingerprint = self._call.fingerprint
        if suspects.get_status(fingerprint) is not SuspectStatus.CLEAR:
            await suspects.clear(fingerprint, time.time())


_cancellations: set[asyncio.Task[None]] = set()

__all__ = [
    'Attempt',
    'AttemptDependencies',
    'CallResult',
    'FailedError',
    'REQUEST_ID_HEADER',
    'STREAM_TOKEN_HEADER',
]
