"""The fields of the log line of each attempt."""

from __future__ import annotations

import asyncio
import os
import pathlib
from typing import Any

from deployments import Deployment
from deployments import MODEL
from deployments import plan_fault
from deployments import wait_until
from lentilrun.metrics.registry import Count
import msgspec


def _log_attempts(
    tmp_path: pathlib.Path, **headers: str
) -> list[dict[str, Any]]:
    """Return the log lines of a stream that breaks off once."""
    path = tmp_path / 'log'
    log_file = os.open(path, os.O_WRONLY | os.O_CREAT)

    async def body() -> None:
        async with Deployment(log_file) as deployment:
            deployment.add_replica('e1', 'llm')
            deployment.add_replica('e2', 'llm')
            node = await deployment.start_node('vm1')
            plan_fault(deployment, 'cut', 1)
            response = await deployment.ask(
                node, '/talk/x', b'{}', tokens='1000,20', **headers
            )
            assert response.is_whole

    asyncio.run(body())
    lines = [msgspec.json.decode(t) for t in path.read_bytes().splitlines()]
    return [e for e in lines if e['event'] == 'attempt']


def test_first_event_of_each_attempt(tmp_path: pathlib.Path) -> None:
    """The time to a resumed stream's first event starts at its attempt."""
    attempts = _log_attempts(tmp_path)
    assert [a['fate'] for a in attempts] == ['broken', 'delivered']
    assert all(0.0 <= a['first'] <= a['seconds'] for a in attempts)


def test_numbers_of_each_attempt(tmp_path: pathlib.Path) -> None:
    """Each line has the first and last event that its attempt received."""
    attempts = _log_attempts(tmp_path)
    assert [a['ids'] for a in attempts] == [[1, 1], [2, 3]]
    assert [a['framed'] for a in attempts] == [True, True]


def test_segments_of_a_prompt(tmp_path: pathlib.Path) -> None:
    """Each line names the first of the prompt's segments."""
    names = [f'{n:02x}' for n in range(20)]
    attempts = _log_attempts(
        tmp_path, X_Prefix_Hash=','.join(f'{n}:50' for n in names)
    )
    assert [a['segments'] for a in attempts] == [names[:8]] * 2


def test_limit_that_a_target_states(tmp_path: pathlib.Path) -> None:
    """Each line holds the limit that the response stated, if any."""
    path = tmp_path / 'log'
    log_file = os.open(path, os.O_WRONLY | os.O_CREAT)

    async def body() -> None:
        async with Deployment(log_file) as deployment:
            state = deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            await deployment.ask(node, '/plain/x')
            state.plan.rate_limit = 12.5
            await deployment.ask(node, '/plain/x')

    asyncio.run(body())
    lines = [msgspec.json.decode(t) for t in path.read_bytes().splitlines()]
    limits = [e.get('limit') for e in lines if e['event'] == 'attempt']
    assert limits == [None, 12.5]


def test_attempts_that_the_router_ends(tmp_path: pathlib.Path) -> None:
    """They have an outcome of their own, in the log and in the counts."""
    path = tmp_path / 'log'
    log_file = os.open(path, os.O_WRONLY | os.O_CREAT)

    async def body() -> None:
        async with Deployment(log_file) as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            plan_fault(deployment, 'hang', 1)
            response = await deployment.ask(
                node, '/once/x', b'x', X_Deadline_Ms='200'
            )
            assert response.status == 504
            assert node.metrics.get(Count.ATTEMPTS, 'timed_out') == 1

    asyncio.run(body())
    lines = [msgspec.json.decode(t) for t in path.read_bytes().splitlines()]
    fates = [e['fate'] for e in lines if e['event'] == 'attempt']
    assert fates == ['timed_out']


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
    lines = [msgspec.json.decode(t) for t in path.read_bytes().splitlines()]
    ages = [e['stale'] for e in lines if e['event'] == 'attempt']
    assert ages[0] == 0.0
    assert isinstance(ages[1], float)
    assert 0.5 < ages[1] < 2.5


def test_connection_of_each_attempt(tmp_path: pathlib.Path) -> None:
    """Each line tells kept connections from new ones, and why they fail."""
    path = tmp_path / 'log'
    log_file = os.open(path, os.O_WRONLY | os.O_CREAT)

    async def body() -> None:
        async with Deployment(log_file) as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            await deployment.ask(node, '/plain/x')
            await deployment.ask(node, '/plain/x')
            await deployment.stop_replica('a1')
            await deployment.ask(node, '/plain/x', X_Deadline_Ms='200')

    asyncio.run(body())
    lines = [msgspec.json.decode(t) for t in path.read_bytes().splitlines()]
    attempts = [e for e in lines if e['event'] == 'attempt']
    assert [a['kept'] for a in attempts[:3]] == [False, True, False]
    assert [a['error'] for a in attempts[:2]] == [None, None]
    assert 'ConnectionRefusedError' in attempts[2]['error']
