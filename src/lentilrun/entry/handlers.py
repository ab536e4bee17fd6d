"""Web handlers of the port for callers."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import NamedTuple
from typing import TYPE_CHECKING

from absl import logging
import msgspec
from tornado.httputil import responses
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.web import RequestHandler
from tornado.web import stream_request_body

from ..errors import CallError
from ..errors import Code
from ..errors import RunStatus
from .admission import IncomingRequest
from .attempt import REQUEST_ID_HEADER
from .claimedcalls import REPEATED_HEADER

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from ..fleet.state import FleetState
    from .call import Call
    from .claimedcalls import ServedCall
    from .inflight import InFlightCalls
    from .resumption import Resumption
    from .service import Service

_OK = 200
_TOO_LARGE = 413
# A body may be this many times too large and still be read to its end.
_EXCESS = 4
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_EVENT_END = b'\n\n'
_KEPT_OUT = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class ErrorBody(NamedTuple):
    """An error as callers see it."""

    code: str
    message: str
    ran: str
    request_id: str


def encode_error(error: CallError, identifier: str) -> bytes:
    """Return an error as JSON."""
    body = ErrorBody(error.code, str(error), error.run_status, identifier)
    return msgspec.json.encode({'error': body._asdict()})


class HandlerDependencies(NamedTuple):
    """What handlers work with.

    ``is_warm`` tells whether a starting daemon took what peers know.
    """

    state: FleetState
    service: Service
    resumption: Resumption
    in_flight: InFlightCalls
    max_body_bytes: int
    is_warm: Callable[[], bool]


def _make_internal() -> CallError:
    text = 'the router failed'
    return CallError(Code.INTERNAL, text, _INTERNAL_ERROR, RunStatus.UNKNOWN)


@stream_request_body
class _CallerHandler(RequestHandler):
    """What all handlers for callers share: bodies, replies, errors."""

    def initialize(self, parts: HandlerDependencies) -> None:
        self.state = parts.state
        self.service = parts.service
        self.resumption = parts.resumption
        self.running = parts.in_flight
        self.max_body = parts.max_body_bytes
        self.body = bytearray()
        self.received = 0
        self.events = 0
        self.identifier = ''
        self.streaming = False
        self.task: asyncio.Task[None] | None = None
        self.may_cancel = True

    def set_default_headers(self) -> None:
        self.clear_header('Server')

    async def prepare(self) -> None:
        """Refuse a body that is announced as too large."""
        if self.state.leaving:
            self.set_header('Connection', 'close')
        announced = self.request.headers.get('Content-Length', '0')
        if announced.isdigit() and int(announced) > self.max_body:
            await self._refuse_body(int(announced))

    async def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body, up to the limit."""
        if self._finished:
            return
        self.received += len(chunk)
        if self.received > self.max_body:
            self.body.clear()
            await self._refuse_body(self.received)
        else:
            self.body += chunk

    async def _refuse_body(self, size: int) -> None:
        """Refuse a body: a small excess is read, so that the answer is.

        A caller that is still sending would not see the answer before
        the connection closes.
        """
        if size > _EXCESS * self.max_body:
            await self.fail(self._make_too_large())

    def _make_too_large(self) -> CallError:
        text = f'a body may have {self.max_body} bytes'
        return CallError(Code.BODY_TOO_LARGE, text, _TOO_LARGE)

    def write_error(self, status_code: int, **given: object) -> None:
        """Tell of an error that the web library found."""
        error = CallError(
            Code.BAD_REQUEST, responses.get(status_code, ''), status_code
        )
        self.set_header('Content-Type', 'application/json')
        self.finish(encode_error(error, self.identifier))

    def compute_etag(self) -> str | None:
        return None

    def on_connection_close(self) -> None:
        if self.task is not None and self.may_cancel:
            self.task.cancel()

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Send the status and headers of a target's answer."""
        self.set_status(status)
        self.copy_headers(headers)
        self.streaming = True

    def copy_headers(self, headers: HTTPHeaders) -> None:
        for name, value in headers.get_all():
            if name.lower() not in _KEPT_OUT:
                self.set_header(name, value)

    async def write_events(self, data: bytes) -> None:
        self.events += data.count(_EVENT_END)
        RequestHandler.write(self, data)
        await self.flush()

    async def fail(self, error: CallError) -> None:
        """Tell the caller of an error, within its stream if one began."""
        with contextlib.suppress(StreamClosedError):
            await self._send_error(error)

    def _send_error(self, error: CallError) -> Awaitable[None]:
        body = encode_error(error, self.identifier)
        if self.streaming:
            event = b'event: error\ndata: ' + body + _EVENT_END
            RequestHandler.write(self, event)
            return self.finish()
        self.clear()
        self.set_status(error.status)
        self.set_header('Content-Type', 'application/json')
        self.set_header(REQUEST_ID_HEADER, self.identifier)
        if error.retry_after is not None:
            seconds = error.retry_after
            self.set_header('Retry-After', str(math.ceil(seconds)))
            self.set_header('Retry-After-Ms', str(math.ceil(seconds * 1e3)))
        return self.finish(body)

    async def guard(self) -> None:
        """Run ``work`` and tell the caller of whatever goes wrong."""
        self.task = asyncio.current_task()
        with self.running.hold_open():
            try:
                if self.received > self.max_body:
                    raise self._make_too_large()
                await self.work()
            except CallError as error:
                await self.fail(error)
            except (StreamClosedError, asyncio.CancelledError):
                self.task = None
            except Exception:
                logging.exception('a request failed')
                await self.fail(_make_internal())
            finally:
                self.task = None

    async def work(self) -> None:
        """Serve the request."""
        raise NotImplementedError

    def read_incoming(self) -> IncomingRequest:
        request = self.request
        return IncomingRequest(
            request.method or '',
            request.path,
            request.query,
            request.headers,
            bytes(self.body),
        )


