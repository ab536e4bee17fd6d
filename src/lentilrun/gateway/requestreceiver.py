"""Receives a caller's request, and starts the task that responds."""

from __future__ import annotations

import asyncio
import sys
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine

from ..platform import dialect
from ..web.body import release_body
from .bodies import BodyCollector
from .call import Cancellation
from .call import IncomingRequest
from .call import Reason
from .call import Refusal
from .connectionwriter import ConnectionWriter

if TYPE_CHECKING:
    from .server import CallerPort

_REQUEST_TIMEOUT = 408
_UNAVAILABLE = 503
_HTTP_1_0 = 'HTTP/1.0'
# The largest body of a refused request that is discarded.
_MAX_DISCARDED_BYTES = 4 * 1024 * 1024
_STALLED_RETRY_S = 1.0


class OpenRequest(NamedTuple):
    """A request that was received whole, and the writer of its response."""

    incoming: IncomingRequest
    writer: ConnectionWriter

    def identify(self) -> str:
        """Return the request's ID, empty if it has none."""
        return dialect.read_request_id(self.incoming.headers)


class RequestReceiver(HTTPMessageDelegate):
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
        self._collector = BodyCollector(port.memory, port.clock)
        self._arrived_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._is_refused = False
        self._discarded_bytes = 0
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
        # The collector limits the body; the connection's own limit would
        # end the request with 400.
        self._connection.set_max_body_size(sys.maxsize)
        address = self._server_connection.context.remote_ip  # type: ignore
        self._port.receivers[self._server_connection.stream] = self
        try:
            rules = self._port.make_rules(headers, address)
            self._collector.start(headers, rules, self._end_unread)
        except Refusal as refusal:
            self._refuse(refusal)
            if headers.get('Expect'):
                # The caller waits before it sends the body.
                self._connection.finish()

    def data_received(self, chunk: bytes) -> None:
        if self._is_refused:
            self._discarded_bytes += len(chunk)
            if self._discarded_bytes > _MAX_DISCARDED_BYTES:
                self._connection.stream.close()
            return
        self._port.mark_progress(self._server_connection)
        try:
            self._collector.add(chunk)
        except Refusal as refusal:
            self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        """Respond before the request was read, and discard the rest."""
        self._is_refused = True
        self._collector.abandon()
        if not self._connection.stream.closed():
            self._port.refuse_unread(
                self._headers, self._make_writer(), refusal
            )
            self._port.refused[self] = self._port.clock.now()
            self._port.limit_refused()

    def _end_unread(self, is_timeout: bool) -> None:
        """Refuse a request whose body makes no progress, and close."""
        if is_timeout:
            self.end(Refusal(_REQUEST_TIMEOUT, Reason.BODY_STALLED))
        else:
            self.end(Refusal(_UNAVAILABLE, Reason.NO_MEMORY, _STALLED_RETRY_S))

    def end(self, refusal: Refusal) -> None:
        """Refuse the request, unless it was refused, and close."""
        if not self._is_refused:
            self._refuse(refusal)
        self.close()

    def close(self) -> None:
        """Close the connection of a request that was not read."""
        self._forget()
        self._connection.stream.close()

    def _forget(self) -> None:
        self._port.receivers.pop(self._server_connection.stream, None)
        self._port.refused.pop(self, None)

    def _make_writer(self) -> ConnectionWriter:
        return ConnectionWriter(
            self._connection,
            lambda: self._port.is_leaving,
            self._line.method == 'HEAD',
            self._line.version != _HTTP_1_0,
        )

    def finish(self) -> None:
        self._forget()
        if self._is_refused:
            self._connection.finish()
            return
        incoming = IncomingRequest(
            self._line.method,
            self._line.path,
            self._headers,
            self._collector.finish(),
            self._arrived_at,
        )
        if self._connection.stream.closed():
            # Bytes that arrived before are still read after a close.
            release_body(incoming.body)
            self._port.log_unread_request(incoming)
            return
        self._port.mark_received(self._server_connection)
        writer = self._make_writer()
        coroutine = self._port.respond(incoming, writer, self._cancellation)
        task = self._task = asyncio.ensure_future(coroutine)
        self._cancellation.cancel = task.cancel
        # After the request has been read, only this reports a close.
        self._connection.set_close_callback(self.on_connection_close)
        self._port.in_flight[task] = OpenRequest(incoming, writer)
        body = incoming.body

        def mark_done(task: asyncio.Task[None]) -> None:
            release_body(body)
            self._mark_done(task)

        task.add_done_callback(mark_done)

    def _mark_done(self, task: asyncio.Task[None]) -> None:
        self._port.in_flight.pop(task, None)
        self._port.mark_idle(self._server_connection)

    def on_connection_close(self) -> None:
        if self._task is None:
            self._forget()
            self._collector.abandon()
            return
        self._cancellation.request()


__all__ = ['OpenRequest', 'RequestReceiver']
