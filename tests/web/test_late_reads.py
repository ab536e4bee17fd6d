"""Servers that respond before they read a body, and read it later."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import re
import socket

from lentilrun.config.ini import Address
from lentilrun.web.client import Client
from lentilrun.web.client import Request
import pytest
from tornado.httputil import HTTPHeaders

# Few bytes of a body that isn't read fit into the server's kernel.
_RECEIVE_BUFFER_BYTES = 4096
_LENGTH = re.compile(rb'(?i)\r\ncontent-length: (\d+)')
# Longer than the client waits for an acknowledgement of sent bytes.
_UNREAD_S = 2.5
_TIMEOUT_S = 6.0


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond to each request, then read its body later."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
            length = _LENGTH.search(head)
            if length is not None and int(length[1]):
                await asyncio.sleep(_UNREAD_S)
                await reader.readexactly(int(length[1]))
    writer.close()


@contextlib.asynccontextmanager
async def _run_server() -> AsyncIterator[Address]:
    listener = socket.socket()
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    listener.bind(('127.0.0.1', 0))
    server = await asyncio.start_server(
        _serve, sock=listener, limit=_RECEIVE_BUFFER_BYTES
    )
    async with server:
        yield Address(*listener.getsockname())


@pytest.mark.parametrize('body_bytes', [100, 60_000, 300_000, 1_000_000])
@pytest.mark.parametrize('pause', [0.0, 0.5, 1.5])
def test_request_after_a_body_that_is_read_late(
    body_bytes: int, pause: float
) -> None:
    """The next request had its connection closed while it was sent.

    The rest of the previous body, in the client's kernel, was ahead of it,
    and the server acknowledged nothing for longer than the timeout.
    """

    async def body() -> None:
        async with _run_server() as address:
            with Client(responds_once=True) as client:
                for data in (b'u' * body_bytes, b''):
                    request = Request(
                        'POST', '/', HTTPHeaders(), data, _TIMEOUT_S
                    )
                    response = await client.fetch(address, request)
                    assert (response.status, response.body) == (200, b'ok')
                    await asyncio.sleep(pause)

    asyncio.run(body())


async def _close_after_body(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond without a length, so that the connection's end ends it."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 200 OK\r\n\r\nok')
    writer.close()


def test_response_that_ends_with_its_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A closed connection was asked what its server had not read."""

    async def body() -> None:
        server = await asyncio.start_server(_close_after_body, '127.0.0.1', 0)
        async with server:
            with Client(responds_once=True) as client:
                address = Address(*server.sockets[0].getsockname())
                request = Request('GET', '/', HTTPHeaders(), b'', _TIMEOUT_S)
                response = await client.fetch(address, request)
                assert response.status == 200
        assert 'Uncaught exception' not in caplog.text

    asyncio.run(body())
