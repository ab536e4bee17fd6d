"""VMs agree on how long ago a version of weights was announced."""

from __future__ import annotations

import asyncio
from typing import Any

from deployments import Deployment
from deployments import MODEL
from deployments import wait_until
from lentilrun.gateway.node import Node
import pytest

_DELAY_S = 1.5
# Longer than a call to the feed lasts.
_FEED_CALL_S = 2.1
# Reports of other VMs arrive within this time.
_REPORT_S = 0.6
_TOLERANCE_S = 0.2
# A response to a call takes at most this long.
_READ_S = 0.1
# The time between two reads, with the longest delay of a response.
_MAX_LAG_S = 2.2


def _delay_feed(node: Node, delay: float = _DELAY_S) -> None:
    """Let rows reach a VM ``delay`` s late, as after a silence.

    It gets none from other VMs either.
    """
    node.peers.on_relayed_rows.clear()
    follow = node.store.follow

    async def follow_late(*arguments: Any) -> Any:
        changes = await follow(*arguments)
        await asyncio.sleep(delay)
        return changes

    node.store.follow = follow_late  # type: ignore[method-assign]


async def _learn_late(deployment: Deployment) -> Node:
    node = await deployment.start_node('vm2')
    _delay_feed(node)
    await asyncio.sleep(_FEED_CALL_S)
    deployment.announce_weights(2)
    await wait_until(lambda: node.view.is_replaced(MODEL, 1))
    return node


async def _start_later(deployment: Deployment) -> Node:
    deployment.announce_weights(2)
    await asyncio.sleep(_DELAY_S)
    return await deployment.start_node('vm2')


@pytest.mark.parametrize('learn', [_learn_late, _start_later])
def test_vm_learns_of_an_announcement_late(learn: Any) -> None:
    """A VM takes the age of an announcement from those that saw it first."""

    async def body() -> None:
        async with Deployment() as deployment:
            # Engines that can't be ordered keep their weights.
            deployment.add_replica('e1', 'llm').plan.delayed_orders = 99
            first = await deployment.start_node('vm1')
            second = await learn(deployment)
            await asyncio.sleep(_REPORT_S)
            ages = [n.view.stale_for(MODEL, 1) for n in (first, second)]
            assert ages[0] > _DELAY_S
            assert abs(ages[1] - ages[0]) < _TOLERANCE_S

    asyncio.run(body())


@pytest.mark.parametrize('delay', [0.0, 0.3, 0.6, 0.9])
def test_announcement_seems_newer_if_the_feed_lags(delay: float) -> None:
    """The time in which a VM's read may have missed the row counts."""

    async def body() -> None:
        async with Deployment() as deployment:
            node = await deployment.start_node('vm1')
            _delay_feed(node, delay)
            now = asyncio.get_running_loop().time
            for version in range(2, 6):
                await asyncio.sleep(_FEED_CALL_S / version)
                deployment.announce_weights(version)
                announced_at = now()
                await wait_until(
                    lambda v=version: node.view.is_replaced(MODEL, v - 1)
                )
                age = now() - announced_at
                assert node.view.stale_for(MODEL, version - 1) > age - _READ_S
                assert node.view.stale_for(MODEL, version - 1) < _MAX_LAG_S

    asyncio.run(body())
