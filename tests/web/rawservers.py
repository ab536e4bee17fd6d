"""Parts of servers that write raw bytes, for tests of the client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

    from tornado.httputil import HTTPHeaders

_CONNECTION_ENDS = (
    asyncio.IncompleteReadError,
    ConnectionError,
    # The test has ended.
    asyncio.CancelledError,
)


class ServedConnection:
    """A context manager that closes a connection, and ignores its end."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    async def __aenter__(self) -> None:
        pass

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        self._writer.close()
        return isinstance(error, _CONNECTION_ENDS)


class NoWriter:
    """Gets nothing, as no stream is relayed."""

    async def begin(
        self, status: int, headers: HTTPHeaders, data: bytes
    ) -> None:
        raise AssertionError

    async def write(self, data: bytes) -> None:
        raise AssertionError

    async def finish(self) -> None:
        raise AssertionError

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        raise AssertionError


async def read_request_id(reader: asyncio.StreamReader) -> str:
    """Return the ID of the next request, which has no body or a late one."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    return head.split('X-Request-Id: ')[1].split('\r\n')[0]


__all__ = ['NoWriter', 'read_request_id', 'ServedConnection']
