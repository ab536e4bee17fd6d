"""A VM that leaves under load cuts no request that reached a target."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import NamedTuple

import deployments
from deployments import Deployment
from lentilrun.gateway.node import Node
import pytest

_CONNECTIONS = 300
# The time over which requests begin, around the start of the leaving.
_LOAD_S = 3.2
_PAUSE_S = 0.25
_WAIT_S = 12.0
_MAX_STATUS = 600


class _Outcome(NamedTuple):
    """A request by its ID, and the status of its whole response, or 0."""

    request_id: str
    status: int


def _make_request(deployment: Deployment, path: str) -> tuple[str, bytes]:
    body = b'x' * 2000 if path == '/once/x' else b''
    request = deployment.make_request(
        path, body, '', {'X-Deadline-Ms': '6000'}
    )
    head = request.decode('latin-1')
    return head.split('X-Request-Id: ')[1].split('\r\n')[0], request


async def _receive(reader: asyncio.StreamReader, name: str) -> _Outcome:
    try:
        response = await deployments.read_response(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return _Outcome(name, 0)
    assert response.headers['X-Request-Id'] == name
    return _Outcome(name, response.status if response.is_whole else 0)


async def _ask_on_kept_connection(
    deployment: Deployment, node: Node, paths: str
) -> list[_Outcome]:
    """Send requests one after the other until the VM closes."""
    outcomes = []
    loop = asyncio.get_running_loop()
    until = loop.time() + _LOAD_S
    reader, writer = await asyncio.open_connection(*node.settings.entry)
    with contextlib.suppress(ConnectionError):
        while loop.time() < until:
            name, request = _make_request(deployment, paths)
            writer.write(request)
            await writer.drain()
            outcomes.append(await _receive(reader, name))
            if not outcomes[-1].status:
                break
            await asyncio.sleep(_PAUSE_S)
    writer.close()
    return outcomes


async def _ask_pipelined(
    deployment: Deployment, node: Node, path: str
) -> list[_Outcome]:
    """Send three requests at once, again and again."""
    outcomes: list[_Outcome] = []
    loop = asyncio.get_running_loop()
    until = loop.time() + _LOAD_S
    reader, writer = await asyncio.open_connection(*node.settings.entry)
    with contextlib.suppress(ConnectionError):
        while loop.time() < until and not (outcomes and not outcomes[-1][1]):
            batch = [_make_request(deployment, path) for _ in range(3)]
            writer.write(b''.join(request for _, request in batch))
            await writer.drain()
            for name, _ in batch:
                outcomes.append(await _receive(reader, name))
            await asyncio.sleep(_PAUSE_S)
    writer.close()
    return outcomes


async def _ask_in_parts(
    deployment: Deployment, node: Node, path: str
) -> list[_Outcome]:
    """Send the parts of a request with pauses, over new connections."""
    outcomes = []
    loop = asyncio.get_running_loop()
    until = loop.time() + _LOAD_S
    while loop.time() < until:
        name, request = _make_request(deployment, path)
        try:
            opened = asyncio.open_connection(*node.settings.entry)
            reader, writer = await opened
        except ConnectionError:
            break
        with contextlib.suppress(ConnectionError):
            size = len(request) // 3 + 1
            for start in range(0, len(request), size):
                writer.write(request[start : start + size])
                await writer.drain()
                await asyncio.sleep(_PAUSE_S)
        outcomes.append(await _receive(reader, name))
        writer.close()
    return outcomes


async def _hold_connection(
    deployment: Deployment, node: Node, path: str
) -> list[_Outcome]:
    """Open a connection and send nothing, or half a head."""
    reader, writer = await asyncio.open_connection(*node.settings.entry)
    _, request = _make_request(deployment, path)
    writer.write(request[: 40 if path == '/once/x' else 0])
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()
    return []


_Caller = Callable[[Deployment, Node, str], Awaitable[list[_Outcome]]]
_CALLERS: dict[str, _Caller] = {
    'kept': _ask_on_kept_connection,
    'pipelined': _ask_pipelined,
    'in parts': _ask_in_parts,
    'silent': _hold_connection,
}


def _check(deployment: Deployment, outcomes: list[_Outcome]) -> None:
    runs = [r.request_id for s in deployment.replicas.values() for r in s.runs]
    ran = set(runs)
    for outcome in outcomes:
        if outcome.request_id in ran:
            assert outcome.status == 200
        assert outcome.status < _MAX_STATUS
    unsafe = [
        r.request_id
        for s in deployment.replicas.values()
        for r in s.runs
        if r.uri == '/once/x'
    ]
    assert len(unsafe) == len(set(unsafe))
    # Enough of them ran for the check to mean something.
    assert sum(o.status == 200 for o in outcomes) > _CONNECTIONS // 2


@pytest.mark.parametrize('delay', [0.0, 0.3])
def test_leaving_under_load(delay: float) -> None:
    """Each request that ran gets its whole response; all connections end."""

    async def body() -> None:
        async with Deployment() as deployment:
            for number in range(4):
                deployment.add_replica(f'a{number}', 'app')
            node = await deployment.start_node('vm1')
            await deployments.wait_until(lambda: len(node.targets.states) == 4)
            callers = list(_CALLERS.values())
            paths = ('/plain/x', '/once/x')
            tasks = [
                asyncio.ensure_future(
                    callers[n % 4](deployment, node, paths[n // 4 % 2])
                )
                for n in range(_CONNECTIONS)
            ]
            await asyncio.sleep(delay)
            async with asyncio.timeout(_WAIT_S):
                await node.leave()
                assert not node.caller_port.in_flight
                results = await asyncio.gather(*tasks)
            _check(deployment, [o for r in results for o in r])

    asyncio.run(body())
