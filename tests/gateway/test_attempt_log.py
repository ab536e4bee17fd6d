"""The fields of the log line of each attempt."""

from __future__ import annotations

import asyncio
import os
import pathlib

from deployments import Deployment
from deployments import plan_fault
import msgspec


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
    lines = [msgspec.json.decode(t) for t in path.read_bytes().splitlines()]
    attempts = [e for e in lines if e['event'] == 'attempt']
    assert [a['fate'] for a in attempts] == ['broken', 'delivered']
    assert all(0.0 <= a['first'] <= a['seconds'] for a in attempts)
