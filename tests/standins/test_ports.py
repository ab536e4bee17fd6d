"""Ports that are reserved: nobody else gets them, servers can use them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import random
import socket
import subprocess
import sys

from lentilrun.standins import ports
from lentilrun.standins.ports import ReservedPorts
import pytest
from tornado.httpserver import HTTPServer
from tornado.web import Application
import zmq

_LOOPBACK = '127.0.0.1'
_BIND = f"""
import socket, sys
socket.socket().bind(('{_LOOPBACK}', int(sys.argv[1])))
"""


class _Repeating(random.Random):
    """Draws each port several times in succession."""

    def __init__(self, times: int) -> None:
        super().__init__(1)
        self._times = times
        self._drawn = itertools.count()
        self._port = 0

    def randrange(self, *bounds: int) -> int:
        if next(self._drawn) % self._times == 0:
            self._port = super().randrange(*bounds)
        return self._port


@pytest.mark.parametrize('owners', [1, 3])
def test_port_that_is_drawn_again(
    owners: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No two reservations have the same port, whoever owns them."""
    monkeypatch.setattr(ports, '_random', _Repeating(6))
    with contextlib.ExitStack() as stack:
        reserved = [
            stack.enter_context(ReservedPorts()) for _ in range(owners)
        ]
        picked = [r.reserve() for r in reserved * 4]
        assert len(set(picked)) == len(picked)


@pytest.mark.parametrize('kind', [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_port_that_others_use(
    kind: socket.SocketKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A port in use for streams or datagrams isn't reserved."""
    monkeypatch.setattr(ports, '_random', _Repeating(6))
    with ReservedPorts() as reserved:
        port = reserved.reserve()
    monkeypatch.setattr(ports, '_random', _Repeating(6))
    with socket.socket(socket.AF_INET, kind) as other:
        other.bind((_LOOPBACK, port))
        with ReservedPorts() as reserved:
            assert reserved.reserve() != port


def test_reservation_by_another_process() -> None:
    """It fails until the port is released."""
    with ReservedPorts() as reserved:
        port = reserved.reserve()
        command = [sys.executable, '-c', _BIND, str(port)]
        result = subprocess.run(command, capture_output=True, check=False)
        assert b'Address already in use' in result.stderr
    subprocess.run(command, check=True)


def _serve_http(port: int) -> Callable[[], None]:
    server = HTTPServer(Application([]))
    server.listen(port, _LOOPBACK)
    return server.stop


def _serve_zmq(port: int) -> Callable[[], None]:
    context = zmq.Context()
    endpoint = context.socket(zmq.ROUTER)
    endpoint.bind(f'tcp://{_LOOPBACK}:{port}')

    def stop() -> None:
        endpoint.close(linger=0)
        context.term()

    return stop


@pytest.mark.parametrize('serve', [_serve_http, _serve_zmq])
def test_server_at_a_reserved_port(
    serve: Callable[[int], Callable[[], None]],
) -> None:
    """It listens, stops after a connection and listens again."""

    async def body() -> None:
        with ReservedPorts() as reserved:
            address = reserved.reserve_address()
            for _ in range(2):
                stop = serve(address.port)
                with socket.create_connection(address, 1.0):
                    await asyncio.sleep(0)
                stop()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address, 1.0)

    asyncio.run(body())


def test_datagrams_at_a_reserved_port() -> None:
    """They arrive, beside a server of the same port."""

    async def body() -> None:
        with ReservedPorts() as reserved:
            address = reserved.reserve_address()
            stop = _serve_http(address.port)
            received: asyncio.Queue[bytes] = asyncio.Queue()

            class _Receiver(asyncio.DatagramProtocol):
                def datagram_received(
                    self, data: bytes, addr: tuple[str, int]
                ) -> None:
                    received.put_nowait(data)

            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                _Receiver, local_addr=address
            )
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(b'x', address)
            assert await asyncio.wait_for(received.get(), 2.0) == b'x'
            transport.close()
            stop()

    asyncio.run(body())
