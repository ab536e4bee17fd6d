"""HTTP servers of the daemon: for callers, readiness and metrics."""

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
from ..platform.routingquery import EXPLAIN_PATH
from ..web.sockets import abort
from .call import Cancellation
from .call import IncomingRequest
from .call import Reason
from .call import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..metrics.registry import Metrics
    from .call import Call
    from .call import ResponseWriter
    from .logs import Log

_INTERNAL_ERROR = 500
_BAD_GATEWAY = 502
_OK = 200
_UNAVAILABLE = 503
_LEAVING_RETRY_S = 0.1
# A caller that has not read its response this long after its deadline is
# disconnected.
_DELIVERY_GRACE_S = 1.0
_NO_BODY = frozenset((204, 304))
_HTTP_1_0 = 'HTTP/1.0'


class CallHandler:
    """What ``CallerPort`` does with a request; its owner implements it."""

    def admit(self, incoming: IncomingRequest) -> Call:
        """Return an admitted call; raises ``Refusal``."""
        raise NotImplementedError

    async def run(
        self,
        call: Call,
        writer: ResponseWriter,
        cancellation: Cancellation | None = None,
    ) -> None:
        """Run a call; raises ``Refusal`` if no target answered it."""
        raise NotImplementedError

    def record_end(self, call: Call, refusal: Refusal | None) -> None:
        """Record how a call ended."""
        raise NotImplementedError

    def make_refusal_headers(
        self, request_id: str, refusal: Refusal
    ) -> HTTPHeaders:
        """Return the headers of a refusal."""
        return dialect.make_refusal_headers(request_id, refusal.retry_after)


