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
from ..web.client import InterruptedExchangeError
from ..web.client import NotSentError
from ..web.client import Response
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
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_RETRIED_STATUSES = (429, 500, 502, 503)
_MAX_RESUMES = 5
_RESUME_PAUSE = 0.1
STREAM_TOKEN_HEADER = 'X-Stream-Token'
REQUEST_ID_HEADER = 'X-Request-Id'


class AttemptDependencies(NamedTuple):
    """What attempts work with."""

    settings: Settings
    state: FleetState
    mesh: Mesh
    client: Client
    pool: TargetPool
    suspects: SuspectTracker
    feedback: Feedback
    metrics: Metrics


class CallResult(NamedTuple):
    """The answer to a call; ``response`` is empty if it was relayed."""

    response: Response | None
    usage: TokenUsage


class FailedError(LentilrunError):
    """An attempt failed.

    ``sent`` if bytes may have reached the target, ``relay_started`` if part of
    an answer reached the caller; ``response`` is the target's answer if
    it gave one that another target may better.
    """

    def __init__(
        self,
        message: str,
        sent: bool,
        begun: bool = False,
        result: CallResult | None = None,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.relay_started = begun
        self.result = result


class Attempt:
    """One attempt, with its own id; cancelled at the target on exit."""

    def __init__(
        self,
        parts: AttemptDependencies,
        call: Call,
        place: Assignment,
        reply: ResponseWriter,
    ) -> None:
        self._parts = parts
        self._call = call
        self._place = place
        self._state = place.target_state
        self._reply = reply
        self._incarnation = place.target_state.incarnation
        self._version = place.target_state.weights_version
        self._began = parts.state.clock.now()
        self._concluded = False
        self.identifier = secrets.token_hex(8)
        self._receiver = ResponseReceiver(StreamState(self.identifier), self)

    def _stop_stalled(self) -> None:
        """Break the attempt off if another target may still answer."""
        if self._call.route.idempotent and not self._receiver.relay_started:
            self._receiver.stop()

    def __enter__(self) -> Attempt:
        self._state.stall_callbacks.add(self._stop_stalled)
        self._parts.metrics.add(Count.ATTEMPTS, self._call.model.name)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._state.stall_callbacks.discard(self._stop_stalled)
        if not self._concluded and self._call.prompt:
            address = self._state.target.address
            work = requests.cancel(
                self._parts.client, address, self.identifier
            )
            task = asyncio.get_running_loop().create_task(work)
            _cancelling.add(task)
            task.add_done_callback(_cancelling.discard)

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Begin a stream to the caller, with what resumes it elsewhere."""
        self._place.mark_prefilled()
        now = self._parts.state.clock.now()
        spent = now - self._call.arrived_at
        self._parts.metrics.record_time(Timing.FIRST_TOKEN, spent)
        made = HTTPHeaders(headers)
        made[REQUEST_ID_HEADER] = self._call.identifier
        made[requests.ATTEMPT_HEADER] = self.identifier
        made[STREAM_TOKEN_HEADER] = self._seal_token(headers)
        self._reply.begin(status, made)

    async def write(self, data: bytes) -> None:
        """Relay events to the caller."""
        await self._reply.write(data)

    def _seal_token(self, headers: HTTPHeaders) -> str:
        token = streamtokens.StreamToken(
            self.identifier,
            self._state.target.name,
            headers.get(requests.INCARNATION_HEADER, self._incarnation),
            self._call.workspace,
            self._call.route.name,
        )
        return streamtokens.seal(
            self._parts.settings.secrets.stream_key, token
        )

    def _left(self) -> float:
        now = self._parts.state.clock.now()
        return max(0.001, self._call.deadline - now)

    def _trace(self) -> requests.ForwardedHeaders:
        call = self._call
        return requests.ForwardedHeaders(
            call.identifier,
            self.identifier,
            call.workspace,
            prefix.make_salt(call.workspace, self._version),
            call.route.urgency,
            self._left(),
        )

    async def run(self) -> CallResult:
        """Send the request and relay or return its answer.

        Raises ``FailedError``, or ``CallError`` before anything is sent.
        """
        call = self._call
        # The last check before the effect: a pause may have come between.
        await self._check_fresh()
        try:
            await requests.send(
                self._parts.client,
                self._state.target.address,
                call.outgoing,
                self._trace(),
                self._receiver,
                reuse=call.route.idempotent,
            )
        except NotSentError as error:
            self._parts.pool.mark_unreachable(self._state.target.name)
            raise FailedError(str(error), False) from error
        except InterruptedExchangeError as error:
            await self._handle_break(str(error))
        receiver = self._receiver
        if receiver.is_stream and not receiver.stream.is_done:
            # The connection ended well, but the stream did not.
            await self._handle_break('the stream ended early')
        return await self._conclude()

    async def _check_fresh(self) -> None:
        state = self._parts.state
        key = self._call.key_digest
        fresh = await state.wait_until_fresh()
        if fresh and (not key or key in state.configuration.keys):
            return
        text = 'this VM lost touch, or the key was withdrawn'
        raise CallError(Code.VM_STALE, text, _UNAVAILABLE, retry_after=1.0)

    def _note_failure(self) -> None:
        self._parts.feedback.record_outcome(
            self._call, self._place, self._version, FAILED_ATTEMPT
        )

    async def _handle_break(self, message: str) -> None:
        """Return if the stream was resumed to its end, else raise."""
        receiver = self._receiver
        if receiver.caller_disconnected:
            raise StreamClosedError
        if receiver.misdelivered:
            self._parts.metrics.add(Count.CROSSED_ANSWERS)
            raise FailedError('the answer was to another', True)
        if receiver.stream.is_done:
            return
        if await self._has_crashed():
            self._suspect()
            self._parts.pool.mark_unreachable(self._state.target.name)
        elif receiver.relay_started and receiver.stream.has_event_ids:
            if await self._resume():
                return
        self._note_failure()
        if receiver.relay_started:
            self._parts.metrics.add(Count.BROKEN_STREAMS)
        raise FailedError(message, True, receiver.relay_started)

    async def _has_crashed(self) -> bool:
        address = self._state.target.address
        return await has_crashed(
            self._parts.client, address, self._incarnation
        )

    def _suspect(self) -> None:
        suspicion = Suspicion(
            self._call.fingerprint,
            self._state.target.name,
            self._incarnation,
            self._state.own_in_flight,
        )
        if self._parts.suspects.record_crash(suspicion):
            self._parts.mesh.broadcast(suspicion)

    async def _resume(self) -> bool:
        stream = self._receiver.stream
        for _ in range(_MAX_RESUMES):
            self._parts.metrics.add(Count.RESUMES)
            receiver = ResponseReceiver(stream, self)
            receiver.relay_started = True
            try:
                await requests.resume(
                    self._parts.client,
                    self._state.target.address,
                    self.identifier,
                    stream.last_event_id,
                    self._left(),
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
            await asyncio.sleep(_RESUME_PAUSE)
        return False

    async def _conclude(self) -> CallResult:
        self._concluded = True
        receiver = self._receiver
        response = None if receiver.is_stream else receiver.response()
        if response is not None and self._call.prompt:
            self._place.mark_prefilled()
        used = read_usage(receiver, self._call.prompt_tokens)
        result = CallResult(response, used)
        holder = self._parts.feedback.record_identity(
            self._state, receiver.headers
        )
        failed = response is not None and response.status >= _SERVER_ERROR
        spent = self._parts.state.clock.now() - self._began
        self._parts.feedback.record_outcome(
            self._call,
            self._place,
            self._version,
            AttemptMeasurement(not failed, spent, used.output_tokens),
        )
        if response is not None and response.status in _RETRIED_STATUSES:
            self._refuse(result, response)
        if self._call.prompt and not failed:
            self._parts.feedback.record_cached(self._call, self._state, holder)
        await self._clear_suspicion()
        return result

    def _refuse(self, result: CallResult, response: Response) -> None:
        if response.status == _UNAVAILABLE:
            self._parts.pool.mark_unreachable(self._state.target.name)
        text = f'a target said {response.status}'
        raise FailedError(text, True, False, result)

    async def _clear_suspicion(self) -> None:
        suspects = self._parts.suspects
        fingerprint = self._call.fingerprint
        if suspects.get_status(fingerprint) is not SuspectStatus.CLEAR:
            await suspects.clear(fingerprint, time.time())


_cancelling: set[asyncio.Task[None]] = set()

__all__ = [
    'Attempt',
    'AttemptDependencies',
    'CallResult',
    'FailedError',
    'REQUEST_ID_HEADER',
    'STREAM_TOKEN_HEADER',
]
