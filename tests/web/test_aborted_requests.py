"""A request that was given up does not reach its server later."""

from __future__ import annotations

import asyncio
import socket

from lentilrun.config.ini import Address
from lentilrun.web.client import Client
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import Request
from lentilrun.web.client import ResponseHandler
import pytest

_BODY_BYTES = 300_000
_RECEIVE_BUFFER_BYTES = 4096
_READ_BYTES = 65536
_TIMEOUT_S = 0.2


def _listen() -> socket.socket:
    """Return a listening socket whose connections take few bytes unread."""
    server = socket.socket()
    server.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    server.bind(('127.0.0.1', 0))
    server.listen()
    server.setblocking(False)
    return server


async def _read_to_the_end(connection: socket.socket) -> int:
    """Return the number of bytes read; raises ``ConnectionResetError``."""
    loop = asyncio.get_running_loop()
    total = 0
    while True:
        data = await loop.sock_recv(connection, _READ_BYTES)
        if not data:
            return total
        total += len(data)


class _StoppedHandler(ResponseHandler):
    """Stops its exchange after a time."""

    def start(self, *arguments: object) -> None:
        """Stop soon after the request was written."""
        super().start(*arguments)  # type: ignore[arg-type]
        asyncio.get_running_loop().call_later(_TIMEOUT_S / 2, self.stop)


@pytest.mark.parametrize('handler_class', [ResponseHandler, _StoppedHandler])
def test_unread_request_is_discarded(
    handler_class: type[ResponseHandler],
) -> None:
    """The rest of a request that a server has not read is not delivered."""

    async def body() -> None:
        with _listen() as server:
            address = Address(*server.getsockname())
            request = Request('POST', '/', {}, b'x' * _BODY_BYTES, _TIMEOUT_S)
            with Client() as client:
                with pytest.raises(InterruptedExchangeError):
                    await client.exchange(address, request, handler_class())
            loop = asyncio.get_running_loop()
            connection, _ = await loop.sock_accept(server)
            with connection:
                connection.setblocking(False)
                with pytest.raises(ConnectionResetError):
                    await _read_to_the_end(connection)

    asyncio.run(body())
