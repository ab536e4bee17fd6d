"""Requests whose bytes arrive split at any place, or end there."""

from __future__ import annotations

import asyncio
import itertools
import socket
import types

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.coordination.clock import ManualClock
from lentilrun.decisions.connections import ConnectionTable
from lentilrun.decisions.memory import MemoryPlan
from lentilrun.gateway.call import Call
from lentilrun.gateway.call import IncomingRequest
from lentilrun.gateway.call import Reason
from lentilrun.gateway.call import Refusal
from lentilrun.gateway.limitedlog import LimitedLog
from lentilrun.gateway.logs import Log
from lentilrun.gateway.server import CallerPort
from lentilrun.gateway.server import CallHandler
from lentilrun.gateway.server import PortLimits
from lentilrun.web.body import read_body
from lentilrun.web.memory import ProcessMemory
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.http1connection import HTTP1ServerConnection
from tornado.iostream import IOStream

_LIMIT = 200
_BUDGET = 100_000
_TIMEOUT_S = 5.0
# The response to a request that was received whole.
_RECEIVED = 404


class _Handler(CallHandler):
    """Records bodies, and refuses their requests."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    def limit_body(self) -> int:
        """Return the largest body that is admitted, in bytes."""
        return _LIMIT

    def admit(self, incoming: IncomingRequest) -> Call:
        """Record a request."""
        self.bodies.append(bytes(read_body(incoming.body)))
        raise Refusal(_RECEIVED, Reason.UNKNOWN_ROUTE)


class _Port:
    """A port with one connection, of which a test holds the other end."""

    def __init__(self, log_file: int) -> None:
        clock = ManualClock()
        log = Log(clock, 'vm1', log_file)
        self.handler = _Handler()
        self.memory = ProcessMemory(MemoryPlan(_BUDGET))
        limits = PortLimits(
            self.memory, ConnectionTable(4), LimitedLog(log, clock)
        )
        self.port = CallerPort(self.handler, clock, log, limits)
        self.client, server = socket.socketpair()
        self.client.setblocking(False)
        self._connection = HTTP1ServerConnection(
            IOStream(server),
            HTTP1ConnectionParameters(),
            types.SimpleNamespace(remote_ip='127.0.0.1'),
        )
        self._connection.start_serving(self.port)

    async def send(self, parts: list[bytes]) -> None:
        """Send parts, each of which is read before the next one."""
        loop = asyncio.get_running_loop()
        for part in parts:
            await loop.sock_sendall(self.client, part)
            for _ in range(3):
                await asyncio.sleep(0)

    async def read(self) -> bytes:
        """Return what is sent until the connection is closed."""
        received = b''
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_TIMEOUT_S):
            while data := await loop.sock_recv(self.client, 65_536):
                received += data
        return received

    async def close(self) -> None:
        """Close both ends."""
        self.client.close()
        await self._connection.close()


@st.composite
def _draw_request(draw: st.DrawFn) -> tuple[bytes, bytes]:
    """Draw a request, with a length or in chunks, and its body."""
    body = draw(st.binary(max_size=_LIMIT + 40))
    head = b'POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
    if draw(st.booleans()):
        return head + b'Content-Length: %d\r\n\r\n%b' % (len(body), body), body
    size = draw(st.integers(1, _LIMIT))
    chunks = [body[n : n + size] for n in range(0, len(body), size)]
    framed = b''.join(b'%x\r\n%b\r\n' % (len(c), c) for c in chunks)
    return (
        head + b'Transfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n' % framed,
        body,
    )


def _split(data: bytes, cuts: list[int]) -> list[bytes]:
    places = [0, *sorted(c % len(data) for c in cuts), len(data)]
    pairs = itertools.pairwise(places)
    return [data[a:b] for a, b in pairs if a < b]


_CUTS = st.lists(st.integers(0, 2000), max_size=8)


@settings(deadline=None, max_examples=200)
@given(_draw_request(), _CUTS)
def test_split_requests(request: tuple[bytes, bytes], cuts: list[int]) -> None:
    """A body is received whole or refused with 413, however it is split."""
    data, body = request

    async def check() -> None:
        with open('/dev/null', 'wb') as log:
            port = _Port(log.fileno())
            await port.send(_split(data, cuts))
            response = await port.read()
            await port.close()
        if len(body) > _LIMIT:
            assert response.startswith(b'HTTP/1.1 413 ')
            assert not port.handler.bodies
        else:
            assert response.startswith(b'HTTP/1.1 404 ')
            assert port.handler.bodies == [body]
        assert response.count(b'HTTP/1.1 ') == 1
        assert port.memory.used == 0
        assert not port.port.receivers
        assert not port.port.refused

    asyncio.run(check())


@settings(deadline=None, max_examples=100)
@given(_draw_request(), _CUTS, st.integers(0, 2000))
def test_requests_that_end(
    request: tuple[bytes, bytes], cuts: list[int], end: int
) -> None:
    """Nothing is held for a caller that closes in the middle of a body."""
    data, body = request
    data = data[: end % len(data)]

    async def check() -> None:
        with open('/dev/null', 'wb') as log:
            port = _Port(log.fileno())
            if data:
                await port.send(_split(data, cuts))
            await port.close()
        assert port.handler.bodies in ([], [body])
        assert port.memory.used == 0
        assert not port.port.receivers
        assert not port.port.refused

    asyncio.run(check())
