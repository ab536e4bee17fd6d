"""The fields of the log line of each attempt."""

from __future__ import annotations

import asyncio
import os
import pathlib
from typing import Any

from deployments import Deployment
from deployments import plan_fault
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


def test_segments_of_a_prompt(tmp_path: pathlib.Path) -> None:
    """Each line names the first of the prompt's segments."""
    names = [f'{n:02x}' for n in range(20)]
    attempts = _log_attempts(
        tmp_path, X_Prefix_Hash=','.join(f'{n}:50' for n in names)
    )
    assert [a['segments'] for a in attempts] == [names[:8]] * 2


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
