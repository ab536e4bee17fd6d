"""A leaving VM answers the calls that are open as its time ends."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import NamedTuple

import deployments
from deployments import CallerResponse
from deployments import Deployment
from deployments import make_configuration
from deployments import wait_until
from lentilrun.gateway.node import Node
import pytest

_GRACE_S = 5.0
# Longer than the VM lives.
_TIMEOUT_S = 15.0
_MS_PER_S = 1000
_CALLS = 12
_OK = 200
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


class _Case(NamedTuple):
    """Calls that are open at the end, and how each of them may end.

    Their target responds after ``delay`` seconds. If it ``is_full``, it takes
    one connection, so that most calls wait.
    """

    path: str
    statuses: frozenset[int]
    delay: float = 12.0
    is_full: bool = False


_REFUSED = frozenset((_UNAVAILABLE,))
_FAILED = frozenset((_BAD_GATEWAY,))
_CASES = {
    'waiting-safe': _Case('/plain/x', _REFUSED, is_full=True),
    'waiting-unsafe': _Case('/once/x', _REFUSED, is_full=True),
    'sent-safe': _Case('/plain/x', _FAILED),
    'sent-unsafe': _Case('/once/x', _FAILED),
    'sent-stream': _Case('/chat/x', _FAILED),
    'sent-resumable-stream': _Case('/talk/x', _FAILED),
    'answered-late': _Case('/plain/x', frozenset((_OK,)), delay=3.5),
}


def _configure(deployment: Deployment, case: _Case) -> None:
    configuration: dict[str, Any] = make_configuration(2)
    for route in configuration['routes']:
        route['timeout-ms'] = int(_TIMEOUT_S * _MS_PER_S)
        route['target-latency-ms'] = int(_TIMEOUT_S * _MS_PER_S)
    if case.is_full:
        for service in configuration['services']:
            service['max-connections'] = 1
    deployment.configure(configuration)


async def _ask(
    deployment: Deployment, node: Node, path: str
) -> CallerResponse | None:
    """Return a whole response, or nothing."""
    is_stream = path in ('/chat/x', '/talk/x')
    body = b'' if path == '/plain/x' else b'x' * 100
    try:
        response = await deployment.ask(
            node,
            path,
            body,
            '900,9' if is_stream else '',
            X_Deadline_Ms=str(int(_TIMEOUT_S * _MS_PER_S)),
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return response if response.is_whole else None


def _end_process(node: Node) -> None:
    """Close the connections to callers, as the end of the process does."""
    for stream in list(node.caller_server._table):
        stream.close()


async def _leave_with_open_calls(
    deployment: Deployment, case: _Case
) -> list[CallerResponse | None]:
    _configure(deployment, case)
    service = 'llm' if case.path in ('/chat/x', '/talk/x') else 'app'
    state = deployment.add_replica('a1', service)
    state.plan.response_delay_s = case.delay
    bounds = deployments.BOUNDS._replace(shutdown_grace=_GRACE_S)
    node = await deployment.start_node('vm1', bounds)
    await wait_until(lambda: len(node.targets.states) == 1)
    calls = [
        asyncio.ensure_future(_ask(deployment, node, case.path))
        for _ in range(_CALLS)
    ]
    await wait_until(lambda: len(node.caller_port.in_flight) == _CALLS)
    async with asyncio.timeout(_GRACE_S):
        await node.leave()
    _end_process(node)
    return await asyncio.gather(*calls)


@pytest.mark.parametrize('name', _CASES)
def test_call_that_is_open_at_the_end_is_answered(name: str) -> None:
    """No call ends without an answer, and none that ran counts as refused."""

    async def body() -> None:
        case = _CASES[name]
        async with Deployment() as deployment:
            responses = await _leave_with_open_calls(deployment, case)
            assert None not in responses
            by_id = {
                r.headers['X-Request-Id']: r.status for r in responses if r
            }
            ran = set(deployment.list_runs(case.path))
            for request_id, status in by_id.items():
                if request_id in ran:
                    assert status != _UNAVAILABLE
            assert case.statuses <= set(by_id.values())

    asyncio.run(body())
