"""A leaving VM answers requests that arrived before its port closes."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import NamedTuple

import deployments
from deployments import Deployment
from lentilrun.gateway.node import Node
from lentilrun.gateway.shutdown import NOTICE_S
import pytest

_MAX_RESPONSE_BYTES = 65536
# From the requests' last bytes to the end of the stall, in which the port is
# to be closed.
_BEFORE_CLOSE_S = 0.05
_ANSWER_TIMEOUT_S = 5.0
_PLAIN = '/plain/x'
_ONCE = '/once/x'
_BODY = b'x' * 2000
_WARM_UP = '/plain/warm-up'
_OK = 200
_UNAVAILABLE = 503


class _Case(NamedTuple):
    """How callers send; ``parts`` are the sent shares of a request.

    The last part is sent right before the port closes, the others before
    the event loop stands still for ``stall`` seconds.
    """

    path: str
    is_kept: bool
    parts: tuple[float, ...] = (1.0,)
    stall: float = 0.3
    connections: int = 20


_CASES = {
    'kept': _Case(_PLAIN, True),
    'kept-short-stall': _Case(_PLAIN, True, stall=0.06),
    'kept-long-stall': _Case(_PLAIN, True, stall=1.2),
    'kept-body': _Case(_ONCE, True),
    'kept-head-in-parts': _Case(_PLAIN, True, (0.3, 0.7)),
    'kept-body-in-parts': _Case(_ONCE, True, (0.5, 0.5)),
    'new': _Case(_PLAIN, False),
    'new-body': _Case(_ONCE, False),
    'new-many': _Case(_PLAIN, False, connections=300),
}


class _Caller:
    """A caller whose socket works while the event loop stands still."""

    def __init__(self, deployment: Deployment, node: Node, case: _Case):
        self._entry = node.settings.entry
        self._case = case
        body = _BODY if case.path == _ONCE else b''
        self._request = deployment.make_request(case.path, body, '', {})
        self._warm_up = deployment.make_request(_WARM_UP, b'', '', {})
        self._sent = 0
        self._socket = socket.socket()

    async def connect(self) -> None:
        """Connect, and use the connection if it is a kept one."""
        if not self._case.is_kept:
            return
        self._socket.connect(self._entry)
        self._socket.sendall(self._warm_up)
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        response = await loop.sock_recv(self._socket, _MAX_RESPONSE_BYTES)
        assert response.startswith(b'HTTP/1.1 200')
        self._socket.setblocking(True)

    def send_part(self, share: float) -> None:
        """Send the next part of the request without the event loop."""
        if not self._case.is_kept and not self._sent:
            self._socket.connect(self._entry)
        end = len(self._request)
        if share < 1.0 and not self._sent:
            end = int(end * share)
        self._socket.sendall(self._request[self._sent : end])
        self._sent = end

    async def read_response(self) -> deployments.CallerResponse:
        """Read the response; raises ``IncompleteReadError`` without one."""
        reader, writer = await asyncio.open_connection(sock=self._socket)
        try:
            return await deployments.read_response(reader)
        finally:
            writer.close()


def _stall(callers: list[_Caller], case: _Case) -> None:
    """Hold the event loop; the requests arrive meanwhile."""
    started_at = time.monotonic()
    for caller in callers:
        caller.send_part(case.parts[-1])
    time.sleep(max(0.0, started_at + case.stall - time.monotonic()))


async def _ask_while_closing(
    deployment: Deployment, case: _Case
) -> list[deployments.CallerResponse]:
    """Send requests as the port of a VM closes; return the responses."""
    deployment.add_replica('a1', 'app')
    node = await deployment.start_node('vm1')
    await deployments.wait_until(lambda: len(node.targets.states) == 1)
    callers = [
        _Caller(deployment, node, case) for _ in range(case.connections)
    ]
    for caller in callers:
        await caller.connect()
    leaving = asyncio.ensure_future(node.leave())
    loop = asyncio.get_running_loop()
    closes_at = loop.time() + NOTICE_S
    if len(case.parts) > 1:
        await asyncio.sleep(NOTICE_S - case.stall - 0.3)
        for caller in callers:
            caller.send_part(case.parts[0])
    stall_at = closes_at + _BEFORE_CLOSE_S - case.stall
    loop.call_at(stall_at, _stall, callers, case)
    await asyncio.sleep(stall_at - loop.time())
    reads = [c.read_response() for c in callers]
    async with asyncio.timeout(_ANSWER_TIMEOUT_S):
        results = await asyncio.gather(*reads, return_exceptions=True)
    await leaving
    assert not [r for r in results if isinstance(r, BaseException)]
    return [r for r in results if not isinstance(r, BaseException)]


@pytest.mark.parametrize('name', _CASES)
def test_request_on_a_closing_port_is_answered(name: str) -> None:
    """A request that arrived is answered though the event loop stalled."""

    async def body() -> None:
        async with Deployment() as deployment:
            case = _CASES[name]
            responses = await _ask_while_closing(deployment, case)
            assert all(r.is_whole for r in responses)
            assert {r.status for r in responses} <= {_OK, _UNAVAILABLE}
            refused = [r for r in responses if r.status == _UNAVAILABLE]
            assert all(r.headers['Connection'] == 'close' for r in responses)
            assert all('Retry-After' in r.headers for r in refused)
            served = [r for r in responses if r.status != _UNAVAILABLE]
            assert len(deployment.list_runs(case.path)) == len(served)

    asyncio.run(body())
