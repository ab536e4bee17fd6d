"""Retries that another VM made before it refused the call."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from lentilrun.gateway.attempt import AttemptResult
from lentilrun.gateway.attemptoutcome import AttemptOutcome
from lentilrun.gateway.execution import CallExecution
from lentilrun.gateway.peers import Peer
from lentilrun.metrics.registry import Count
import pytest


@pytest.mark.parametrize(
    ('ways', 'retries'),
    [
        (('target', 'target'), 1),
        (('target', 'helper'), 2),
        (('target', 'helper', 'helper'), 3),
    ],
)
def test_retry_after_a_refusal(
    ways: tuple[str, ...], retries: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A helper may refuse a call after a target has rejected it.

    The retry had arrived, and the next one was sent without being counted.
    """
    left = [*ways, 'last']

    async def acquire(call: CallExecution) -> object:
        way = left.pop(0)
        if way == 'helper':
            return object.__new__(Peer)
        return await original(call)

    async def attempt(call: object, way: object) -> AttemptResult:
        outcome = AttemptOutcome.NOT_SENT
        if len(left) == len(ways):
            outcome = AttemptOutcome.NOT_RUN
        elif not left:
            outcome = AttemptOutcome.DELIVERED
        return AttemptResult(outcome, None, False)  # type: ignore[arg-type]

    original = CallExecution._acquire
    monkeypatch.setattr(CallExecution, '_acquire', acquire)
    monkeypatch.setattr(CallExecution, '_attempt', attempt)

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            asking = asyncio.ensure_future(deployment.ask(node, '/plain/x'))
            await asyncio.wait([asking], timeout=1.0)
            asking.cancel()
            assert not left
            assert node.metrics.get(Count.RETRIES, 'app') == retries

    asyncio.run(body())
