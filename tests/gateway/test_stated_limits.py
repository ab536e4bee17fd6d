"""Limits that targets state in their responses, over real connections."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from deployments import wait_until
import pytest

_LIMIT_PER_S = 1.0
_REQUESTS_PER_S = 40.0
_SEND_S = 3.0
# What one and a half times the limit allows in 4 s, and 5 requests more.
_MAX_REQUESTS = 11


async def _send(deployment: Deployment, path: str) -> list[int]:
    """Send requests to all VMs in turn; return the statuses."""
    nodes = list(deployment.nodes.values())
    tokens = '1000,20' if path == '/chat/x' else ''
    body = b'{}' if tokens else b''
    tasks = []
    for number in range(int(_REQUESTS_PER_S * _SEND_S)):
        node = nodes[number % len(nodes)]
        call = deployment.ask(node, path, body, tokens)
        tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(1.0 / _REQUESTS_PER_S)
    return [r.status for r in await asyncio.gather(*tasks)]


@pytest.mark.parametrize(
    ('service', 'path'), [('app', '/plain/x'), ('llm', '/chat/x')]
)
@pytest.mark.parametrize('fault', ['', 'full'])
def test_limit_that_one_vm_learns(service: str, path: str, fault: str) -> None:
    """All VMs keep it after a response, or a refusal, to one of them."""

    async def body() -> None:
        async with Deployment() as deployment:
            limited = deployment.add_replica('r1', service)
            for name in ('vm1', 'vm2', 'vm3'):
                await deployment.start_node(name)
            nodes = list(deployment.nodes.values())
            await wait_until(
                lambda: all(len(n.peers.list_responsive()) == 2 for n in nodes)
            )
            limited.plan.rate_limit = _LIMIT_PER_S
            limited.plan.fault = fault
            limited.plan.fault_count = 1
            tokens = '1000,20' if service == 'llm' else ''
            await deployment.ask(nodes[0], path, b'{}', tokens)
            await wait_until(
                lambda: all(
                    n.targets.states['r1'].rate_limit.limit == _LIMIT_PER_S
                    for n in nodes
                )
            )
            deployment.add_replica('r2', service)
            await wait_until(
                lambda: all('r2' in n.targets.states for n in nodes)
            )
            before = len(limited.runs)
            statuses = await _send(deployment, path)
            assert len(limited.runs) - before <= _MAX_REQUESTS
            assert set(statuses) == {200}

    asyncio.run(body())
