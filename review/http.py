"""A small HTTP/1.1 server and client on asyncio, without other packages."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import NamedTuple

LOOPBACK = '127.0.0.1'
_LIMIT_BYTES = 1 << 20


class Request(NamedTuple):
    """A request as received; header names are in lower case."""

    method: str
    uri: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response with a length."""

    status: int
    headers: dict[str, str]
    body: bytes = b''


Handler = Callable[[Request], Awaitable[Response]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers of a message."""
    data = await reader.readuntil(b'\r\n\r\n')
    start, *lines = data.decode('latin1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def encode(start: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a message as bytes."""
    lines = [start, *(f'{n}: {v}' for n, v in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode('latin1') + body


class Server:
    """Serves a handler on a free loopback port.

    A handler is cancelled if its client closes the connection.
    """

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self._handler = handler
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, at the same port each time."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=_LIMIT_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the port and all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        start, headers = await read_head(reader)
        method, uri, _ = start.split(' ')
        body = await read_body(reader, headers)
        handling = asyncio.ensure_future(
            self._handler(Request(method, uri, headers, body))
        )
        closing = asyncio.ensure_future(reader.read(1))
        await asyncio.wait(
            (handling, closing), return_when=asyncio.FIRST_COMPLETED
        )
        if not handling.done():
            handling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await handling
            return False
        closing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            if await closing:
                return False
        status, response_headers, response_body = handling.result()
        writer.write(
            encode(
                f'HTTP/1.1 {status} Status',
                {**response_headers, 'Content-Length': str(len(response_body))},
                response_body,
            )
        )
        await writer.drain()
        return not reader.at_eof()


class Outcome(NamedTuple):
    """How a client's request ended; ``status`` is 0 without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """A client's connection, which it keeps for one request after another."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: Any = None
        self._writer: Any = None
        # The requests that were answered on the open connection.
        self.answered = 0

    async def fetch(
        self,
        method: str,
        uri: str,
        headers: dict[str, str],
        body: bytes,
        patience: float,
    ) -> Outcome:
        """Send a request; wait for the answer for ``patience`` s at most."""
        try:
            async with asyncio.timeout(patience):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        LOOPBACK, self._port, limit=_LIMIT_BYTES
                    )
                sent = {**headers, 'Content-Length': str(len(body))}
                start = f'{method} {uri} HTTP/1.1'
                self._writer.write(encode(start, sent, body))
                answer, received = await read_head(self._reader)
                data = await read_body(self._reader, received)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return Outcome(0, {}, b'')
        self.answered += 1
        if received.get('connection', '').lower() == 'close':
            self.close()
        return Outcome(int(answer.split(' ')[1]), received, data)

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self.answered = 0


async def fetch(
    port: int,
    method: str,
    uri: str,
    headers: dict[str, str],
    body: bytes = b'',
    patience: float = 10.0,
) -> Outcome:
    """Send a request on a new connection; close it after ``patience`` s."""
    connection = Connection(port)
    try:
        return await connection.fetch(method, uri, headers, body, patience)
    finally:
        connection.close()
