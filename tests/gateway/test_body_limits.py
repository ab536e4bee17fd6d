"""Requests that are refused or ended before their body has arrived."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import gc

import deployments
from deployments import CallerResponse
from deployments import Deployment
from lentilrun.decisions.memory import MemoryPlan
from lentilrun.gateway.call import IncomingRequest
from lentilrun.gateway.node import Node
from lentilrun.standins.configuration import HOST
from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import make_configuration
import pytest

_LIMIT = 1 << 20
_LONGEST = 4_194_304
_Check = Callable[[Deployment, Node], Awaitable[None]]


def _run(check: _Check, limit: int = _LIMIT) -> None:
    async def body() -> None:
        async with Deployment() as deployment:
            configuration = make_configuration(
                2, limits={'max-body-bytes': limit}
            )
            deployment.configure(configuration)
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            await check(deployment, node)
            await deployments.wait_until(
                lambda: not node.caller_port.in_flight
            )
            assert node.memory.used == 0
            assert not node.caller_port.receivers

    asyncio.run(body())


def _make_head(*fields: str) -> bytes:
    lines = [
        'POST /once/x HTTP/1.1',
        f'Host: {HOST}',
        'X-Request-Id: r1',
        'X-Deadline-Ms: 2500',
        f'Api-Key: {KEY}',
        *fields,
        '\r\n',
    ]
    return '\r\n'.join(lines).encode()


async def _ask(node: Node, data: bytes) -> tuple[CallerResponse, bytes]:
    """Send bytes; return the response and what follows until the close."""
    reader, writer = await asyncio.open_connection(*node.settings.entry)
    with contextlib.closing(writer):
        writer.write(data)
        async with asyncio.timeout(8.0):
            response = await deployments.read_response(reader)
            return response, await reader.read()


@pytest.mark.parametrize(
    ('head', 'body'),
    [
        (_make_head(f'Content-Length: {_LIMIT + 1}'), b''),
        (_make_head(f'Content-Length: {_LIMIT + 1}'), b'x' * _LIMIT),
        (_make_head(f'Content-Length: {_LIMIT + 1}'), b'x' * (_LIMIT + 1)),
        (
            _make_head('Content-Length: 2000000', 'Expect: 100-continue'),
            b'',
        ),
        (
            _make_head('Transfer-Encoding: chunked'),
            b'10000\r\n%b\r\n' % (b'x' * 65_536) * 17,
        ),
        (
            _make_head('Transfer-Encoding: chunked'),
            b'1000000\r\n' + b'x' * (_LIMIT + 100_000),
        ),
    ],
)
def test_long_bodies(head: bytes, body: bytes) -> None:
    """A body over the limit gets one response, 413, which is final."""

    async def check(deployment: Deployment, node: Node) -> None:
        response, rest = await _ask(node, head + body)
        assert response.status == 413
        assert response.headers['Connection'] == 'close'
        assert response.headers['X-Request-Id'] == 'r1'
        assert b'body_too_large' in response.body
        assert rest == b''
        assert not deployment.replicas['a1'].runs
        assert (await deployment.ask(node, '/once/x', b'x')).status == 200

    _run(check)


@pytest.mark.parametrize(
    'fields',
    [
        ('Content-Length: 9' + '0' * 30,),
        ('Content-Length: 9' + '0' * 5000,),
        ('Content-Length: -1',),
        ('Content-Length: x',),
        ('Content-Length: 1, 2',),
        ('Content-Length: 1', 'Transfer-Encoding: chunked'),
        ('Transfer-Encoding: gzip',),
    ],
)
def test_invalid_lengths(fields: tuple[str, ...]) -> None:
    """A length that is no length gets one response, and nothing is held."""

    async def check(deployment: Deployment, node: Node) -> None:
        reader, writer = await asyncio.open_connection(*node.settings.entry)
        with contextlib.closing(writer):
            writer.write(_make_head(*fields))
            async with asyncio.timeout(8.0):
                response = await reader.read()
        assert response.startswith(b'HTTP/1.1 400 ')
        assert response.count(b'HTTP/1.1 ') == 1

    _run(check)


def test_no_memory() -> None:
    """Bodies without room are refused before they are read."""

    async def check(deployment: Deployment, node: Node) -> None:
        node.memory.plan = MemoryPlan(3_000_000)
        head = _make_head('Content-Length: 800000')
        closing_head = _make_head(
            'Content-Length: 800000', 'Connection: close'
        )
        reader, writer = await asyncio.open_connection(*node.settings.entry)
        writer.write(head)
        await deployments.wait_until(lambda: node.memory.used)
        response, rest = await _ask(node, head)
        assert response.status == 503
        assert float(response.headers['Retry-After']) > 0.0
        assert response.headers['Connection'] == 'close'
        assert rest == b''
        # A small body still has room, also of the same caller.
        assert (await deployment.ask(node, '/once/x', b'x')).status == 200
        # The first one stalls, and is ended for another.
        await asyncio.sleep(1.1)
        response, _ = await _ask(node, closing_head + b'x' * 800_000)
        assert response.status == 200
        ended = await deployments.read_response(reader)
        assert ended.status == 503
        assert 'Retry-After' in ended.headers
        assert await reader.read() == b''
        writer.close()
        assert len(deployment.replicas['a1'].runs) == 2

    _run(check)


def test_body_timeout() -> None:
    """A body without progress gets 408 at last, and has not run."""

    async def check(deployment: Deployment, node: Node) -> None:
        reader, writer = await asyncio.open_connection(*node.settings.entry)
        writer.write(_make_head('Content-Length: 8') + b'xxx')
        await deployments.wait_until(lambda: node.caller_port.receivers)
        hold = next(iter(node.memory.list_silent(float('inf'))))
        hold.progressed_at -= 100.0
        response = await deployments.read_response(reader)
        assert response.status == 408
        assert await reader.read() == b''
        writer.close()
        assert not deployment.replicas['a1'].runs

    _run(check)


def test_longest_body_alone() -> None:
    """A body as long as the limit is served by the smallest machine."""

    async def check(deployment: Deployment, node: Node) -> None:
        body = bytes(range(256)) * (_LONGEST // 256)
        assert node.settings.memory_bytes == 128_000_000
        for _ in range(3):
            response = await deployment.ask(node, '/once/x', body)
            assert response.status == 200
        executed = deployment.replicas['a1'].runs
        assert [r.body for r in executed] == [body] * 3

    _run(check, _LONGEST)


def test_bodies_live_no_longer_than_their_calls() -> None:
    """Reference cycles keep no body until the garbage collector runs."""

    async def check(deployment: Deployment, node: Node) -> None:
        gc.collect()
        gc.disable()
        try:
            for status in (200, 503, 500):
                deployment.replicas['a1'].plan.status = status
                await deployment.ask(node, '/once/x', b'x' * 50_000)
            await deployments.wait_until(
                lambda: not node.caller_port.in_flight
            )
            kept = [
                o
                for o in gc.get_objects()
                if isinstance(o, IncomingRequest) and len(o.body)
            ]
            assert not kept
        finally:
            gc.enable()

    _run(check)


def test_closed_connections_are_forgotten() -> None:
    """A port keeps nothing of connections that were closed."""

    async def check(deployment: Deployment, node: Node) -> None:
        for _ in range(5):
            assert (await deployment.ask(node, '/once/x', b'x')).status == 200
        await deployments.wait_until(
            lambda: not node.caller_server.count_connections()
        )
        assert not node.caller_port._idle

    _run(check)


def test_connections_beyond_the_limit() -> None:
    """Idle connections make room; busy ones are kept."""

    async def check(deployment: Deployment, node: Node) -> None:
        limit = node.caller_server._table.limit = 8
        request = deployment.make_request('/once/x', b'x', '', {})
        deployment.replicas['a1'].plan.response_delay_s = 1.0
        busy = await asyncio.open_connection(*node.settings.entry)
        busy[1].write(request)
        idle = [
            await asyncio.open_connection(*node.settings.entry)
            for _ in range(3 * limit)
        ]
        idle[0][1].write(_make_head('Content-Length: 8'))
        await asyncio.sleep(0.1)
        assert node.caller_server.is_paused
        assert node.caller_server.count_connections() <= limit
        response = await deployments.read_response(busy[0])
        assert response.status == 200
        deployment.replicas['a1'].plan.response_delay_s = 0.0
        assert (await deployment.ask(node, '/once/x', b'x')).status == 200
        assert node.caller_server.closed_connections > 0
        for _, writer in (busy, *idle):
            writer.close()
        await deployments.wait_until(
            lambda: not node.caller_server.count_connections()
        )

    _run(check)


def test_long_heads() -> None:
    """Unfinished heads are closed once the memory is used up."""

    async def check(deployment: Deployment, node: Node) -> None:
        head = _make_head('X-Rest: ' + 'x' * 40_000)[:-4]
        node.memory.plan = MemoryPlan(600_000)
        connections = [
            await asyncio.open_connection(*node.settings.entry)
            for _ in range(30)
        ]
        for _, writer in connections:
            writer.write(head)
        await deployments.wait_until(lambda: node.memory.closed_heads)
        await asyncio.sleep(0.1)
        assert not node.memory.is_exhausted()
        assert node.caller_server.count_connections() > 1
        assert (await deployment.ask(node, '/once/x', b'x')).status == 200
        for _, writer in connections:
            writer.close()
        await deployments.wait_until(
            lambda: not node.caller_server.count_connections()
        )
        assert node.memory.connection_bytes == 0

    _run(check)


def test_response_that_is_not_read() -> None:
    """A response counts as held until its caller has taken it."""

    async def check(deployment: Deployment, node: Node) -> None:
        size = 7_000_000
        deployment.replicas['a1'].plan.body = b'y' * size
        request = deployment.make_request('/once/x', b'x', '', {})
        reader, writer = await asyncio.open_connection(
            *node.settings.entry, limit=1000
        )
        writer.write(request)
        await deployments.wait_until(lambda: node.memory.used >= size)
        await asyncio.sleep(0.2)
        assert node.memory.used >= size
        response = await deployments.read_response(reader)
        assert response.body == b'y' * size
        writer.close()

    _run(check)
