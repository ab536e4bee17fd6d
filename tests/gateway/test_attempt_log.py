"""The fields of the log line of each attempt."""

from __future__ import annotations

import asyncio
import os
import pathlib

from deployments import Deployment
from deployments import MODEL
from deployments import plan_fault
from deployments import wait_until
import msgspec


def _read_attempts(path: pathlib.Path) -> list[dict[str, object]]:
    lines = [msgspec.json.decode(t) for t in path.read_bytes().splitlines()]
    return [e for e in lines if e['event'] == 'attempt']


def test_first_event_of_each_attempt(tmp_path: pathlib.Path) -> None:
    """The time to a resumed stream's first event starts at its attempt."""
    path = tmp_path / 'log'
    log_file = os.open(path, os.O_WRONLY | os.O_CREAT)

    async def body() -> None:
        async with Deployment(log_file) as deployment:
            deployment.add_replica('e1', 'llm')
            deployment.add_replica('e2', 'llm')
            node = await deployment.start_node('vm1')
            plan_fault(deployment, 'cut', 1)
            response = await deployment.ask(
                node, '/talk/x', b'{}', tokens='1000,20'
            )
            assert response.is_whole

    asyncio.run(body())
    attempts = _read_attempts(path)
    assert [a['fate'] for a in attempts] == ['broken', 'delivered']
    assert all(0.0 <= a['first'] <= a['seconds'] for a in attempts)


def test_age_of_replaced_weights(tmp_path: pathlib.Path) -> None:
    """An attempt states for how long its weights had been replaced."""
    path = tmp_path / 'log'
    log_file = os.open(path, os.O_WRONLY | os.O_CREAT)

    async def body() -> None:
        async with Deployment(log_file) as deployment:
            state = deployment.add_replica('e1', 'llm')
            # The engine does not answer the order to load new weights.
            state.plan.delayed_orders = 9
            state.plan.order_delay_s = 9.0
            node = await deployment.start_node('vm1')
            await deployment.ask(node, '/chat/x', b'{}', '1000,20')
            deployment.announce_weights(2)
            await wait_until(lambda: node.view.stale_for(MODEL, 1) > 0.5)
            await wait_until(lambda: bool(node.targets.list_usable('llm')))
            await deployment.ask(node, '/chat/x', b'{}', '1000,20')

    asyncio.run(body())
    ages = [a['stale'] for a in _read_attempts(path)]
    assert ages[0] == 0.0
    assert isinstance(ages[1], float)
    assert 0.5 < ages[1] < 2.5