class _ReplyTo:
    """The way back to the caller of a handler."""

    def __init__(self, handler: _CallerHandler) -> None:
        self._handler = handler

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        self._handler.begin(status, headers)

    async def write(self, data: bytes) -> None:
        await self._handler.write_events(data)


class CallHandler(_CallerHandler):
    """Serves all routes."""

    async def work(self) -> None:
        """Serve one call."""
        call = await self.service.identify(self.read_incoming())
        self.identifier = call.identifier
        self.may_cancel = call.route.idempotent
        try:
            ended = await self.service.serve(call, _ReplyTo(self))
        except (StreamClosedError, asyncio.CancelledError):
            self.service.settle_aborted(call, self.events)
            raise
        await self._finish(call, ended)

    async def _finish(self, call: Call, ended: ServedCall) -> None:
        response = ended.result.response
        if response is None:
            await self.finish()
            return
        self.set_status(response.status)
        self.copy_headers(response.headers)
        self.set_header(REQUEST_ID_HEADER, call.identifier)
        if ended.replayed:
            self.set_header(REPEATED_HEADER, 'yes')
        await self.finish(response.body or None)

    async def get(self) -> None:
        await self.guard()

    async def head(self) -> None:
        await self.guard()

    async def post(self) -> None:
        await self.guard()

    async def put(self) -> None:
        await self.guard()

    async def patch(self) -> None:
        await self.guard()

    async def delete(self) -> None:
        await self.guard()


class ResumeHandler(_CallerHandler):
    """Resumes a stream that began at any VM."""

    async def work(self) -> None:
        """Relay what the caller has not seen."""
        token = self.path_args[0]
        last = self.request.headers.get('Last-Event-ID', '0')
        await self.resumption.run(
            token, last, self.read_incoming(), _ReplyTo(self)
        )
        await self.finish()

    async def get(self, token: str) -> None:
        await self.guard()


class ReadyHandler(RequestHandler):
    """Tells the balancer whether to send callers here."""

    def initialize(self, parts: HandlerDependencies) -> None:
        self.state = parts.state
        self.is_warm = parts.is_warm

    async def get(self) -> None:
        state = self.state
        ready = state.is_fresh() and state.configuration_generation() > 0
        ready = ready and self.is_warm()
        if state.leaving or not ready:
            self.set_status(_UNAVAILABLE)
        self.finish('ready' if ready and not state.leaving else 'not ready')


def make_application(parts: HandlerDependencies) -> Application:
    """Return the web application for callers."""
    given = {'parts': parts}
    return Application(
        [
            (r'/ready', ReadyHandler, given),
            (r'/v1/streams/([^/]+)', ResumeHandler, given),
            (r'/.*', CallHandler, given),
        ],
        log_function=lambda handler: None,
    )


__all__ = [
    'encode_error',
    'ErrorBody',
    'HandlerDependencies',
    'make_application',
]
