"""All VMs learn late of new weights, as their connections went silent."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from deployments import MODEL
from deployments import wait_until
from lentilrun.decisions import topology
from lentilrun.gateway.node import Node
from lentilrun.gateway import peers
import pytest

_VMS = 5
_STALE_LIMIT_S = 8.0
# Longer than a call to the feed lasts.
_FEED_CALL_S = 2.1
_SLACK_S = 0.3
# VMs know their hub after this time.
_HUB_START_S = 8.0


async def _start_nodes(deployment: Deployment, has_hubs: bool) -> list[Node]:
    nodes = [await deployment.start_node(f'vm{n}') for n in range(_VMS)]
    if has_hubs:
        await wait_until(
            lambda: all(n.peers.find_hub() is not None for n in nodes[2:]),
            _HUB_START_S,
        )
    return nodes


async def _announce_into_silence(deployment: Deployment) -> float:
    """Announce weights while calls to the store are lost.

    Return the time by the loop; later calls are answered.
    """
    deployment.store.faults.hangs = True
    await asyncio.sleep(_FEED_CALL_S)
    deployment.store.faults.hangs = False
    deployment.announce_weights(2)
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize('has_hubs', [False, True])
def test_request_begins_after_all_feeds_were_silent(
    has_hubs: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No VM counts the age of an announcement from when it learned of it."""
    if has_hubs:
        for module in (topology, peers):
            monkeypatch.setattr(module, 'MESH_VMS', 3)

    async def body() -> None:
        async with Deployment() as deployment:
            engine = deployment.add_replica('e1', 'llm')
            # The engine is not in reach of the orders.
            engine.plan.delayed_orders = 99
            engine.plan.order_delay_s = 9.0
            nodes = await _start_nodes(deployment, has_hubs)
            announced_at = await _announce_into_silence(deployment)
            await asyncio.sleep(_STALE_LIMIT_S + _SLACK_S)
            ages = [n.view.stale_for(MODEL, 1) for n in nodes]
            assert min(ages) >= _STALE_LIMIT_S
            for _ in range(4):
                for node in nodes:
                    await deployment.ask(
                        node, '/chat/x', b'{}', '1000,20', X_Deadline_Ms='500'
                    )
            ages = [
                r.started_at - announced_at
                for r in engine.runs
                if r.versions[MODEL] == 1
            ]
            assert not [a for a in ages if a > _STALE_LIMIT_S]

    asyncio.run(body())
