"""A request's way through one VM: what runs, and what callers get."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import deployments
from deployments import Deployment
from deployments import plan_fault
from lentilrun.gateway.node import Node
import pytest

_Check = Callable[[Deployment, Node], Awaitable[None]]


def _run(check: _Check) -> None:
    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            deployment.add_replica('e1', 'llm')
            deployment.add_replica('e2', 'llm')
            node = await deployment.start_node('vm1')
            await check(deployment, node)

    asyncio.run(body())


class _Case(NamedTuple):
    """A request to a faulty target: what the caller gets, and the runs."""

    path: str
    tokens: str
    fault: str
    faults: int
    status: int
    runs: int


_CASES = {
    'safe': _Case('/plain/x', '', '', 0, 200, 1),
    'safe, full once': _Case('/plain/x', '', 'full', 1, 200, 1),
    'safe, reset once': _Case('/plain/x', '', 'reset', 1, 200, 2),
    'safe, crossed': _Case('/plain/x', '', 'crossed', 1, 200, 1),
    'safe, unsigned once': _Case('/plain/x', '', 'unsigned', 1, 200, 2),
    'unsafe': _Case('/once/x', '', '', 0, 200, 1),
    'unsafe, full once': _Case('/once/x', '', 'full', 1, 200, 1),
    'unsafe, reset': _Case('/once/x', '', 'reset', 1, 502, 1),
    'unsafe, unsigned': _Case('/once/x', '', 'unsigned', 1, 502, 1),
    'unsafe, crossed': _Case('/once/x', '', 'crossed', 1, 200, 1),
    'unknown route': _Case('/none/x', '', '', 0, 404, 0),
    'stream, full once': _Case('/chat/x', '1000,50', 'full', 1, 200, 1),
    'one run, reset': _Case('/chat/x', '1000,50', 'reset', 1, 502, 1),
    'resumable, reset': _Case('/talk/x', '1000,50', 'reset', 1, 200, 2),
}


@pytest.mark.parametrize('name', _CASES)
def test_faults(name: str) -> None:
    """Requests run as often as they may, and answers are truthful."""
    case = _CASES[name]

    async def check(deployment: Deployment, node: Node) -> None:
        plan_fault(deployment, case.fault, case.faults)
        body = b'' if case.path.startswith('/plain') else b'a body'
        found = await deployment.ask(node, case.path, body, case.tokens)
        assert found.status == case.status
        assert found.is_whole
        ran = [r for s in deployment.replicas.values() for r in s.runs]
        assert len(ran) == case.runs
        if case.status == 200 and not case.tokens:
            assert found.body == b'{"ok":true}'

    _run(check)


@pytest.mark.parametrize(
    ('path', 'is_whole', 'runs'), [('/talk/x', True, 2), ('/chat/x', False, 1)]
)
def test_cut_streams(path: str, is_whole: bool, runs: int) -> None:
    """A cut stream is resumed where it may be, else it looks cut."""

    async def check(deployment: Deployment, node: Node) -> None:
        plan_fault(deployment, 'cut', 1)
        for state in deployment.replicas.values():
            state.plan.events = 4
        found = await deployment.ask(node, path, b'x', '1000,50')
        states = deployment.replicas.values()
        ran = [r for s in states for r in s.runs]
        assert found.is_whole == is_whole
        assert len(ran) == runs
        if is_whole:
            numbers = [
                int(line[4:])
                for line in found.body.decode().splitlines()
                if line.startswith('id: ')
            ]
            assert numbers == [1, 2, 3, 4]
            resumed = [r.headers.get('Last-Event-Id') for r in ran]
            assert sorted(map(str, resumed)) == ['1', 'None']

    _run(check)


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('X-Tenant-Id', 'workspace'),
        ('X-Cache-Salt', '1'),
        ('X-Expected-Version', '1'),
    ],
)
def test_reserved_headers(name: str, value: str) -> None:
    """Targets hear the router's own headers, never the caller's."""

    async def check(deployment: Deployment, node: Node) -> None:
        await deployment.ask(
            node, '/talk/x', b'x', '900,9', **{name: 'forged'}
        )
        ran = [r for s in deployment.replicas.values() for r in s.runs]
        assert [r.headers[name] for r in ran] == [value]
        assert 'Api-Key' not in ran[0].headers
        assert ran[0].body == b'x'

    _run(check)


@pytest.mark.parametrize('name', ['X-Kv-Hold', 'X-Pin-Ms', 'Kv-From'])
def test_stripped_headers(name: str) -> None:
    """What only the router may ask for is not passed on."""

    async def check(deployment: Deployment, node: Node) -> None:
        await deployment.ask(node, '/talk/x', b'x', '900,9', **{name: '1'})
        ran = [r for s in deployment.replicas.values() for r in s.runs]
        assert len(ran) == 1
        assert name not in ran[0].headers

    _run(check)


def test_gone_caller_frees_the_target() -> None:
    """A stream whose caller left is cancelled at its target."""

    async def check(deployment: Deployment, node: Node) -> None:
        states = [deployment.replicas[n] for n in ('e1', 'e2')]
        for state in states:
            state.plan.events = 100
            state.plan.pause = 0.05
        request = deployment.make_request('/chat/x', b'x', '900,900', {})
        _, writer = await asyncio.open_connection(*node.settings.entry)
        writer.write(request)
        await deployments.wait_until(lambda: any(s.working for s in states))
        writer.close()
        await deployments.wait_until(
            lambda: not any(s.working for s in states), timeout=0.5
        )
        assert sum(s.cancelled for s in states) == 1

    _run(check)


def test_leaving_vm_closes_idle_connections() -> None:
    """After its notice a leaving VM has no connection left to lose."""

    async def check(deployment: Deployment, node: Node) -> None:
        reader, writer = await asyncio.open_connection(*node.settings.entry)
        writer.write(deployment.make_request('/plain/x', b'', '', {}))
        assert (await deployments.read_response(reader)).status == 200
        leaving = asyncio.ensure_future(node.leave())
        await asyncio.sleep(0.05)
        assert not node.is_ready()
        assert (await deployment.ask(node, '/plain/x')).status == 200
        await leaving
        assert await reader.read() == b''
        writer.close()

    _run(check)


def test_silent_stream_ends_with_its_callers_patience() -> None:
    """Nobody works on for a caller that left for want of an event."""

    async def check(deployment: Deployment, node: Node) -> None:
        plan_fault(deployment, 'hang', -1)
        states = [deployment.replicas[n] for n in ('e1', 'e2')]
        began = node.clock.now()
        found = await deployment.ask(
            node, '/talk/x', b'x', '900,9', X_Deadline_Ms='2900'
        )
        assert found.status == 504
        assert 1.9 < node.clock.now() - began < 2.4
        await deployments.wait_until(
            lambda: not any(s.working for s in states), timeout=0.5
        )
        assert sum(len(s.runs) for s in states) == 1

    _run(check)
