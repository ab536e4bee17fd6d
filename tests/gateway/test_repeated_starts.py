"""No later attempt, and no other VM, begins a request on old weights."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib

from deployments import BOUNDS
from deployments import Deployment
from deployments import MODEL
from deployments import wait_until
from lentilrun.gateway.node import Node
from lentilrun.standins.replica import ReplicaPlan
import pytest
from targetcuts import Cut
from targetcuts import TargetPaths

_STALE_LIMIT_S = 2.0
_BOUNDS = BOUNDS._replace(stale_weights_limit=_STALE_LIMIT_S)
# Longer than the time that is left when the request is sent.
_QUEUE_S = 1.8
_SENT_AFTER_S = 0.4
_LARGE_BODY = b'x' * 300_000
_TOKENS = '1000,20'


def _make_deaf_plan() -> ReplicaPlan:
    """Return the plan of an engine that does not load weights."""
    plan = ReplicaPlan()
    plan.delayed_orders = 99
    plan.order_delay_s = 9.0
    return plan


@contextlib.asynccontextmanager
async def _run(vms: int) -> AsyncIterator[tuple[Deployment, list[Node]]]:
    async with Deployment() as deployment:
        deployment.add_replica('a1', 'app')
        for name in ('e1', 'e2'):
            deployment.add_replica(name, 'llm').plan = _make_deaf_plan()
        nodes = [
            await deployment.start_node(f'vm{n}', _BOUNDS) for n in range(vms)
        ]
        await wait_until(
            lambda: all(
                len(n.peers.list_responsive()) == vms - 1 for n in nodes
            )
        )
        yield deployment, nodes


async def _announce(deployment: Deployment, nodes: list[Node]) -> float:
    """Announce weights; return when, by the loop, after a short time."""
    deployment.announce_weights(2)
    announced_at = asyncio.get_running_loop().time()
    for node in nodes:
        await wait_until(
            lambda node=node: (
                node.view.stale_for(MODEL, 1) > _SENT_AFTER_S
                and bool(node.targets.list_usable('llm'))
            )
        )
    return announced_at


def _list_late(deployment: Deployment, announced_at: float) -> list[float]:
    """Return the ages of the weights of runs that began too late."""
    ages = [
        run.started_at - announced_at
        for state in deployment.replicas.values()
        for run in state.runs
        if run.versions.get(MODEL) == 1
    ]
    return [a for a in ages if a > _STALE_LIMIT_S]


@pytest.mark.parametrize('fault', ['cut', 'full'])
@pytest.mark.parametrize('body', [b'{}', _LARGE_BODY])
def test_second_attempt_waits_past_the_limit(fault: str, body: bytes) -> None:
    """An attempt after another one, also of a stream, is taken back too."""

    async def main() -> None:
        async with _run(1) as (deployment, nodes):
            announced_at = await _announce(deployment, nodes)
            for state in deployment.replicas.values():
                state.plan.fault = fault
                state.plan.fault_count = 1
            call = asyncio.ensure_future(
                deployment.ask(
                    nodes[0], '/talk/x', body, _TOKENS, X_Deadline_Ms='6000'
                )
            )
            await wait_until(
                lambda: any(
                    not s.plan.fault_count
                    for s in deployment.replicas.values()
                )
            )
            for name in ('e1', 'e2'):
                state = deployment.replicas[name]
                state.plan = _make_deaf_plan()
                state.plan.queue_s = _QUEUE_S
            await call
            await asyncio.sleep(_STALE_LIMIT_S)
            assert not _list_late(deployment, announced_at)

    asyncio.run(main())


@pytest.mark.parametrize('gives_up', [False, True])
def test_forwarded_call_waits_past_the_limit(gives_up: bool) -> None:
    """The helper takes a call back, also if the other VM's caller is gone."""

    async def main() -> None:
        async with _run(2) as (deployment, nodes):
            async with TargetPaths(nodes[0], deployment) as paths:
                paths.cut(Cut.RESET)
                await deployment.ask(nodes[0], '/plain/x')
                await wait_until(nodes[0].reachability.is_cut_off)
                announced_at = await _announce(deployment, nodes)
                for name in ('e1', 'e2'):
                    deployment.replicas[name].plan.queue_s = _QUEUE_S
                call = asyncio.ensure_future(
                    deployment.ask(
                        nodes[0],
                        '/talk/x',
                        b'{}',
                        _TOKENS,
                        X_Deadline_Ms='6000',
                    )
                )
                await wait_until(
                    lambda: any(
                        s.in_flight for s in nodes[1].targets.states.values()
                    )
                )
                if gives_up:
                    call.cancel()
                await asyncio.wait([call])
                await asyncio.sleep(_STALE_LIMIT_S)
                assert not _list_late(deployment, announced_at)

    asyncio.run(main())
