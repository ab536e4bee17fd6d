"""Sound targets that are silent beside ones that are registered only."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import deployments
from deployments import Deployment
from deployments import wait_until
import pytest

_TIMEOUT_MS = 8000
# Longer than the silence after which connections are checked.
_PAUSE_S = 1.3
_EVENTS = 3


class _Case(NamedTuple):
    """A call at the only target that runs, and what becomes of its ``row``.

    It is draining, ready or removed. The rows of ``new_targets`` are there
    before these take connections.
    """

    path: str
    new_targets: int = 1
    row: str = 'draining'
    is_listening: bool = True


_CASES = {
    'stream at a leaving target': _Case('/talk/x'),
    'stream at a leaving target that takes no connection': _Case(
        '/talk/x', is_listening=False
    ),
    'body of a leaving target': _Case('/plain/x'),
    'stream at a removed target': _Case('/talk/x', row='removed'),
    'stream at a removed target that takes no connection': _Case(
        '/talk/x', row='removed', is_listening=False
    ),
    'stream beside many new targets': _Case(
        '/talk/x', new_targets=9, row='ready'
    ),
    'body beside many new targets': _Case(
        '/plain/x', new_targets=9, row='ready'
    ),
}


async def _replace(deployment: Deployment, service: str, case: _Case) -> None:
    """Register new targets beside the old one, which may leave."""
    for number in range(case.new_targets):
        name = f'new{number}'
        deployment.add_replica(name, service)
        await deployment.stop_replica(name)
    if not case.is_listening:
        deployment._servers['old'].stop()
    if case.row == 'removed':
        deployment.store.put('servers', 'old', None)
    else:
        deployment.register('old', service, case.row)


@pytest.mark.parametrize('name', _CASES)
def test_call_at_a_sound_target_goes_on(name: str) -> None:
    """A VM took the failed connections for the loss of all targets.

    It broke off what other targets had begun to answer.
    """
    case = _CASES[name]

    async def body() -> None:
        is_stream = case.path == '/talk/x'
        service = 'llm' if is_stream else 'app'
        async with Deployment() as deployment:
            deployment.lengthen_timeouts(_TIMEOUT_MS)
            old = deployment.add_replica('old', service)
            old.plan.event_count = _EVENTS
            old.plan.event_interval_s = _PAUSE_S
            old.plan.response_delay_s = 0.0 if is_stream else 3 * _PAUSE_S
            node = await deployment.start_node('vm1')
            await wait_until(lambda: len(node.targets.states) == 1)
            call = asyncio.ensure_future(
                deployment.ask(
                    node,
                    case.path,
                    b'x' if is_stream else b'',
                    '300,20' if is_stream else '',
                    X_Deadline_Ms=str(_TIMEOUT_MS),
                )
            )
            await wait_until(lambda: bool(old.runs))
            await _replace(deployment, service, case)
            response: deployments.CallerResponse = await call
            assert (response.status, response.is_whole) == (200, True)
            assert len(old.runs) == 1
            assert not old.cancelled

    asyncio.run(body())
