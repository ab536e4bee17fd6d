"""One VM at a time orders all engines to load new weights."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from deployments import MODEL
from deployments import wait_until


def _versions(deployment: Deployment) -> set[int]:
    return {s.versions[MODEL] for s in deployment.replicas.values()}


def test_all_engines_load_once() -> None:
    """Each engine gets one order, all with the same fencing token."""

    async def body() -> None:
        async with Deployment() as deployment:
            for number in range(5):
                deployment.add_replica(f'e{number}', 'llm')
            for name in ('vm1', 'vm2', 'vm3'):
                await deployment.start_node(name)
            await wait_until(
                lambda: all(
                    len(n.peers.list_responsive()) == 2
                    for n in deployment.nodes.values()
                )
            )
            deployment.announce_weights(2)
            await wait_until(lambda: _versions(deployment) == {2})
            orders = [s.orders for s in deployment.replicas.values()]
            assert [len(o) for o in orders] == [1] * 5
            assert {o[0]['fencing-token'] for o in orders} == {1}

    asyncio.run(body())


def test_another_vm_takes_over_after_the_gap() -> None:
    """If the VM with the lease leaves, the next waits for its expiry."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('e1', 'llm')
            first = await deployment.start_node('vm1')
            second = await deployment.start_node('vm2')
            await wait_until(lambda: first.peers.list_responsive() == ['vm2'])
            await wait_until(lambda: second.peers.list_responsive() == ['vm1'])
            deployment.announce_weights(2)
            await wait_until(lambda: _versions(deployment) == {2})
            first.upgrades.is_leaving = True
            left_at = second.clock.now()
            deployment.announce_weights(3)
            await wait_until(lambda: _versions(deployment) == {3}, 6.0)
            holders = [o['holder'] for o in deployment.replicas['e1'].orders]
            assert holders == ['vm1', 'vm2']
            assert second.clock.now() - left_at > 0.4

    asyncio.run(body())


def test_late_orders_have_no_effect() -> None:
    """An order without a response that arrives late has no effect."""

    async def body() -> None:
        async with Deployment() as deployment:
            state = deployment.add_replica('e1', 'llm')
            state.plan.delayed_orders = 1
            state.plan.order_delay_s = 1.5
            await deployment.start_node('vm1')
            deployment.announce_weights(2)
            await wait_until(lambda: _versions(deployment) == {2}, 6.0)
            deployment.announce_weights(3)
            await wait_until(lambda: _versions(deployment) == {3}, 6.0)
            await asyncio.sleep(1.6)
            assert [o['version'] for o in state.orders] == [2, 3]
            assert [o['expected'] for o in state.orders] == [0, 1]
            assert state.versions[MODEL] == 3

    asyncio.run(body())


def test_requests_see_only_their_weights() -> None:
    """While engines load weights, every request still gets a target."""

    async def body() -> None:
        async with Deployment() as deployment:
            for number in range(4):
                deployment.add_replica(f'e{number}', 'llm')
            node = await deployment.start_node('vm1')
            deployment.announce_weights(2)
            statuses = []
            for _ in range(40):
                response = await deployment.ask(node, '/talk/x', b'x', '900,9')
                statuses.append(response.status)
                await asyncio.sleep(0.02)
            assert statuses == [200] * 40
            for state in deployment.replicas.values():
                for run in state.runs:
                    salt = run.headers['X-Cache-Salt']
                    assert salt == run.headers['X-Expected-Version']

    asyncio.run(body())
