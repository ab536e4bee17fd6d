"""A leaving VM whose event loop stalls still answers what has arrived."""

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

_GRACE_S = 5.0
_HEAD_BYTES = 60
_CONNECTIONS = 10
# From the close of the port to the start of the stall.
_AFTER_CLOSE_S = 0.15
_ANSWER_TIMEOUT_S = 3.0
_BODY = b'x' * 100
_UNAVAILABLE = 503


class _Case(NamedTuple):
    """The end of the stall, in seconds after the VM begins to leave."""

    path: str
    until: float


_CASES = {
    'safe-receive-timeout': _Case('/plain/x', 3.8),
    'safe-end': _Case('/plain/x', 4.6),
    'unsafe-receive-timeout': _Case('/once/x', 3.8),
    'unsafe-end': _Case('/once/x', 4.6),
}


async def _read(caller: socket.socket) -> int | None:
    """Return the status of the response, nothing without one."""
    reader, writer = await asyncio.open_connection(sock=caller)
    try:
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            return (await deployments.read_response(reader)).status
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        writer.close()


def _stall(
    callers: list[socket.socket], rest: list[bytes], until: float
) -> None:
    """Hold the event loop; the rests of the requests arrive meanwhile."""
    for caller, data in zip(callers, rest, strict=True):
        caller.sendall(data)
    time.sleep(max(0.0, until - time.monotonic()))


def _end_process(node: Node) -> None:
    """Close the connections to callers, as the end of the process does."""
    for stream in list(node.caller_server._table):
        stream.close()


@pytest.mark.parametrize('name', _CASES)
def test_request_that_arrives_in_a_stall(name: str) -> None:
    """A request whose head was begun before the close is refused."""

    async def body() -> None:
        case = _CASES[name]
        data = _BODY if case.path == '/once/x' else b''
        bounds = deployments.BOUNDS._replace(shutdown_grace=_GRACE_S)
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1', bounds)
            await deployments.wait_until(lambda: len(node.targets.states) == 1)
            started_at = time.monotonic()
            leaving = asyncio.ensure_future(node.leave())
            await asyncio.sleep(NOTICE_S - _AFTER_CLOSE_S)
            callers = []
            rests = []
            for _ in range(_CONNECTIONS):
                request = deployment.make_request(case.path, data, '', {})
                caller = socket.create_connection(node.settings.entry)
                caller.sendall(request[:_HEAD_BYTES])
                callers.append(caller)
                rests.append(request[_HEAD_BYTES:])
            await asyncio.sleep(2.0 * _AFTER_CLOSE_S)
            _stall(callers, rests, started_at + case.until)
            await leaving
            assert time.monotonic() - started_at < _GRACE_S
            _end_process(node)
            statuses = await asyncio.gather(*(_read(c) for c in callers))
            assert statuses == [_UNAVAILABLE] * _CONNECTIONS
            assert not deployment.list_runs(case.path)

    asyncio.run(body())
