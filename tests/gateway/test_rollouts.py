"""Roll-outs on real nodes: a good version is completed, a bad one banned."""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

from deployments import Deployment
from lentilrun.gateway.node import Node
import pytest

_REQUESTS_PER_S = 60.0
_DURATION_S = 6.0
_OLD_DELAY_S = 0.02
_EXPOSURE_SHARE = 0.1
_EXPOSURE_SLACK = 50
# A bad version gets no request that is sent later than this after its 50th
# bad response.
_ROLLBACK_S = 5.0


class _Version(NamedTuple):
    """How the replicas of a new version behave."""

    response_delay_s: float = _OLD_DELAY_S
    failure_interval: int = 0
    expected_state: str = 'rolled_back'


_VERSIONS = {
    'good': _Version(expected_state='completed'),
    'fails': _Version(failure_interval=2),
    'slow': _Version(response_delay_s=6 * _OLD_DELAY_S),
}


def _add_replicas(
    deployment: Deployment, software_version: str, version: _Version
) -> None:
    for number in range(3):
        name = f'{software_version}-{number}'
        state = deployment.add_replica(name, 'app', software_version)
        state.plan.response_delay_s = version.response_delay_s
        state.plan.failure_interval = version.failure_interval


def _count_runs(deployment: Deployment, software_version: str) -> int:
    return sum(
        len(s.runs)
        for n, s in deployment.replicas.items()
        if deployment.software_versions[n] == software_version
    )


async def _send_traffic(
    deployment: Deployment, nodes: list[Node], seconds: float
) -> list[int]:
    """Send requests to random nodes; return the statuses."""
    draws = random.Random(1)
    until = time.monotonic() + seconds
    tasks = []
    while time.monotonic() < until:
        request = deployment.ask(draws.choice(nodes), '/plain/x')
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(draws.expovariate(_REQUESTS_PER_S))
    return [r.status for r in await asyncio.gather(*tasks)]


@pytest.mark.parametrize('name', _VERSIONS)
def test_bad_version_is_not_kept(name: str) -> None:
    """A bad version gets no more than its share and is rolled back."""
    version = _VERSIONS[name]

    async def body() -> None:
        async with Deployment() as deployment:
            _add_replicas(deployment, 'v1', _Version())
            nodes = [await deployment.start_node(f'vm{n}') for n in (1, 2)]
            await _send_traffic(deployment, nodes, 3.5)
            before = _count_runs(deployment, 'v1')
            deployment.order_rollout('app', 'v2', _DURATION_S)
            _add_replicas(deployment, 'v2', version)
            await _send_traffic(deployment, nodes, _DURATION_S)
            status = deployment.read_rollout_status('app')
            assert status == {'state': version.expected_state, 'to': 'v2'}
            new = _count_runs(deployment, 'v2')
            if version.expected_state == 'completed':
                assert new > 0
                return
            total = new + _count_runs(deployment, 'v1') - before
            assert new <= _EXPOSURE_SHARE * total + _EXPOSURE_SLACK
            await _send_traffic(deployment, nodes, 1.0)
            assert _count_runs(deployment, 'v2') == new

    asyncio.run(body())
