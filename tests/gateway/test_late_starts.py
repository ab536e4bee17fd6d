"""No request begins on weights that were replaced too long ago."""

from __future__ import annotations

import asyncio

from deployments import BOUNDS
from deployments import Deployment
from deployments import MODEL
from deployments import wait_until
from lentilrun.gateway.node import Node
import pytest

_STALE_LIMIT_S = 2.0
_BOUNDS = BOUNDS._replace(stale_weights_limit=_STALE_LIMIT_S)
# Longer than the time that is left when the request is sent.
_QUEUE_S = 1.8


def _list_late_starts(
    deployment: Deployment, announced_at: float
) -> list[float]:
    """Return the ages of the weights of runs that began too late."""
    ages = [
        run.started_at - announced_at
        for state in deployment.replicas.values()
        for run in state.runs
        if run.versions[MODEL] == 1
    ]
    return [a for a in ages if a > _STALE_LIMIT_S]


async def _announce_to_deaf_engine(deployment: Deployment) -> Node:
    """Announce weights that the only engine does not load."""
    plan = deployment.add_replica('e1', 'llm').plan
    plan.delayed_orders = 99
    plan.order_delay_s = 9.0
    node = await deployment.start_node('vm1', _BOUNDS)
    deployment.announce_weights(2)
    await wait_until(lambda: node.view.stale_for(MODEL, 1) > 0.3)
    await wait_until(lambda: bool(node.targets.list_usable('llm')))
    return node


@pytest.mark.parametrize(
    ('path', 'has_other_engine', 'expected_status'),
    [
        # The stream may run twice, and another engine has the new weights.
        ('/talk/x', True, 200),
        # It may run once, and perhaps it has.
        ('/chat/x', True, 502),
        ('/chat/x', False, 502),
    ],
)
def test_request_waits_at_an_engine_past_the_limit(
    path: str, has_other_engine: bool, expected_status: int
) -> None:
    """A request that still waits is taken back before the limit."""

    async def body() -> None:
        async with Deployment() as deployment:
            node = await _announce_to_deaf_engine(deployment)
            now = asyncio.get_running_loop().time()
            announced_at = now - node.view.stale_for(MODEL, 1)
            deployment.replicas['e1'].plan.queue_s = _QUEUE_S
            call = asyncio.ensure_future(
                deployment.ask(
                    node, path, b'{}', '1000,20', X_Deadline_Ms='9000'
                )
            )
            if has_other_engine:
                await asyncio.sleep(0.2)
                deployment.add_replica('e2', 'llm', weights_version=2)
            response = await call
            await asyncio.sleep(_STALE_LIMIT_S)
            assert not _list_late_starts(deployment, announced_at)
            assert response.status == expected_status

    asyncio.run(body())


def test_stream_that_began_in_time_goes_on() -> None:
    """A stream that is under way at the limit is not taken back."""

    async def body() -> None:
        async with Deployment() as deployment:
            node = await _announce_to_deaf_engine(deployment)
            plan = deployment.replicas['e1'].plan
            plan.event_count = 6
            plan.event_interval_s = 0.4
            response = await deployment.ask(
                node, '/chat/x', b'{}', '1000,20', X_Deadline_Ms='9000'
            )
            assert node.view.stale_for(MODEL, 1) > _STALE_LIMIT_S
            assert response.is_whole

    asyncio.run(body())
