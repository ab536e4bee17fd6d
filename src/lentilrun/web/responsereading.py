"""Reading of one response from a connection of the client."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from .exchangeerrors import InterruptedExchangeError
from .responses import is_framed

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from .responses import ResponseHandler
    from .sockets import RequestStream

_READ_CHUNK_BYTES = 64 * 1024
_DEFAULT_IDLE_TIMEOUT_S = 60.0
_MIN_STATUS = 100
_SWITCHING_PROTOCOLS = 101
_STATUS_END = 600
_HTTP_1_0 = 'HTTP/1.0'
_IDLE_TIMEOUT_PATTERN = re.compile(r'timeout=(\d+)')


def _is_status(code: int) -> bool:
    """Return whether a response to a request of this client may have it.

    The client never asks for another protocol, which would begin after 101.
    """
    return _MIN_STATUS <= code < _STATUS_END and code != _SWITCHING_PROTOCOLS


def _is_kept_open(version: str, headers: HTTPHeaders) -> bool:
    """Return whether a server keeps the connection after a response.

    HTTP/1.0 servers do so only if they state it.
    """
    text = headers.get('Connection', '').lower()
    options = {option.strip() for option in text.split(',')}
    if version == _HTTP_1_0:
        return 'keep-alive' in options
    return 'close' not in options


def _read_idle_timeout(headers: HTTPHeaders) -> float:
    """Return for how long the server keeps idle connections, in seconds."""
    match = _IDLE_TIMEOUT_PATTERN.search(headers.get('Keep-Alive', ''))
    return float(match[1]) if match else _DEFAULT_IDLE_TIMEOUT_S


class ResponseDelegate(HTTPMessageDelegate):
    """Passes one response on to a handler, or skips it."""

    def __init__(
        self,
        stream: RequestStream,
        handler: ResponseHandler,
        is_reused: bool,
        has_copies: bool,
    ) -> None:
        """Read from a stream, which had other responses if it ``is_reused``.

        Copies of responses may come on it if it ``has_copies``.
        """
        self._stream = stream
        self._handler = handler
        self._is_reused = is_reused
        self._has_copies = has_copies
        self.is_mismatched = False
        self.is_rejected = False
        # Whether a late copy of the response would be taken for the next one.
        self.is_copyable = False
        self.finished = False
        self.keep_alive = False
        self.idle_timeout = 0.0

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        if self.is_rejected:
            # Buffered bytes are read though the connection is closed.
            return None
        if not _is_status(start_line.code):
            self._reject()
            return None
        if start_line.code < 200:
            return None
        self.idle_timeout = _read_idle_timeout(headers)
        self.keep_alive = is_framed(headers) and _is_kept_open(
            start_line.version, headers
        )
        self.is_mismatched = not self._handler.is_response_to_request(headers)
        if self.is_mismatched:
            return None
        if self._has_copies and not self._handler.is_identified(headers):
            self.is_copyable = self._handler.is_rejection(
                start_line.code, headers
            )
            self.keep_alive &= self.is_copyable
            if self._is_reused and not self.is_copyable:
                self._reject()
                return None
        return self._handler.receive_head(start_line.code, headers)

    def _reject(self) -> None:
        """End the exchange: no later bytes are the response either."""
        self.is_mismatched = True
        self.is_rejected = True
        self._stream.close()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.is_mismatched:
            return None
        return self._handler.receive_chunk(chunk)

    def finish(self) -> None:
        self.finished = True
        if self._stream.holds_request():
            # The server responded before it read the whole request. It would
            # read the rest of the body as the next request, or that request
            # would wait behind the rest until the server reads it.
            self.keep_alive = False
            self._stream.close()


class ClientConnection(HTTP1Connection):
    """Passes on responses without a length as they arrive."""

    stream: RequestStream

    def make_successor(self) -> ClientConnection:
        """Return a connection that reads another response."""
        connection = ClientConnection(self.stream, True, self.params)
        # Responses to HEAD have no body.
        connection._request_start_line = self._request_start_line
        connection.finish()
        return connection

    async def _read_body_until_close(
        self, delegate: HTTPMessageDelegate
    ) -> None:
        if isinstance(delegate, ResponseDelegate) and delegate.is_mismatched:
            raise InterruptedExchangeError(
                'a response to another request ends with the connection'
            )
        while True:
            try:
                chunk = await self.stream.read_bytes(
                    _READ_CHUNK_BYTES, partial=True
                )
            except StreamClosedError:
                break
            handling = delegate.data_received(chunk)
            if handling is not None:
                await handling
        if self.stream.error is not None:
            # After a reset the response may be incomplete.
            raise StreamClosedError(self.stream.error)
        if self.stream.is_request_cut:
            # A server that has not taken the request may break off as well
            # as end its response: nothing tells them apart.
            raise InterruptedExchangeError(
                'the connection ended before the request was sent'
            )


__all__ = ['ClientConnection', 'ResponseDelegate']
