"""HTTP/1.1 messages on asyncio streams, as small stand-ins need them."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

_MAX_LINES = 200


class Request(NamedTuple):
    """A request as a server received it; header names in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response as a client received it; header names in lower case.

    ``status`` is 0 if the connection ended without a whole response.
    """

    status: int
    headers: dict[str, str]
    body: bytes


NO_RESPONSE = Response(0, {}, b'')


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    for _ in range(_MAX_LINES):
        line = (await reader.readuntil(b'\n')).decode('latin1').strip()
        if not line:
            return headers
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    raise ValueError('too many headers')


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b'\n')).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(data[:-2])


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if 'chunked' in headers.get('transfer-encoding', ''):
        return await _read_chunks(reader)
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request; raises ``IncompleteReadError`` at the end."""
    line = (await reader.readuntil(b'\n')).decode('latin1').split()
    headers = await _read_headers(reader)
    return Request(line[0], line[1], headers, await _read_body(reader, headers))


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a response; raises ``IncompleteReadError`` if it is cut off."""
    line = (await reader.readuntil(b'\n')).decode('latin1').split()
    headers = await _read_headers(reader)
    return Response(int(line[1]), headers, await _read_body(reader, headers))


def format_message(
    first_line: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return a message with the length of its body."""
    lines = [first_line, *(f'{n}: {v}' for n, v in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin1') + body


async def send(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Response:
    """Send a request over a connection of its own; wait ``timeout_s``."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(
                format_message(f'{method} {path} HTTP/1.1', headers, body)
            )
            return await read_response(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return NO_RESPONSE
    finally:
        if writer is not None:
            writer.close()
