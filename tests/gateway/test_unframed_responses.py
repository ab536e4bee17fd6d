"""Targets that respond without a length or chunks, and close."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
from typing import NamedTuple

import deployments
from deployments import Deployment
from lentilrun.gateway.node import Node
from lentilrun.standins.replica import ExecutedRequest
import pytest

_EVENTS = 4
_Check = Callable[[Deployment, Node], Awaitable[None]]
# Line ends, and bytes of a packet (0: one packet for each event).
_FORMS = {
    'LF': ('\n', 0),
    'CRLF': ('\r\n', 0),
    'LF, one-byte packets': ('\n', 1),
    'CRLF, one-byte packets': ('\r\n', 1),
}


def _run(form: str, fault: str, faults: int, check: _Check) -> None:
    line_end, packet_bytes = _FORMS[form]

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            deployment.add_replica('e1', 'llm')
            deployment.add_replica('e2', 'llm')
            node = await deployment.start_node('vm1')
            deployments.plan_fault(deployment, fault, faults)
            for state in deployment.replicas.values():
                state.plan.is_framed = False
                state.plan.event_count = _EVENTS
                state.plan.line_end = line_end
                state.plan.packet_bytes = packet_bytes
            await check(deployment, node)

    asyncio.run(body())


def _list_runs(deployment: Deployment) -> list[ExecutedRequest]:
    return [r for s in deployment.replicas.values() for r in s.runs]


def _make_stream(line_end: str, first: int = 1) -> bytes:
    events = (
        f'id: {n}{line_end}data: piece {n}{line_end}{line_end}'
        for n in range(first, _EVENTS + 1)
    )
    return ''.join(events).encode()


@pytest.mark.parametrize('form', _FORMS)
@pytest.mark.parametrize('path', ['/talk/x', '/chat/x'])
def test_streams_are_whole(form: str, path: str) -> None:
    """A stream that ends after an event is delivered as it was sent."""

    async def check(deployment: Deployment, node: Node) -> None:
        response = await deployment.ask(node, path, b'x', '1000,50')
        assert response.status == 200
        assert response.is_whole
        assert response.body == _make_stream(_FORMS[form][0])
        assert len(_list_runs(deployment)) == 1

    _run(form, '', 0, check)


@pytest.mark.parametrize('form', _FORMS)
@pytest.mark.parametrize('fault', ['cut', 'torn'])
@pytest.mark.parametrize(
    ('path', 'is_whole', 'runs'), [('/talk/x', True, 2), ('/chat/x', False, 1)]
)
def test_streams_that_break_off(
    form: str, fault: str, path: str, is_whole: bool, runs: int
) -> None:
    """A stream that ends within an event or by a reset isn't complete."""

    async def check(deployment: Deployment, node: Node) -> None:
        response = await deployment.ask(node, path, b'x', '1000,50')
        stream = _make_stream(_FORMS[form][0])
        assert response.status == 200
        assert response.is_whole == is_whole
        assert stream.startswith(response.body)
        assert response.body
        assert (response.body == stream) is is_whole
        received = _list_runs(deployment)
        assert len(received) == runs
        if is_whole:
            resumed = [r.headers.get('Last-Event-Id') for r in received]
            assert sorted(map(str, resumed)) == ['1', 'None']

    _run(form, fault, 1, check)


@pytest.mark.parametrize(
    ('path', 'status', 'runs'), [('/talk/x', 200, 2), ('/chat/x', 502, 1)]
)
def test_stream_without_an_event_has_broken_off(
    path: str, status: int, runs: int
) -> None:
    """A stream that ends before its first event isn't delivered as whole."""

    async def check(deployment: Deployment, node: Node) -> None:
        response = await deployment.ask(node, path, b'x', '1000,50')
        assert response.status == status
        assert len(_list_runs(deployment)) == runs
        if status == 200:
            assert response.body == _make_stream('\n')

    _run('LF', 'empty', 1, check)


