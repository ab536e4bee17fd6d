"""Responses without an end use little memory and touch no others."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import tracemalloc

from lentilrun.config.ini import Address
from lentilrun.web.client import Client
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import Request
from lentilrun.web.memory import MemoryLimits
import pytest

_MIB = 1024 * 1024
_LIMITS = MemoryLimits(response=2 * _MIB, total=4 * _MIB)
# What buffers and copies may use beside what is collected.
_MARGIN_BYTES = 8 * _MIB
_REQUEST = Request('GET', '/', {}, b'', 3.0)
_DATA = b'x' * 65536


def _list_chunk() -> bytes:
    return b'%x\r\n%s\r\n' % (len(_DATA), _DATA)


_STARTS = {
    'no length': (b'HTTP/1.1 200 OK\r\n\r\n', _DATA),
    'chunked': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        _list_chunk(),
    ),
    'long': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n',
        _DATA,
    ),
    'head': (b'HTTP/1.1 200 OK\r\nX: ', _DATA),
    'informational': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2000),
    'chunk extension': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;',
        _DATA,
    ),
    'garbage': (b'', _DATA),
}


async def _serve_endlessly(
    kind: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    start, data = _STARTS[kind]
    with contextlib.suppress(ConnectionError):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(start)
        for _ in itertools.count():
            writer.write(data)
            await writer.drain()
    writer.close()


async def _serve_short(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    writer.close()


async def _start(handler: object) -> Address:
    server = await asyncio.start_server(
        handler,  # type: ignore[arg-type]
        '127.0.0.1',
        0,
    )
    return Address('127.0.0.1', server.sockets[0].getsockname()[1])


@pytest.mark.parametrize('count', [1, 6])
@pytest.mark.parametrize('kind', list(_STARTS))
def test_endless_response_is_given_up(kind: str, count: int) -> None:
    """A response without an end fails, long before its timeout."""

    async def body() -> None:
        address = await _start(
            lambda reader, writer: _serve_endlessly(kind, reader, writer)
        )
        sound = await _start(_serve_short)
        loop = asyncio.get_running_loop()
        with Client(memory_limits=_LIMITS) as client:
            started_at = loop.time()
            tracemalloc.start()
            results = await asyncio.gather(
                *(client.fetch(address, _REQUEST) for _ in range(count)),
                return_exceptions=True,
            )
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert all(
                isinstance(r, InterruptedExchangeError) for r in results
            )
            assert loop.time() - started_at < _REQUEST.timeout
            assert peak < _LIMITS.total + _MARGIN_BYTES
            assert (await client.fetch(sound, _REQUEST)).body == b'ok'

    asyncio.run(body())
