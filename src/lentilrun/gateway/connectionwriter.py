"""Writes the responses to callers."""

from __future__ import annotations

from http.client import responses
from typing import TYPE_CHECKING

from tornado.httputil import ResponseStartLine

from ..web.sockets import abort

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import HTTPHeaders

_NO_BODY = frozenset((204, 304))
# Larger bodies are written apart from the head, as joining copies them.
_JOINED_BODY_BYTES = 16 * 1024


class ConnectionWriter:
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
        self,
        status: int,
        headers: HTTPHeaders,
        body: bytes | bytearray | None,
    ) -> asyncio.Future[None]:
        self.has_begun = True
        if self._is_leaving():
            headers['Connection'] = 'close'
        reason = responses.get(status, 'Unknown')
        line = ResponseStartLine('HTTP/1.1', status, reason)
        if (
            body is None
            or len(body) <= _JOINED_BODY_BYTES
            or self._connection.stream.closed()
        ):
            joined = None if body is None else bytes(body)
            return self._connection.write_headers(line, headers, joined)
        self._connection.write_headers(line, headers)
        return self._connection.write(memoryview(body))  # type: ignore

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
        self, status: int, headers: HTTPHeaders, body: bytes | bytearray
    ) -> None:
        """Send a whole response; a ``bytearray`` is not changed later."""
        if status not in _NO_BODY:
            headers['Content-Length'] = str(len(body))
        written = self._start_response(
            status, headers, None if self._is_head else body or None
        )
        self._finish_exchange()
        await written

    def send_unread(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a whole response before the request was read.

        The connection is to be closed once no more of it is discarded.
        """
        # States ``Connection: close`` too.
        self._connection._disconnect_on_finish = True
        headers['Content-Length'] = str(len(body))
        self._start_response(status, headers, None if self._is_head else body)

    def is_closed(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._connection.stream.closed()

    def abort(self) -> None:
        """Close the connection, so that the response is seen as incomplete.

        HTTP/1.0 has no chunks: the end of the connection would look like
        that of the response, so that it is reset.
        """
        if not self._is_chunked:
            abort(self._connection.stream)
        self._connection.close()


__all__ = ['ConnectionWriter']