def test_head_of_a_stream_has_no_event() -> None:
    """The response to HEAD is whole without a body."""

    async def check(deployment: Deployment, node: Node) -> None:
        for state in deployment.replicas.values():
            state.plan.is_framed = True
        request = deployment.make_request('/chat/x', b'', '900,9', {})
        head = request.replace(b'GET', b'HEAD', 1)
        response = await deployments.ask(node.settings.entry, head)
        assert response.status == 200
        assert response.headers['Content-Type'] == 'text/event-stream'
        assert len(_list_runs(deployment)) == 1

    _run('LF', '', 0, check)


def test_resumed_stream_may_have_no_further_event() -> None:
    """A caller may have all events of a stream, and resume it for its end."""

    async def check(deployment: Deployment, node: Node) -> None:
        response = await deployment.ask(
            node, '/talk/x', b'x', '1000,50', Last_Event_Id=str(_EVENTS)
        )
        assert (response.status, response.body) == (200, b'')
        assert response.is_whole
        assert len(_list_runs(deployment)) == 1

    _run('LF', '', 0, check)


def test_events_arrive_one_by_one() -> None:
    """An event is relayed before the next one is made."""

    async def check(deployment: Deployment, node: Node) -> None:
        for state in deployment.replicas.values():
            state.plan.event_interval_s = 0.3
        request = deployment.make_request('/chat/x', b'x', '900,9', {})
        reader, writer = await asyncio.open_connection(*node.settings.entry)
        writer.write(request)
        loop = asyncio.get_running_loop()
        times = []
        for number in range(1, _EVENTS + 1):
            await reader.readuntil(f'piece {number}'.encode())
            times.append(loop.time())
        writer.close()
        pauses = [b - a for a, b in itertools.pairwise(times)]
        assert min(pauses) > 0.15

    _run('CRLF', '', 0, check)


class _Case(NamedTuple):
    """A request for a body: its target's fault, the status and the runs."""

    path: str
    fault: str
    status: int
    runs: int


_BODIES = {
    'safe': _Case('/plain/x', '', 200, 1),
    'unsafe': _Case('/once/x', '', 200, 1),
    'safe, torn': _Case('/plain/x', 'torn', 200, 2),
    'unsafe, torn': _Case('/once/x', 'torn', 502, 1),
    'unsafe, unsigned': _Case('/once/x', 'unsigned', 502, 1),
}


@pytest.mark.parametrize('form', ['LF', 'LF, one-byte packets'])
@pytest.mark.parametrize('name', _BODIES)
def test_bodies(form: str, name: str) -> None:
    """A whole body is delivered with its length, a broken one never."""
    case = _BODIES[name]

    async def check(deployment: Deployment, node: Node) -> None:
        sent = b'a body' if case.path.startswith('/once') else b''
        response = await deployment.ask(node, case.path, sent)
        assert response.status == case.status
        assert response.is_whole
        assert len(_list_runs(deployment)) == case.runs
        if case.status == 200:
            assert response.body == b'{"ok":true}'
            assert response.headers['Content-Length'] == '11'
        repeated = await deployment.ask(node, '/plain/x')
        assert repeated.status == 200

    _run(form, case.fault, 1, check)


def test_callers_keep_their_connection() -> None:
    """A target that closes its connection doesn't close the caller's."""

    async def check(deployment: Deployment, node: Node) -> None:
        reader, writer = await asyncio.open_connection(*node.settings.entry)
        for path, tokens in (('/plain/x', ''), ('/chat/x', '900,9')) * 2:
            body = b'x' if tokens else b''
            writer.write(deployment.make_request(path, body, tokens, {}))
            response = await deployments.read_response(reader)
            assert response.status == 200
            assert response.is_whole
        writer.close()
        assert len(_list_runs(deployment)) == 4

    _run('LF', '', 0, check)
