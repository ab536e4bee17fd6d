"""A client that speaks HTTP/1.1 over one connection a request."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import NamedTuple

from lentilrun.standins.configuration import HOST
from lentilrun.standins.configuration import KEY

LOOPBACK = '127.0.0.1'
_numbers = itertools.count(1)


class Outcome(NamedTuple):
    """How a request ended; ``status`` is 0 if no final answer came.

    ``seconds`` is how long it took, ``complete`` whether the body is whole.
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    seconds: float
    complete: bool


def make_id(prefix: str) -> str:
    """Return a request's ID that no other one has."""
    return f'{prefix}{next(_numbers):06d}'


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str]]:
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.lower()] = value.strip()
    return int(lines[0].split()[1]), headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get('transfer-encoding') == 'chunked':
        body = bytearray()
        while True:
            size = int(await reader.readline(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return bytes(body)
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def request(
    port: int,
    path: str,
    prefix: str,
    patience: float,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    method: str = 'GET',
) -> Outcome:
    """Send a request; give up and close after ``patience`` seconds."""
    request_id = make_id(prefix)
    sent_at = time.monotonic()
    all_headers = {
        'Host': HOST,
        'Api-Key': KEY,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
        'Content-Length': '0',
        **(headers or {}),
    }
    text = f'{method} {path} HTTP/1.1\r\n' + ''.join(
        f'{n}: {v}\r\n' for n, v in all_headers.items()
    )
    status, got, body, complete = 0, {}, b'', False
    writer = None
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(text.encode() + b'\r\n')
            status, got = await _read_head(reader)
            body = await _read_body(reader, got)
            complete = True
    except (
        OSError,
        TimeoutError,
        ValueError,
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
    ):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    seconds = time.monotonic() - sent_at
    return Outcome(request_id, status, got, body, seconds, complete)
