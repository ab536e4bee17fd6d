"""The port for callers, and the one that tells whether to send any."""

from __future__ import annotations

import asyncio
from http.client import responses
from typing import TYPE_CHECKING

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from ..platform import dialect
from .call import IncomingRequest
from .call import Reason
from .call import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..metrics.registry import Metrics
    from .call import Call
    from .logs import Log

_INTERNAL_ERROR = 500
_BAD_GATEWAY = 502
_OK = 200
_UNAVAILABLE = 503
_LEAVING_RETRY_S = 0.1
_NO_BODY = frozenset((204, 304))


class CallHandler:
    """What the port does with a request; told by its owner."""

    def admit(self, incoming: IncomingRequest) -> Call:
        """Return a call, or raise ``Refusal``."""
        raise NotImplementedError

    async def run(self, call: Call, reply: _Reply) -> None:
        """Run a call; raises ``Refusal`` if it was not answered."""
        raise NotImplementedError

    def record_end(self, call: Call, refusal: Refusal | None) -> None:
        """Take note of how a call ended."""
        raise NotImplementedError


class _Reply:
    """The way back to one caller."""

    def __init__(
        self, connection: HTTP1Connection, is_leaving: Callable[[], bool]
    ) -> None:
        self._connection = connection
        self._is_leaving = is_leaving
        self.has_begun = False

    def _start(
        self, status: int, headers: HTTPHeaders, body: bytes | None
    ) -> asyncio.Future[None]:
        self.has_begun = True
        if self._is_leaving():
            headers['Connection'] = 'close'
        reason = responses.get(status, 'Unknown')
        line = ResponseStartLine('HTTP/1.1', status, reason)
        return self._connection.write_headers(line, headers, body)

    async def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of a stream."""
        await self._start(status, headers, None)

    async def write(self, data: bytes) -> None:
        """Send a piece of a stream."""
        await self._connection.write(data)

    def _end(self) -> None:
        # The caller is told not to send more, but may not have seen it.
        if self._is_leaving():
            self._connection._disconnect_on_finish = True
        self._connection.finish()

    async def finish(self) -> None:
        """End a stream as complete."""
        self._end()

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a whole answer."""
        if status not in _NO_BODY:
            headers['Content-Length'] = str(len(body))
        written = self._start(status, headers, body or None)
        self._end()
        await written

    def abort(self) -> None:
        """Break off, so that nothing looks complete."""
        self._connection.close()


class _Message(HTTPMessageDelegate):
    """Reads one request and answers it."""

    def __init__(
        self,
        port: CallerPort,
        caller: HTTP1ServerConnection,
        connection: HTTP1Connection,
    ) -> None:
        self._port = port
        self._caller = caller
        self._connection = connection
        self._line = RequestStartLine('', '', '')
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._arrived = 0.0
        self._task: asyncio.Task[None] | None = None
        self.may_cancel = True

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._port.mark_busy(self._caller)
        self._line = start_line
        self._headers = headers
        self._arrived = self._port.clock.now()

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        incoming = IncomingRequest(
            self._line.method,
            self._line.path,
            self._headers,
            b''.join(self._chunks),
            self._arrived,
        )
        reply = _Reply(self._connection, lambda: self._port.is_leaving)
        made = self._port.respond(incoming, reply, self)
        self._task = asyncio.ensure_future(made)
        self._port.in_flight.add(self._task)
        self._task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._port.in_flight.discard(task)
        self._port.mark_idle(self._caller)

    def on_connection_close(self) -> None:
        if self._task is not None and self.may_cancel:
            self._task.cancel()


class CallerPort(HTTPServerConnectionDelegate):
    """Answers callers; ``in_flight`` holds the requests under way."""

    def __init__(self, handling: CallHandler, clock: Clock, log: Log) -> None:
        self._handling = handling
        self._log = log
        self.clock = clock
        self.is_leaving = False
        self.is_closed = False
        self.in_flight: set[asyncio.Task[None]] = set()
        self._idle: set[HTTP1ServerConnection] = set()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(server_conn, HTTP1ServerConnection)
        assert isinstance(request_conn, HTTP1Connection)
        self.mark_idle(server_conn)
        return _Message(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a caller's connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._idle.discard(server_conn)

    def mark_busy(self, caller: HTTP1ServerConnection) -> None:
        """Note that a connection has a request under way."""
        self._idle.discard(caller)

    def mark_idle(self, caller: HTTP1ServerConnection) -> None:
        """Note that a connection has no request."""
        if self.is_closed:
            return
        self._idle.add(caller)

    def close(self) -> None:
        """Close idle connections and take no more requests."""
        self.is_closed = True
        for caller in list(self._idle):
            caller.stream.close()
        self._idle.clear()

    async def respond(
        self, incoming: IncomingRequest, reply: _Reply, message: _Message
    ) -> None:
        """Answer one request."""
        try:
            if self.is_closed:
                raise Refusal(_UNAVAILABLE, Reason.LEAVING, _LEAVING_RETRY_S)
            call = self._handling.admit(incoming)
        except Refusal as refusal:
            await self._refuse(incoming, reply, refusal)
            return
        message.may_cancel = call.may_cancel()
        failure = await self._run(call, reply)
        self._handling.record_end(call, failure)
        if failure is not None:
            await self._refuse(incoming, reply, failure)

    async def _run(self, call: Call, reply: _Reply) -> Refusal | None:
        try:
            await self._handling.run(call, reply)
        except Refusal as refusal:
            return refusal
        except StreamClosedError:
            self._log.write('caller_gone', id=call.request_id)
        except asyncio.CancelledError:
            self._log.write('caller_gone', id=call.request_id)
            raise
        except Exception as error:
            self._log.write(
                'request_error', id=call.request_id, error=repr(error)
            )
            return Refusal(_BAD_GATEWAY, Reason.INTERNAL)
        return None

    async def _refuse(
        self, incoming: IncomingRequest, reply: _Reply, refusal: Refusal
    ) -> None:
        request_id = dialect.read_caller_headers(incoming.headers).request_id
        self._log.write(
            'refused',
            id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            seconds=round(self.clock.now() - incoming.arrived_at, 3),
        )
        if reply.has_begun:
            reply.abort()
            return
        headers = dialect.make_refusal_headers(request_id, refusal.retry_after)
        body = msgspec.json.encode({'error': refusal.reason})
        try:
            await reply.send(refusal.status, headers, body)
        except StreamClosedError:
            self._log.write('caller_gone', id=request_id)


class _Question(HTTPMessageDelegate):
    """Answers any request with what ``answer`` returns."""

    def __init__(
        self,
        connection: HTTPConnection,
        answer: Callable[[], tuple[int, bytes]],
    ) -> None:
        self._connection = connection
        self._answer = answer

    def finish(self) -> None:
        status, body = self._answer()
        line = ResponseStartLine('HTTP/1.1', status, responses[status])
        headers = HTTPHeaders({'Content-Length': str(len(body))})
        self._connection.write_headers(line, headers, body)
        self._connection.finish()


class ReadinessPort(HTTPServerConnectionDelegate):
    """Tells whether new callers are welcome."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _Question(request_conn, self._answer)

    def _answer(self) -> tuple[int, bytes]:
        return (_OK if self._is_ready() else _UNAVAILABLE), b''


class MetricsPort(HTTPServerConnectionDelegate):
    """Tells the metrics of this process."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _Question(request_conn, lambda: (_OK, self._metrics.render()))


__all__ = ['CallerPort', 'CallHandler', 'MetricsPort', 'ReadinessPort']
