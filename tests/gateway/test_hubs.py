"""A larger fleet: hubs read the store, and relay rows and reports."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator

from deployments import Deployment
from deployments import make_configuration
from deployments import wait_until
from lentilrun.decisions.quarantine import Suspect
from lentilrun.decisions.quarantine import SuspectKind
from lentilrun.decisions import topology
from lentilrun.errors import PlatformError
from lentilrun.gateway.node import Node
from lentilrun.gateway import peers
import pytest


@pytest.fixture(autouse=True)
def small_mesh(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Let a fleet of five VMs use hubs."""
    monkeypatch.setattr(topology, 'MESH_VMS', 3)
    monkeypatch.setattr(peers, 'MESH_VMS', 3)
    yield


async def _start(deployment: Deployment) -> list[Node]:
    deployment.add_replica('e1', 'llm')
    deployment.add_replica('a1', 'app')
    nodes = [await deployment.start_node(f'vm{i}') for i in range(5)]
    spokes = nodes[2:]
    await wait_until(
        lambda: all(n.peers.find_hub() is not None for n in spokes), 8.0
    )
    return nodes


def _configuration_versions(nodes: list[Node]) -> set[int]:
    return {n.view.configuration.version for n in nodes}


def test_rows_are_relayed_without_store_calls() -> None:
    """A change comes into force on all VMs, though only hubs read it."""

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            await asyncio.sleep(2.2)
            counts_before = [n.store.call_count for n in nodes]
            deployment.configure(make_configuration(7))
            await wait_until(
                lambda: _configuration_versions(nodes) == {7}, 2.0
            )
            await asyncio.sleep(1.0)
            calls = [
                n.store.call_count - b
                for n, b in zip(nodes, counts_before, strict=True)
            ]
            assert sum(calls[2:]) == 0

    asyncio.run(body())


def test_a_lost_hub_is_replaced() -> None:
    """Changes reach the other VMs after both hubs have stopped."""

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            for node in nodes[:2]:
                await node.__aexit__(None, None, None)
            deployment.configure(make_configuration(9))
            await wait_until(
                lambda: _configuration_versions(nodes[2:]) == {9}, 4.0
            )

    asyncio.run(body())


def test_usage_is_known_beyond_the_hub() -> None:
    """Usage that one VM admits counts once on every VM."""

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            workspace = nodes[0].view.configuration.workspaces['workspace']
            # The usage that is assumed for the past has expired by then.
            await asyncio.sleep(9.0)
            assert not nodes[4].quotas.charge(workspace, 4000.0)
            await asyncio.sleep(1.5)
            used = [n.quotas.used_tokens(workspace) for n in nodes]
            assert used == [4000.0] * 5

    asyncio.run(body())


def _reject_store_calls(node: Node) -> None:
    """Let the store reject the calls of one VM, and serve the others."""

    async def reject(*arguments: object) -> None:
        await asyncio.sleep(0.01)
        raise PlatformError('the store said 503')

    node.store.read = reject
    node.store.follow = reject


@pytest.mark.parametrize(
    'rejected_vms', [['vm0'], ['vm0', 'vm2', 'vm3'], ['vm0', 'vm1']]
)
def test_hub_is_rejected_by_the_store(rejected_vms: list[str]) -> None:
    """Changes come into force in time with a hub that can't read them.

    If the store rejects the calls of a third of the VMs, those with such
    a hub would otherwise keep an old configuration.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            for node in nodes:
                if node.settings.name in rejected_vms:
                    _reject_store_calls(node)
            await asyncio.sleep(peers.STARTING_S)
            deployment.configure(make_configuration(8))
            served = [
                n
                for n in nodes
                if n.settings.name not in rejected_vms
                or n.settings.name in ('vm2', 'vm3')
            ]
            limit = nodes[0].settings.bounds.configuration_limit
            await wait_until(
                lambda: _configuration_versions(served) == {8}, limit
            )

    asyncio.run(body())


def test_hub_reports_rows_that_it_lacks() -> None:
    """A hub whose store calls hang passes on that there are newer rows.

    As its calls have not failed, it doesn't report that it has lost the
    store.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)

            async def hang(*arguments: object) -> None:
                await asyncio.Event().wait()

            nodes[0].store.follow = hang
            await asyncio.sleep(peers.STARTING_S)
            deployment.configure(make_configuration(8))
            limit = nodes[0].settings.bounds.configuration_limit
            await wait_until(
                lambda: _configuration_versions(nodes[1:]) == {8}, limit
            )

    asyncio.run(body())


async def _swap_hubs(nodes: list[Node]) -> None:
    """Let the second hub become the first for some seconds."""
    send = nodes[0].peers._send_datagram
    nodes[0].peers._send_datagram = lambda name, data: None
    await asyncio.sleep(2.5)
    assert all(n.peers.hubs()['a'][0] == 'vm1' for n in nodes[1:])
    nodes[0].peers._send_datagram = send
    await asyncio.sleep(2.0)
    assert all(n.peers.hubs()['a'][0] == 'vm0' for n in nodes)


async def _leave(nodes: list[Node]) -> None:
    """Let a VM that has used some of the quota leave."""
    nodes[4].gossip.is_leaving = True
    nodes[4].peers.announce_leaving()
    await nodes.pop().__aexit__(None, None, None)
    await asyncio.sleep(1.0)


async def _stop_hub(nodes: list[Node]) -> None:
    """Stop the first hub without an announcement."""
    await nodes.pop(0).__aexit__(None, None, None)
    await asyncio.sleep(2.5)


@pytest.mark.parametrize('change', [_swap_hubs, _leave, _stop_hub])
def test_usage_counts_once_when_hubs_change(
    change: Callable[[list[Node]], Awaitable[None]],
) -> None:
    """Usage stays the same when summary senders change or VMs leave.

    When the second hub of a data centre becomes the first, its sums must
    not count as new usage: workspaces were then refused for using many
    times their quota.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            workspace = nodes[0].view.configuration.workspaces['workspace']
            # The usage that is assumed for the past has expired by then.
            await asyncio.sleep(9.0)
            assert not nodes[4].quotas.charge(workspace, 4000.0)
            await asyncio.sleep(1.0)
            await change(nodes)
            used = [n.quotas.used_tokens(workspace) for n in nodes]
            assert used == [4000.0] * len(nodes)

    asyncio.run(body())


def test_crash_requests_are_known_beyond_the_hub() -> None:
    """Targets that crash under a request count at all VMs.

    Guards against hubs that report only crashes that they saw themselves.
    A response at one VM ends the quarantine at all.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            await asyncio.sleep(peers.STARTING_S)
            target = nodes[0].targets.states['a1'].target
            poison = Suspect(SuspectKind.SEGMENT, 'dead')
            for number, node in enumerate(nodes[2:]):
                node.crashes.record_crash(
                    [poison], target._replace(started_at_ms=number), 0.0
                )
            await wait_until(
                lambda: all(n.crashes.is_quarantined([poison]) for n in nodes),
                2.0,
            )
            nodes[-1].crashes.record_response([poison], target, 0.0)
            await wait_until(
                lambda: (
                    not any(n.crashes.is_quarantined([poison]) for n in nodes)
                ),
                2.0,
            )

    asyncio.run(body())
