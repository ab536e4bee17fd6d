"""Streams that move to a target that doesn't take them at once."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import deployments
from deployments import Deployment
from deployments import make_configuration
from deployments import wait_until
from lentilrun.gateway.node import Node
import pytest

_TIMEOUT_MS = 10000
_EVENTS = 30
_INTERVAL_S = 0.1
_TOKENS = '300,20'
# The old target loads for longer than the stream lasts.
_LOAD_S = 10.0
_PLACES = 2
# Calls that take them end after 0.6 of the time that the stream has left.
_EVENTS_OF_OTHERS = 68
# Two retries in a window, the first of them for a move.
_FEW_RETRIES = deployments.BOUNDS._replace(retry_slack=2.8, retry_window=2.0)


class _Case(NamedTuple):
    """Why the new target doesn't take the stream, for how many attempts."""

    fault: str
    attempts: int


_CASES = {
    'its places are taken': _Case('places', 0),
    'it refuses requests': _Case('full', 3),
    'it takes no connection': _Case('closed', 0),
}


def _configure(deployment: Deployment) -> None:
    configuration = make_configuration(2)
    for route in configuration['routes']:
        route['timeout-ms'] = _TIMEOUT_MS
    for service in configuration['services']:
        service['max-connections'] = _PLACES
    deployment.configure(configuration)


def _ask(
    deployment: Deployment, node: Node, path: str
) -> asyncio.Future[deployments.CallerResponse]:
    return asyncio.ensure_future(
        deployment.ask(
            node, path, b'x', _TOKENS, X_Deadline_Ms=str(_TIMEOUT_MS)
        )
    )


def _block(node: Node, name: str) -> None:
    """Send requests to other targets for a moment."""
    node.targets.states[name].blocked_until = node.clock.now() + 0.3


def _add_target(
    deployment: Deployment, name: str, weights_version: int
) -> None:
    plan = deployment.add_replica(
        name, 'llm', weights_version=weights_version
    ).plan
    plan.event_count = _EVENTS
    plan.event_interval_s = _INTERVAL_S
    plan.weights_load_s = _LOAD_S


async def _fill(
    deployment: Deployment, node: Node, case: _Case
) -> list[asyncio.Future[deployments.CallerResponse]]:
    """Let the new target refuse the stream; return calls that it runs."""
    new = deployment.replicas['new']
    if case.fault == 'places':
        new.plan.event_count = _EVENTS_OF_OTHERS
        _block(node, 'old')
        calls = [_ask(deployment, node, '/chat/x') for _ in range(_PLACES)]
        await wait_until(lambda: len(new.runs) == _PLACES)
        await asyncio.sleep(_INTERVAL_S)
        new.plan.event_count = _EVENTS
        return calls
    if case.fault == 'closed':
        await deployment.stop_replica('new')
    else:
        new.plan.fault = case.fault
        new.plan.fault_count = case.attempts
    return []


@pytest.mark.parametrize('name', _CASES)
def test_stream_that_has_moved_is_completed(name: str) -> None:
    """It was broken off, though it had been taken from a sound target."""
    case = _CASES[name]

    async def body() -> None:
        async with Deployment() as deployment:
            _configure(deployment)
            _add_target(deployment, 'old', 1)
            _add_target(deployment, 'new', 2)
            node = await deployment.start_node('vm1', _FEW_RETRIES)
            await wait_until(lambda: len(node.targets.states) == 2)
            _block(node, 'new')
            stream = _ask(deployment, node, '/talk/x')
            old = deployment.replicas['old']
            await wait_until(lambda: bool(old.runs))
            await asyncio.sleep(0.4)
            others = await _fill(deployment, node, case)
            deployment.announce_weights(2)
            if case.fault == 'closed':
                await wait_until(lambda: old.cancelled == 1)
                await asyncio.sleep(1.0)
                _add_target(deployment, 'newer', 2)
            response = await stream
            assert (response.status, response.is_whole) == (200, True)
            assert old.cancelled == 1
            for other in await asyncio.gather(*others):
                assert other.is_whole

    asyncio.run(body())
