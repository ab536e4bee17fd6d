"""A VM that leaves neither stops its orders early nor keeps the lease."""

from __future__ import annotations

import asyncio

from deployments import BOUNDS
from deployments import Deployment
from deployments import MODEL
from deployments import wait_until
from lentilrun.gateway.node import Node

# Shorter than the lease and the gap of another VM.
_ORDER_S = 1.0
_LEASE_S = 1.5
# The gap, the margin for an order's way, and the time to look.
_TAKEOVER_S = BOUNDS.lease_gap + 0.25 + 0.6


async def _start_holder(deployment: Deployment) -> tuple[Node, Node]:
    """Start two VMs; the first holds the lease."""
    deployment.add_replica('e1', 'llm')
    first = await deployment.start_node('vm1')
    second = await deployment.start_node('vm2')
    await wait_until(lambda: first.peers.list_responsive() == ['vm2'])
    await wait_until(lambda: second.peers.list_responsive() == ['vm1'])
    deployment.announce_weights(2)
    await wait_until(lambda: _has_version(deployment, 2))
    return first, second


def _has_version(deployment: Deployment, version: int) -> bool:
    return deployment.replicas['e1'].versions[MODEL] == version


def _list_holders(deployment: Deployment) -> list[str]:
    return [o['holder'] for o in deployment.replicas['e1'].orders]


def test_leaving_holder_goes_on_with_its_orders() -> None:
    """While it finishes its calls, it orders new weights without a gap."""

    async def body() -> None:
        async with Deployment() as deployment:
            first, _ = await _start_holder(deployment)
            leaving = asyncio.ensure_future(first.leave())
            await asyncio.sleep(0)
            deployment.announce_weights(3)
            await wait_until(lambda: _has_version(deployment, 3), _ORDER_S)
            assert _list_holders(deployment) == ['vm1', 'vm1']
            await leaving

    asyncio.run(body())


def test_another_vm_takes_over_from_a_vm_that_left() -> None:
    """It waits for the gap, and not for the end of the lease."""

    async def body() -> None:
        async with Deployment() as deployment:
            first, second = await _start_holder(deployment)
            await first.upgrades.leave()
            left_at = second.clock.now()
            deployment.announce_weights(3)
            await wait_until(lambda: _has_version(deployment, 3), 6.0)
            elapsed = second.clock.now() - left_at
            assert _list_holders(deployment) == ['vm1', 'vm2']
            assert BOUNDS.lease_gap < elapsed < _LEASE_S + BOUNDS.lease_gap
            assert elapsed < _TAKEOVER_S + 0.8

    asyncio.run(body())
