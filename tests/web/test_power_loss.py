"""Servers that lose power after they have begun to respond."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
import time

from lentilrun.config.ini import Address
from lentilrun.web.client import Client
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import Request
import pytest
from tornado.httputil import HTTPHeaders

_RECEIVE_BUFFER_BYTES = 4096
_TIMEOUT_S = 12.0
_MAX_NOTICE_S = 6.0
_SO_ATTACH_FILTER = 26
_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n'
)


def _discard_arrivals(connection: socket.socket) -> None:
    """Let the kernel ignore, and so not acknowledge, what arrives."""
    # One instruction of the classic packet filter: return 0 bytes.
    code = ctypes.create_string_buffer(struct.pack('HBBI', 6, 0, 0, 0))
    program = struct.pack('HP', 1, ctypes.addressof(code))
    connection.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


async def _lose_power(listener: socket.socket) -> socket.socket:
    """Begin to respond to a request, then fall silent for ever."""
    loop = asyncio.get_running_loop()
    connection, _ = await loop.sock_accept(listener)
    await loop.sock_recv(connection, _RECEIVE_BUFFER_BYTES)
    await loop.sock_sendall(connection, _HEAD)
    await asyncio.sleep(0.5)
    _discard_arrivals(connection)
    return connection


@pytest.mark.parametrize('body_bytes', [10, 300_000, 8_000_000])
def test_exchange_with_a_server_that_lost_power(body_bytes: int) -> None:
    """It lasted until its deadline if the body had not been read in full.

    Without a timeout, the kernel sends a full buffer's probes for minutes.
    """

    async def body() -> None:
        with (
            socket.create_server(('127.0.0.1', 0)) as listener,
            Client(responds_once=True) as client,
        ):
            listener.setblocking(False)
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
            serving = asyncio.ensure_future(_lose_power(listener))
            request = Request(
                'POST', '/', HTTPHeaders(), b'u' * body_bytes, _TIMEOUT_S
            )
            started_at = time.monotonic()
            with pytest.raises(InterruptedExchangeError):
                await client.fetch(Address(*listener.getsockname()), request)
            seconds = time.monotonic() - started_at
            (await serving).close()
            assert seconds < _MAX_NOTICE_S

    asyncio.run(body())
