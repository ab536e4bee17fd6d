"""Roll-outs while the store is restored from an older copy."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from deployments import wait_until
from lentilrun.decisions.rollouts import Step
from lentilrun.gateway.node import Node
from lentilrun.gateway import rolloutdriver
import pytest

_DURATION_S = 30.0
_REWRITE_S = 0.3


async def _start(deployment: Deployment) -> list[Node]:
    for version in ('v1', 'v2'):
        for number in range(2):
            deployment.add_replica(f'{version}-{number}', 'app', version)
    return [await deployment.start_node(f'vm{n}') for n in (1, 2)]


def _read_state(deployment: Deployment) -> str:
    return str(deployment.read_rollout_status('app').get('state', ''))


def _read_target(deployment: Deployment) -> str:
    return str(deployment.read_rollout_status('app').get('to', ''))


@pytest.mark.parametrize('is_in_copy', [True, False])
def test_order_that_is_written_again(is_in_copy: bool) -> None:
    """It is the same roll-out, which goes on and is not counted anew."""

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            copy = deployment.store.copy()
            deployment.order_rollout('app', 'v2', _DURATION_S)
            if is_in_copy:
                copy = deployment.store.copy()
            await wait_until(lambda: _read_state(deployment) == 'running')
            rollouts = [n.rollouts.by_service['app'] for n in nodes]
            deployment.store.restore(copy)
            await asyncio.sleep(_REWRITE_S)
            deployment.order_rollout('app', 'v2', _DURATION_S)
            await wait_until(lambda: _read_state(deployment) == 'running')
            await wait_until(
                lambda: len({r.order.row_version for r in rollouts}) == 1
            )
            assert [n.rollouts.by_service['app'] for n in nodes] == rollouts

    asyncio.run(body())


@pytest.mark.parametrize(
    ('step', 'state'),
    [(Step.ROLL_BACK, 'rolled_back'), (Step.COMPLETE, 'completed')],
)
def test_final_status_that_was_lost(
    step: Step, state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is written again, though the roll-out has ended."""

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            deployment.order_rollout('app', 'v2', _DURATION_S)
            await wait_until(lambda: _read_state(deployment) == 'running')
            copy = deployment.store.copy()
            monkeypatch.setattr(rolloutdriver, 'decide_step', lambda _: step)
            await wait_until(lambda: _read_state(deployment) == state)
            await wait_until(
                lambda: all(
                    n.rollouts.by_service['app'].is_resolved() for n in nodes
                )
            )
            deployment.store.restore(copy)
            assert _read_state(deployment) == 'running'
            deployment.order_rollout('app', 'v2', _DURATION_S)
            await wait_until(lambda: _read_state(deployment) == state, 9.0)

    asyncio.run(body())


def test_order_that_the_copy_has_instead_of_the_newest() -> None:
    """It replaces neither the newer order nor the progress of that one."""

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            deployment.order_rollout('app', 'v1', _DURATION_S)
            await wait_until(lambda: _read_state(deployment) == 'running')
            copy = deployment.store.copy()
            deployment.order_rollout('app', 'v2', _DURATION_S)
            await wait_until(
                lambda: all(
                    n.rollouts.by_service['app'].version == 'v2' for n in nodes
                )
            )
            rollouts = [n.rollouts.by_service['app'] for n in nodes]
            deployment.store.restore(copy)
            await asyncio.sleep(_REWRITE_S)
            deployment.order_rollout('app', 'v2', _DURATION_S)
            await wait_until(
                lambda: all(
                    n.rollouts.by_service['app'].version == 'v2' for n in nodes
                )
            )
            assert [n.rollouts.by_service['app'] for n in nodes] == rollouts

    asyncio.run(body())


def test_final_status_that_the_copy_has_of_another_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The status of the newest order is written again all the same."""
    monkeypatch.setattr(rolloutdriver, 'decide_step', lambda _: Step.COMPLETE)

    async def body() -> None:
        async with Deployment() as deployment:
            nodes = await _start(deployment)
            deployment.order_rollout('app', 'v1', _DURATION_S)
            await wait_until(lambda: _read_state(deployment) == 'completed')
            copy = deployment.store.copy()
            deployment.order_rollout('app', 'v2', _DURATION_S)
            await wait_until(lambda: _read_target(deployment) == 'v2')
            await wait_until(lambda: _read_state(deployment) == 'completed')
            await wait_until(
                lambda: all(
                    n.rollouts.by_service['app'].version == 'v2'
                    and n.rollouts.by_service['app'].is_resolved()
                    for n in nodes
                )
            )
            deployment.store.restore(copy)
            assert _read_target(deployment) == 'v1'
            deployment.order_rollout('app', 'v2', _DURATION_S)
            await wait_until(
                lambda: (
                    _read_target(deployment) == 'v2'
                    and _read_state(deployment) == 'completed'
                ),
                9.0,
            )

    asyncio.run(body())
