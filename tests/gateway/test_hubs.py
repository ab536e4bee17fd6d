"""A larger fleet: hubs follow the store and hand on what they know."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from deployments import Deployment
from deployments import make_configuration
from deployments import wait_until
from lentilrun.decisions import topology
from lentilrun.gateway.node import Node
from lentilrun.gateway import peers
import pytest


@pytest.fixture(autouse=True)
def small_mesh(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Let a fleet of five count as large."""
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


def _versions(nodes: list[Node]) -> set[int]:
    return {n.view.configuration.version for n in nodes}


def test_rows_reach_all_and_cost_few_calls() -> None:
    """A change is in force everywhere though few VMs read the store."""

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            await asyncio.sleep(2.2)
            before = [n.store.calls for n in nodes]
            deployment.configure(make_configuration(7))
            await wait_until(lambda: _versions(nodes) == {7}, 2.0)
            await asyncio.sleep(1.0)
            calls = [
                n.store.calls - b for n, b in zip(nodes, before, strict=True)
            ]
            assert sum(calls[2:]) == 0

    asyncio.run(body())


def test_a_lost_hub_is_replaced() -> None:
    """When both hubs fall silent, changes still reach the others."""

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            for node in nodes[:2]:
                await node.__aexit__(None, None, None)
            deployment.configure(make_configuration(9))
            await wait_until(lambda: _versions(nodes[2:]) == {9}, 4.0)

    asyncio.run(body())


def test_use_is_known_beyond_the_hub() -> None:
    """What one VM lets in counts at all others, once."""

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            workspace = nodes[0].view.configuration.workspaces['workspace']
            # What is assumed of the time before the start is over by then.
            await asyncio.sleep(9.0)
            assert not nodes[4].quotas.charge(workspace, 4000.0)
            await asyncio.sleep(1.5)
            used = [n.quotas.used(workspace) for n in nodes]
            assert used == [4000.0] * 5

    asyncio.run(body())
