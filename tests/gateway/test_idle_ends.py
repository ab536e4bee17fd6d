"""A connection that idles for long is closed, unless a request arrived."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import NamedTuple

import deployments
from deployments import Deployment
from lentilrun.gateway import node as gateway_node
import pytest

_IDLE_TIMEOUT_S = 1.0
# The request arrives this long before the timeout; the event loop then stands
# still until well after it.
_BEFORE_S = 0.15
_STALL_S = 0.6
_MAX_LATENESS_S = 1.0
_CONNECTIONS = 10
_MAX_RESPONSE_BYTES = 65536
_OK = 200
_PLAIN = '/plain/x'


class _Case(NamedTuple):
    """What a connection has carried, and the share of a head sent at once."""

    is_kept: bool
    share: float = 0.0


_CASES = {
    'new': _Case(False),
    'kept': _Case(True),
    'new-half-head': _Case(False, 0.5),
    'kept-half-head': _Case(True, 0.5),
}


async def _connect(deployment: Deployment, case: _Case) -> socket.socket:
    caller = socket.create_connection(deployment.nodes['vm1'].settings.entry)
    if not case.is_kept:
        return caller
    caller.sendall(deployment.make_request('/plain/warm-up', b'', '', {}))
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    response = await loop.sock_recv(caller, _MAX_RESPONSE_BYTES)
    assert response.startswith(b'HTTP/1.1 200')
    caller.setblocking(True)
    return caller


async def _read(caller: socket.socket) -> int | None:
    """Return the status of the response, nothing without one."""
    reader, writer = await asyncio.open_connection(sock=caller)
    try:
        return (await deployments.read_response(reader)).status
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        writer.close()


async def _start(deployment: Deployment) -> None:
    deployment.add_replica('a1', 'app')
    node = await deployment.start_node('vm1')
    await deployments.wait_until(lambda: len(node.targets.states) == 1)


@pytest.fixture(autouse=True)
def _idle_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        gateway_node, '_CALLER_IDLE_TIMEOUT_S', _IDLE_TIMEOUT_S
    )


@pytest.mark.parametrize('name', _CASES)
def test_request_that_arrives_before_the_timeout(name: str) -> None:
    """It is answered though the timeout passes before it is handled."""

    async def body() -> None:
        case = _CASES[name]
        async with Deployment() as deployment:
            await _start(deployment)
            callers = [
                await _connect(deployment, case) for _ in range(_CONNECTIONS)
            ]
            request = deployment.make_request(_PLAIN, b'', '', {})
            size = int(len(request) * case.share)
            for caller in callers:
                caller.sendall(request[:size])
            await asyncio.sleep(_IDLE_TIMEOUT_S - _BEFORE_S)
            for caller in callers:
                caller.sendall(request[size:])
            time.sleep(_STALL_S)
            statuses = await asyncio.gather(*(_read(c) for c in callers))
            assert statuses == [_OK] * _CONNECTIONS

    asyncio.run(body())


@pytest.mark.parametrize('name', _CASES)
def test_idle_connection_is_closed(name: str) -> None:
    """It is closed after the timeout, whatever part of a head arrived."""

    async def body() -> None:
        case = _CASES[name]
        async with Deployment() as deployment:
            await _start(deployment)
            caller = await _connect(deployment, case)
            request = deployment.make_request(_PLAIN, b'', '', {})
            caller.sendall(request[: int(len(request) * case.share)])
            started_at = time.monotonic()
            assert await _read(caller) is None
            lateness = time.monotonic() - started_at - _IDLE_TIMEOUT_S
            assert -_BEFORE_S < lateness < _MAX_LATENESS_S

    asyncio.run(body())