class _ConnectionWriter:
    """Writes the response to one request; a ``ResponseWriter``."""

    def __init__(
        self,
        connection: HTTP1Connection,
        is_leaving: Callable[[], bool],
        is_head: bool = False,
        is_chunked: bool = True,
    ) -> None:
        """Send no body if the request ``is_head``.

        A stream ``is_chunked`` unless the caller speaks HTTP/1.0.
        """
        self._connection = connection
        self._is_leaving = is_leaving
        self._is_head = is_head
        self._is_chunked = is_chunked
        self.has_begun = False

    def _start_response(
        self, status: int, headers: HTTPHeaders, body: bytes | None
    ) -> asyncio.Future[None]:
        self.has_begun = True
        if self._is_leaving():
            headers['Connection'] = 'close'
        reason = responses.get(status, 'Unknown')
        line = ResponseStartLine('HTTP/1.1', status, reason)
        return self._connection.write_headers(line, headers, body)

    async def begin(
        self, status: int, headers: HTTPHeaders, data: bytes
    ) -> None:
        """Send the status, headers and first data of a stream."""
        await self._start_response(status, headers, data)

    async def write(self, data: bytes) -> None:
        """Send a chunk of a stream."""
        await self._connection.write(data)

    def _finish_exchange(self) -> None:
        # A caller may send another request before it reads
        # ``Connection: close``.
        if self._is_leaving():
            self._connection._disconnect_on_finish = True
        self._connection.finish()

    async def finish(self) -> None:
        """Complete a stream."""
        self._finish_exchange()

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a whole response."""
        if status not in _NO_BODY:
            headers['Content-Length'] = str(len(body))
        written = self._start_response(
            status, headers, None if self._is_head else body or None
        )
        self._finish_exchange()
        await written

    def abort(self) -> None:
        """Close the connection, so that the response is seen as incomplete.

        HTTP/1.0 has no chunks: the end of the connection would look like
        that of the response, so that it is reset.
        """
        if not self._is_chunked:
            abort(self._connection.stream)
        self._connection.close()


class _RequestReceiver(HTTPMessageDelegate):
    """Receives one request, then starts the task that responds."""

    def __init__(
        self,
        port: CallerPort,
        server_connection: HTTP1ServerConnection,
        connection: HTTP1Connection,
    ) -> None:
        self._port = port
        self._server_connection = server_connection
        self._connection = connection
        self._line = RequestStartLine('', '', '')
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._arrived_at = 0.0
        self._cancellation = Cancellation()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._port.mark_busy(self._server_connection)
        self._line = start_line
        self._headers = headers
        self._arrived_at = self._port.clock.now()

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        incoming = IncomingRequest(
            self._line.method,
            self._line.path,
            self._headers,
            b''.join(self._chunks),
            self._arrived_at,
        )
        if self._connection.stream.closed():
            # Bytes that arrived before are still read after a close.
            self._port.log_caller_gone(incoming)
            return
        writer = _ConnectionWriter(
            self._connection,
            lambda: self._port.is_leaving,
            self._line.method == 'HEAD',
            self._line.version != _HTTP_1_0,
        )
        coroutine = self._port.respond(incoming, writer, self._cancellation)
        task = asyncio.ensure_future(coroutine)
        self._cancellation.cancel = task.cancel
        # After the request has been read, only this reports a close.
        self._connection.set_close_callback(self.on_connection_close)
        self._port.in_flight.add(task)
        task.add_done_callback(self._mark_done)

    def _mark_done(self, task: asyncio.Task[None]) -> None:
        self._port.in_flight.discard(task)
        self._port.mark_idle(self._server_connection)

    def on_connection_close(self) -> None:
        self._cancellation.request()


class CallerPort(HTTPServerConnectionDelegate):
    """Answers callers; ``in_flight`` are the tasks of open requests."""

    def __init__(self, handler: CallHandler, clock: Clock, log: Log) -> None:
        self._handler = handler
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
        return _RequestReceiver(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a connection that was closed."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._idle.discard(server_conn)

    def mark_busy(self, server_connection: HTTP1ServerConnection) -> None:
        """Mark a connection that has a request in flight."""
        self._idle.discard(server_connection)

    def mark_idle(self, server_connection: HTTP1ServerConnection) -> None:
        """Mark a connection without a request, unless the port is closed."""
        if self.is_closed:
            return
        self._idle.add(server_connection)

    def close(self) -> None:
        """Close idle connections and reject further requests."""
        self.is_closed = True
        for server_connection in list(self._idle):
            server_connection.stream.close()
        self._idle.clear()

    def log_caller_gone(self, incoming: IncomingRequest) -> None:
        """Log a request whose connection was closed before it was run."""
        request_id = dialect.read_request_id(incoming.headers)
        self._log.write('caller_gone', id=request_id)

    async def respond(
        self,
        incoming: IncomingRequest,
        writer: _ConnectionWriter,
        cancellation: Cancellation,
    ) -> None:
        """Answer one request: run it as a call, or refuse it."""
        try:
            call = self._admit(incoming)
        except Refusal as refusal:
            await self._refuse(incoming, writer, refusal)
            return
        call_refusal = await self._run(call, writer, cancellation)
        self._handler.record_end(call, call_refusal)
        if call_refusal is not None:
            await self._refuse(incoming, writer, call_refusal)

    def check_open(self) -> None:
        """Raise ``Refusal`` if the port takes no more requests."""
        if self.is_closed:
            raise Refusal(_UNAVAILABLE, Reason.LEAVING, _LEAVING_RETRY_S)

    def _admit(self, incoming: IncomingRequest) -> Call:
        self.check_open()
        try:
            return self._handler.admit(incoming)
        except Refusal:
            raise
        except Exception as error:
            request_id = dialect.read_request_id(incoming.headers)
            self._log.write('request_error', id=request_id, error=repr(error))
            raise Refusal(_INTERNAL_ERROR, Reason.INTERNAL) from error

    async def _run(
        self, call: Call, writer: _ConnectionWriter, cancellation: Cancellation
    ) -> Refusal | None:
        time_left = max(0.0, call.deadline - self.clock.now())
        try:
            async with asyncio.timeout(
                time_left + _DELIVERY_GRACE_S
            ) as delivery:
                await self._handler.run(call, writer, cancellation)
        except Refusal as refusal:
            return refusal
        except TimeoutError as error:
            if not delivery.expired():
                return self._record_error(call, error)
            self._log.write('caller_slow', id=call.request_id)
            writer.abort()
        except StreamClosedError:
            self._log.write('caller_gone', id=call.request_id)
        except asyncio.CancelledError:
            self._log.write('caller_gone', id=call.request_id)
            raise
        except Exception as error:
            return self._record_error(call, error)
        return None

    def _record_error(self, call: Call, error: Exception) -> Refusal:
        self._log.write('request_error', id=call.request_id, error=repr(error))
        return Refusal(_BAD_GATEWAY, Reason.INTERNAL)

    async def _refuse(
        self,
        incoming: IncomingRequest,
        writer: _ConnectionWriter,
        refusal: Refusal,
    ) -> None:
        request_id = dialect.read_request_id(incoming.headers)
        self._log.write(
            'refused',
            id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            seconds=round(self.clock.now() - incoming.arrived_at, 3),
        )
        if writer.has_begun:
            writer.abort()
            return
        headers = self._handler.make_refusal_headers(request_id, refusal)
        body = msgspec.json.encode({'error': refusal.reason})
        try:
            await writer.send(refusal.status, headers, body)
        except StreamClosedError:
            self._log.write('caller_gone', id=request_id)


class _PlainResponder(HTTPMessageDelegate):
    """Answers any request with the status and body of ``respond``."""

    def __init__(
        self,
        connection: HTTPConnection,
        respond: Callable[[], tuple[int, bytes]],
    ) -> None:
        self._connection = connection
        self._respond = respond

    def finish(self) -> None:
        status, body = self._respond()
        line = ResponseStartLine('HTTP/1.1', status, responses[status])
        headers = HTTPHeaders({'Content-Length': str(len(body))})
        self._connection.write_headers(line, headers, body)
        self._connection.finish()


class ReadinessPort(HTTPServerConnectionDelegate):
    """Answers 200 while this VM accepts new callers, and 503 otherwise."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _PlainResponder(request_conn, self._respond)

    def _respond(self) -> tuple[int, bytes]:
        return (_OK if self._is_ready() else _UNAVAILABLE), b''


class _OperatorResponder(_PlainResponder):
    """Answers queries for where a request would be routed, or ``respond``."""

    def __init__(
        self,
        connection: HTTPConnection,
        respond: Callable[[], tuple[int, bytes]],
        explain: Callable[[bytes], tuple[int, bytes]],
    ) -> None:
        super().__init__(connection, respond)
        self._explain = explain
        self._is_query = False
        self._chunks: list[bytes] = []

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        path = start_line.path.partition('?')[0]
        self._is_query = path == EXPLAIN_PATH and start_line.method == 'POST'

    def data_received(self, chunk: bytes) -> None:
        if self._is_query:
            self._chunks.append(chunk)

    def finish(self) -> None:
        if self._is_query:
            body = b''.join(self._chunks)
            self._respond = lambda: self._explain(body)
        super().finish()


class MetricsPort(HTTPServerConnectionDelegate):
    """Serves operators: the metrics of this process, and explanations."""

    def __init__(
        self,
        metrics: Metrics,
        explain: Callable[[bytes], tuple[int, bytes]],
    ) -> None:
        """Answer a query with the status and body that ``explain`` returns."""
        self._metrics = metrics
        self._explain = explain

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _OperatorResponder(
            request_conn,
            lambda: (_OK, self._metrics.render()),
            self._explain,
        )


__all__ = ['CallerPort', 'CallHandler', 'MetricsPort', 'ReadinessPort']
