"""Responses that the client receives, and what handles them."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from .body import BodyBuffer

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from .memory import MemoryBudget


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: HTTPHeaders
    body: bytes


class ResponseHandler:
    """Handles a response as it arrives; collects it unless overridden."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.is_stopped = False
        # Whether the request was sent over a connection that was open before.
        self.is_on_kept_connection = False
        self._body = BodyBuffer()
        self._collected_bytes = 0
        self._close: Callable[[], None] | None = None
        self._memory: MemoryBudget | None = None

    def stop(self) -> None:
        """End the exchange; a request that was not sent yet is not sent."""
        self.is_stopped = True
        if self._close is not None:
            self._close()

    def start(self, close: Callable[[], None], memory: MemoryBudget) -> None:
        """Record how to close the connection that is used from now on.

        What is collected counts in ``memory`` until ``end``.
        """
        self._close = close
        self._memory = memory

    def end(self) -> None:
        """Record that the exchange has ended."""
        if self._memory is not None:
            self._memory.release(self._collected_bytes)
        self._memory = None
        self._collected_bytes = 0

    def is_response_to_request(self, headers: HTTPHeaders) -> bool:
        """Return whether a response belongs to the request.

        The client skips a response that doesn't, and reads the next one.
        """
        return True

    def is_identified(self, headers: HTTPHeaders) -> bool:
        """Return whether a response states which request it is for.

        Any other response, unless it is a rejection, is believed only as the
        first on its connection, which isn't used again: servers may send a
        response twice. A client whose servers don't never asks.
        """
        return False

    def is_rejection(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether a response states that the request was not run.

        Without the request that it is for, it is believed, but may be a copy.
        """
        return False

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Handle the status and headers."""
        self.status = status
        self.headers = headers
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a chunk of the body.

        A response that exceeds the memory limits ends the exchange.
        """
        if self.hold(self._collected_bytes + len(chunk)):
            self._body.append(chunk)
        return None

    def hold(self, size: int) -> bool:
        """Count ``size`` bytes as held in memory; return whether they fit.

        If they don't, what was collected is dropped and the exchange ends.
        """
        memory = self._memory
        added = size - self._collected_bytes
        if memory is not None and not memory.take(
            self._collected_bytes, added
        ):
            self._body.take()
            self.stop()
            return False
        self._collected_bytes = size
        return True

    def response(self) -> Response:
        """Return the response that was collected."""
        body = bytes(self._body.take())
        self._body.append(body)
        return Response(self.status, self.headers, body)

    def take_body(self) -> bytes | bytearray:
        """Remove and return the body that was collected."""
        return self._body.take()


def is_framed(headers: HTTPHeaders) -> bool:
    """Return whether a response has a length or comes in chunks.

    Any other one ends with its connection.
    """
    encoding = headers.get('Transfer-Encoding', '').lower()
    return 'Content-Length' in headers or encoding == 'chunked'


__all__ = ['is_framed', 'Response', 'ResponseHandler']
