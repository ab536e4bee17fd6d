"""Malformed requests get an error response or a closed connection."""

from __future__ import annotations

import asyncio
import random

import deployments
from deployments import Deployment
import pytest

_HEAD = (
    'Host: example\r\nX-Request-Id: r1\r\nApi-Key: key-1\r\n'
    'X-Deadline-Ms: 800\r\n'
)
_SMUGGLED = 'POST /once/smuggled HTTP/1.1\r\nHost: example\r\n\r\n'

# The bytes sent, and the possible statuses; None is a closed connection.
_CASES = {
    'both lengths': (
        f'POST /once/x HTTP/1.1\r\n{_HEAD}Content-Length: 3\r\n'
        f'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{_SMUGGLED}',
        {400, None},
    ),
    'two lengths': (
        f'POST /once/x HTTP/1.1\r\n{_HEAD}Content-Length: 3\r\n'
        f'Content-Length: 5\r\n\r\nabcde',
        {400, None},
    ),
    'malformed chunk size': (
        f'POST /once/x HTTP/1.1\r\n{_HEAD}Transfer-Encoding: chunked\r\n\r\n'
        f'0x3\r\nabc\r\n0\r\n\r\n{_SMUGGLED}',
        {400, None},
    ),
    'signed chunk': (
        f'POST /once/x HTTP/1.1\r\n{_HEAD}Transfer-Encoding: chunked\r\n\r\n'
        f'+3\r\nabc\r\n0\r\n\r\n',
        {400, None},
    ),
    'unknown encoding': (
        f'POST /once/x HTTP/1.1\r\n{_HEAD}Transfer-Encoding: xchunked\r\n\r\n'
        f'0\r\n\r\n',
        {400, 501, None},
    ),
    'no request': ('nonsense\r\n\r\n', {400, None}),
    'long head': (
        f'GET /plain/x HTTP/1.1\r\nX: {"y" * 70_000}\r\n\r\n',
        {400, 431, None},
    ),
    'no id': (
        'GET /plain/x HTTP/1.1\r\nHost: example\r\nApi-Key: key-1\r\n\r\n',
        {400},
    ),
    'unknown key': (
        'GET /plain/x HTTP/1.1\r\nHost: example\r\nApi-Key: k\r\n\r\n',
        {401},
    ),
    'too large': (
        f'POST /once/x HTTP/1.1\r\n{_HEAD}Content-Length: 1200000\r\n\r\n'
        + 'x' * 1_200_000,
        {413},
    ),
}


async def _send(deployment: Deployment, data: bytes) -> int | None:
    node = deployment.nodes['vm1']
    try:
        async with asyncio.timeout(3.0):
            response = await deployments.ask(node.settings.entry, data)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return response.status


async def _start(deployment: Deployment) -> None:
    deployment.add_replica('a1', 'app')
    await deployment.start_node('vm1')


@pytest.mark.parametrize('name', _CASES)
def test_malformed_requests(name: str) -> None:
    """A malformed request does not run, and the VM continues to serve."""
    text, statuses = _CASES[name]

    async def body() -> None:
        async with Deployment() as deployment:
            await _start(deployment)
            assert await _send(deployment, text.encode()) in statuses
            assert deployment.replicas['a1'].runs == []
            node = deployment.nodes['vm1']
            assert (await deployment.ask(node, '/plain/x')).status == 200

    asyncio.run(body())


@pytest.mark.parametrize('seed', range(4))
def test_changed_bytes(seed: int) -> None:
    """Requests with random changes get a response or are closed."""

    async def body() -> None:
        rng = random.Random(seed)
        async with Deployment() as deployment:
            await _start(deployment)
            node = deployment.nodes['vm1']
            for _ in range(40):
                sent = bytearray(
                    deployment.make_request(
                        '/plain/x', b'', '', {'X_Deadline_Ms': '300'}
                    )
                )
                for _ in range(rng.randint(1, 4)):
                    index = rng.randrange(len(sent) - 4)
                    sent[index] = rng.randrange(256)
                status = await _send(deployment, bytes(sent) + b'\r\n\r\n')
                assert status is None or 200 <= status < 600
            assert (await deployment.ask(node, '/plain/x')).status == 200

    asyncio.run(body())


def test_pipelined_requests_are_answered_in_order() -> None:
    """Each response has the id of its own request."""

    async def body() -> None:
        async with Deployment() as deployment:
            await _start(deployment)
            node = deployment.nodes['vm1']
            opened = asyncio.open_connection(*node.settings.entry)
            reader, writer = await opened
            for name in ('first', 'second', 'third'):
                writer.write(
                    deployment.make_request(
                        '/plain/x', b'', '', {'X-Request-Id': name}
                    )
                )
            responses = [
                await deployments.read_response(reader) for _ in range(3)
            ]
            ids = [r.headers['X-Request-Id'] for r in responses]
            assert ids == ['first', 'second', 'third']
            writer.close()

    asyncio.run(body())


@pytest.mark.parametrize(
    ('path', 'headers', 'status'),
    [
        ('/plain/x', {}, 200),
        ('/none/x', {}, 404),
        ('/plain/x', {'Api-Key': 'unknown'}, 401),
    ],
)
def test_head_is_answered(
    path: str, headers: dict[str, str], status: int
) -> None:
    """The response to HEAD has no body, and the connection stays open."""

    async def body() -> None:
        async with Deployment() as deployment:
            await _start(deployment)
            node = deployment.nodes['vm1']
            request = deployment.make_request(path, b'', '', headers)
            opened = asyncio.open_connection(*node.settings.entry)
            reader, writer = await opened
            for _ in range(2):
                writer.write(request.replace(b'GET', b'HEAD', 1))
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 %d ' % status)
            writer.close()

    asyncio.run(body())
