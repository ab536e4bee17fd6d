"""VMs that are cut from all targets while some of these leave."""

from __future__ import annotations

import asyncio
import time

from deployments import Deployment
from deployments import make_configuration
from deployments import wait_until
import pytest
from targetcuts import Cut
from targetcuts import TargetPaths

_TIMEOUT_MS = 9000
_FIRST_DELAY_S = 8.0
_MAX_SECONDS = 5.0


def _lengthen_timeouts(deployment: Deployment) -> None:
    configuration = make_configuration(2)
    for route in configuration['routes']:
        route['timeout-ms'] = _TIMEOUT_MS
        route['target-latency-ms'] = _TIMEOUT_MS
    deployment.configure(configuration)


def _change_row(deployment: Deployment, row: str) -> None:
    if row == 'removed':
        deployment.store.put('servers', 'old', None)
    else:
        deployment.register('old', 'app', row)


@pytest.mark.parametrize('row', ['ready', 'draining', 'removed'])
def test_call_that_another_vm_can_repeat(row: str) -> None:
    """It waited until its deadline for a target that leaves.

    Its VM knew that it had no path to any target.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            _lengthen_timeouts(deployment)
            old = deployment.add_replica('old', 'app')
            old.plan.response_delay_s = _FIRST_DELAY_S
            node = await deployment.start_node('vm1')
            await deployment.start_node('vm2')
            await wait_until(lambda: len(node.peers.list_responsive()) == 1)
            # The proxies are for the targets that there are.
            deployment.add_replica('new', 'app')
            async with TargetPaths(node, deployment) as paths:
                await wait_until(lambda: len(node.targets.states) == 2)
                node.targets.states['new'].blocked_until = (
                    node.clock.now() + 0.5
                )
                call = asyncio.ensure_future(
                    deployment.ask(
                        node, '/plain/x', X_Deadline_Ms=str(_TIMEOUT_MS)
                    )
                )
                await wait_until(lambda: bool(old.runs))
                _change_row(deployment, row)
                await asyncio.sleep(0.4)
                started_at = time.monotonic()
                paths.cut(Cut.SILENT)
                response = await call
                assert response.status == 200
                assert time.monotonic() - started_at < _MAX_SECONDS

    asyncio.run(body())
