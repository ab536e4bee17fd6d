"""A server that answers the requests that arrived before it is stopped."""

from __future__ import annotations

import asyncio
from http.client import responses
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import ResponseStartLine
from tornado.iostream import SSLIOStream

from .quietness import accept_waiting
from .quietness import is_active
from .quietness import is_quiet

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.httputil import HTTPConnection
    from tornado.httputil import HTTPServerConnectionDelegate
    from tornado.httputil import RequestStartLine
    from tornado.iostream import IOStream

_UNAVAILABLE = 503
_RETRY_AFTER_S = 1
# Requests that have begun to arrive are refused this long after the stop, if
# they are not complete.
RECEIVE_TIMEOUT_S = 1.0
_POLL_S = 0.05


class StoppedServer(NamedTuple):
    """How many connections were open when a server had been stopped.

    ``idle`` of them had no request that was known, ``unread`` of these had
    bytes that were not handled, and ``cut`` were closed with a request.
    """

    connections: int
    idle: int
    unread: int
    cut: int


class _TrackedMessage(HTTPMessageDelegate):
    """Passes a request on; ``is_receiving`` from its head to its end."""

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        connection: HTTPConnection,
        idle: set[HTTP1ServerConnection],
        server_connection: HTTP1ServerConnection,
    ) -> None:
        self._delegate = delegate
        self._connection = connection
        self._idle = idle
        self._server_connection = server_connection
        self.is_receiving = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._idle.discard(self._server_connection)
        self.is_receiving = True
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self.is_receiving = False
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self.is_receiving = False
        self._delegate.on_connection_close()

    def refuse(self, body: bytes) -> None:
        """Refuse a request that isn't complete, unless it was answered."""
        connection = self._connection
        assert isinstance(connection, HTTP1Connection)
        if not self.is_receiving or connection._response_start_line:
            return
        self.is_receiving = False
        line = ResponseStartLine(
            'HTTP/1.1', _UNAVAILABLE, responses[_UNAVAILABLE]
        )
        headers = HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
                'Connection': 'close',
                'Retry-After': str(_RETRY_AFTER_S),
            }
        )
        connection.write_headers(line, headers, body)
        connection.finish()


class DrainingServer(HTTPServer):
    """Closes a connection only if no request has arrived on it."""

    def initialize(  # type: ignore[override]
        self,
        application: HTTPServerConnectionDelegate,
        refusal: bytes,
        **parameters: Any,
    ) -> None:
        """Serve an application with the parameters of ``HTTPServer``.

        ``refusal`` is the JSON that refuses requests which arrive too slowly
        at a stopped server.
        """
        super().initialize(application, **parameters)
        self._refusal = refusal
        self._idle: set[HTTP1ServerConnection] = set()
        self._messages: dict[HTTP1ServerConnection, _TrackedMessage] = {}

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Begin to read a connection's next request."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        delegate = super().start_request(server_conn, request_conn)
        message = _TrackedMessage(
            delegate, request_conn, self._idle, server_conn
        )
        self._idle.add(server_conn)
        self._messages[server_conn] = message
        return message

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        super().on_close(server_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._idle.discard(server_conn)
        self._messages.pop(server_conn, None)

    def stop(self) -> None:
        """Accept the connections that were made by now, and no more."""
        if not self._stopped:
            accept_waiting(self._sockets.values(), self._handle_connection)
        super().stop()

    def _close_quiet(self) -> None:
        for connection in list(self._idle):
            if _has_nothing(connection.stream):
                self._idle.discard(connection)
                connection.stream.close()

    def _end_unread(self) -> None:
        """Refuse requests whose bodies are late, and end late heads."""
        for message in list(self._messages.values()):
            message.refuse(self._refusal)
        for connection in list(self._idle):
            if not is_active(connection.stream):
                self._idle.discard(connection)
                connection.stream.close()

    async def _wait(self, seconds: float) -> None:
        """Close quiet connections until there is none, or for a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self._connections:
            self._close_quiet()
            if loop.time() >= until:
                return
            await asyncio.sleep(_POLL_S)

    async def finish(self, seconds: float) -> StoppedServer:
        """Stop, and answer what has arrived; then close all connections.

        This may take ``seconds``, at least ``RECEIVE_TIMEOUT_S``.
        """
        self.stop()
        streams = [c.stream for c in self._idle]
        connections = len(self._connections)
        unread = sum(not _has_nothing(s) for s in streams)
        await self._wait(RECEIVE_TIMEOUT_S)
        self._end_unread()
        await self._wait(seconds - RECEIVE_TIMEOUT_S)
        cut = len(self._connections)
        await self.close_all_connections()
        return StoppedServer(connections, len(streams), unread, cut)


def _has_nothing(stream: IOStream) -> bool:
    """Return whether a connection without a known request may be closed.

    A caller that begins a TLS session is about to send a request.
    """
    is_starting = isinstance(stream, SSLIOStream) and stream._ssl_accepting
    return is_quiet(stream) and not is_starting


__all__ = ['DrainingServer', 'RECEIVE_TIMEOUT_S', 'StoppedServer']
