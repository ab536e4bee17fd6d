"""Every engine in reach gets its order before its weights are too old."""

from __future__ import annotations

import asyncio
from typing import Any

from deployments import CallerResponse
from deployments import Deployment
from deployments import make_configuration
from deployments import MODEL
from deployments import wait_until
from lentilrun.gateway.node import Node

_STALE_LIMIT_S = 8.0
# Longer than the limit; no engine may take it over.
_EVENT_COUNT = 48
_EVENT_INTERVAL_S = 0.25
_STREAMS = 8
_STREAM_INTERVAL_S = 0.1


def _allow_long_streams() -> dict[str, Any]:
    configuration = make_configuration(2)
    for route in configuration['routes']:
        route['timeout-ms'] = 20_000
    return configuration


async def _start_streams(
    deployment: Deployment, node: Node
) -> list[asyncio.Future[CallerResponse]]:
    streams = []
    for number in range(_STREAMS):
        call = deployment.ask(
            node,
            '/chat/x',
            b'{}',
            '1000,20',
            X_Deadline_Ms='15000',
            X_Prefix_Hash=f'{number}:1000',
        )
        streams.append(asyncio.ensure_future(call))
        await asyncio.sleep(_STREAM_INTERVAL_S)
    return streams


def test_engines_in_service_wait_for_long_streams_of_others() -> None:
    """Long streams of some engines do not delay the orders of others."""

    async def body() -> None:
        async with Deployment() as deployment:
            for number in range(4):
                plan = deployment.add_replica(f'e{number}', 'llm').plan
                plan.event_count = _EVENT_COUNT
                plan.event_interval_s = _EVENT_INTERVAL_S
            deployment.configure(_allow_long_streams())
            node = await deployment.start_node('vm1')
            states = list(deployment.replicas.values())
            streams = await _start_streams(deployment, node)
            assert all(s.runs for s in states)
            deployment.announce_weights(2)
            await wait_until(lambda: node.view.is_replaced(MODEL, 1))
            await asyncio.sleep(_STALE_LIMIT_S)
            assert [len(s.orders) for s in states] == [1] * 4
            for stream in streams:
                stream.cancel()

    asyncio.run(body())
