"""Web handlers of the port that serves callers."""

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
from ..web.numbers import parse_number
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
# A body of up to this many times the limit is read before it is rejected.
_MAX_READ_RATIO = 4
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_EVENT_END = b'\n\n'
_UNCOPIED_HEADERS = frozenset(
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


def encode_leaving() -> bytes:
    """Return the error for a request that arrives too late, as JSON."""
    text = 'this VM is stopping'
    return encode_error(CallError(Code.VM_LEAVING, text, _UNAVAILABLE), '')


class HandlerDependencies(NamedTuple):
    """The components that handlers use.

    ``is_warm`` tells whether a starting VM has received its peers' hints.
    """

    state: FleetState
    service: Service
    resumption: Resumption
    in_flight: InFlightCalls
    max_body_bytes: int
    is_warm: Callable[[], bool]


def _make_internal_error() -> CallError:
    text = 'the router failed'
    return CallError(Code.INTERNAL, text, _INTERNAL_ERROR, RunStatus.UNKNOWN)


@stream_request_body
class _CallerHandler(RequestHandler):
    """Base of the handlers for callers: bodies, responses and errors."""

    def initialize(self, dependencies: HandlerDependencies) -> None:
        self.state = dependencies.state
        self.service = dependencies.service
        self.resumption = dependencies.resumption
        self.in_flight = dependencies.in_flight
        self.max_body_bytes = dependencies.max_body_bytes
        self.body = bytearray()
        self.received_bytes = 0
        self.event_count = 0
        self.identifier = ''
        self.is_streaming = False
        self.task: asyncio.Task[None] | None = None
        self.may_cancel = True

    def set_default_headers(self) -> None:
        self.clear_header('Server')

    async def prepare(self) -> None:
        """Reject a request whose ``Content-Length`` is too large."""
        self._announce_leaving()
        size = parse_number(self.request.headers.get('Content-Length')) or 0
        if size > self.max_body_bytes:
            await self._reject_body(size)

    def _announce_leaving(self) -> None:
        if self.state.leaving:
            self.set_header('Connection', 'close')

    async def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the limit; discard it beyond."""
        if self._finished:
            return
        self.received_bytes += len(chunk)
        if self.received_bytes > self.max_body_bytes:
            self.body.clear()
            await self._reject_body(self.received_bytes)
        else:
            self.body += chunk

    async def _reject_body(self, body_bytes: int) -> None:
        """Reject a body that is far too large at once.

        A smaller one is first read to its end: a caller that is still
        sending would not see the response before the connection closes.
        """
        if body_bytes > _MAX_READ_RATIO * self.max_body_bytes:
            await self.fail(self._make_too_large_error())

    def _make_too_large_error(self) -> CallError:
        text = f'a body may have {self.max_body_bytes} bytes'
        return CallError(Code.BODY_TOO_LARGE, text, _TOO_LARGE)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Send an error that Tornado raised, as JSON."""
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
        """Set the status and headers of a streamed response."""
        self.set_status(status)
        self.copy_headers(headers)
        self.is_streaming = True

    def copy_headers(self, headers: HTTPHeaders) -> None:
        for name, value in headers.get_all():
            if name.lower() not in _UNCOPIED_HEADERS:
                self.set_header(name, value)

    async def write_events(self, data: bytes) -> None:
        self.event_count += data.count(_EVENT_END)
        RequestHandler.write(self, data)
        await self.flush()

    async def fail(self, error: CallError) -> None:
        """Send an error to the caller, as an event if its stream began."""
        with contextlib.suppress(StreamClosedError):
            await self._send_error(error)

    def _send_error(self, error: CallError) -> Awaitable[None]:
        body = encode_error(error, self.identifier)
        if self.is_streaming:
            event = b'event: error\ndata: ' + body + _EVENT_END
            RequestHandler.write(self, event)
            return self.finish()
        self.clear()
        self._announce_leaving()
        self.set_status(error.status)
        self.set_header('Content-Type', 'application/json')
        self.set_header(REQUEST_ID_HEADER, self.identifier)
        if error.retry_after is not None:
            seconds = error.retry_after
            self.set_header('Retry-After', str(math.ceil(seconds)))
            self.set_header('Retry-After-Ms', str(math.ceil(seconds * 1e3)))
        return self.finish(body)

    async def guard(self) -> None:
        """Run ``work`` and send any error to the caller."""
        self.task = asyncio.current_task()
        with self.in_flight.hold_open():
            try:
                if self.received_bytes > self.max_body_bytes:
                    raise self._make_too_large_error()
                await self.work()
            except CallError as error:
                await self.fail(error)
            except (StreamClosedError, asyncio.CancelledError):
                self.task = None
            except Exception:
                logging.exception(
                    'a request failed with an unexpected exception'
                )
                await self.fail(_make_internal_error())
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


class _HandlerWriter:
    """Sends a streamed response through a handler."""

    def __init__(self, handler: _CallerHandler) -> None:
        self._handler = handler

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        self._handler.begin(status, headers)

    async def write(self, data: bytes) -> None:
        await self._handler.write_events(data)


class CallHandler(_CallerHandler):
    """Serves the calls of all routes."""

    async def work(self) -> None:
        """Serve a call; only an idempotent one is cancelled on disconnect."""
        call = await self.service.identify(self.read_incoming())
        self.identifier = call.identifier
        self.may_cancel = call.route.idempotent
        try:
            served = await self.service.serve(call, _HandlerWriter(self))
        except (StreamClosedError, asyncio.CancelledError):
            self.service.settle_aborted(call, self.event_count)
            raise
        await self._send_response(call, served)

    async def _send_response(self, call: Call, served: ServedCall) -> None:
        response = served.result.response
        if response is None:
            await self.finish()
            return
        self.set_status(response.status)
        self.copy_headers(response.headers)
        self.set_header(REQUEST_ID_HEADER, call.identifier)
        if served.replayed:
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
    """Resumes a stream that began at this or another VM."""

    async def work(self) -> None:
        """Relay the events after the last one that the caller received."""
        sealed_token = self.path_args[0]
        last_event_id = self.request.headers.get('Last-Event-ID', '0')
        await self.resumption.run(
            sealed_token,
            last_event_id,
            self.read_incoming(),
            _HandlerWriter(self),
        )
        await self.finish()

    async def get(self, token: str) -> None:
        await self.guard()


class ReadyHandler(RequestHandler):
    """Tells the load balancer whether this VM accepts callers."""

    def initialize(self, dependencies: HandlerDependencies) -> None:
        self.state = dependencies.state
        self.is_warm = dependencies.is_warm

    async def get(self) -> None:
        state = self.state
        ready = state.is_fresh() and state.configuration_generation() > 0
        ready = ready and self.is_warm()
        if state.leaving or not ready:
            self.set_status(_UNAVAILABLE)
        self.finish('ready' if ready and not state.leaving else 'not ready')


def make_application(dependencies: HandlerDependencies) -> Application:
    """Return the web application for callers."""
    arguments = {'dependencies': dependencies}
    return Application(
        [
            (r'/ready', ReadyHandler, arguments),
            (r'/v1/streams/([^/]+)', ResumeHandler, arguments),
            (r'/.*', CallHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


__all__ = [
    'encode_error',
    'encode_leaving',
    'ErrorBody',
    'HandlerDependencies',
    'make_application',
]
