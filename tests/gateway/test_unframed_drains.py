"""Responses without a length of targets that drain meanwhile."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import deployments
from deployments import Deployment
from deployments import wait_until
import pytest

_TIMEOUT_MS = 6000
_INTERVAL_S = 0.4
_EVENTS = 4
_STREAMS = ('/talk/x', '/chat/x')


class _Case(NamedTuple):
    """A call, and whether the VM leaves while its target responds."""

    path: str
    is_leaving: bool


_CASES = {
    f'{path.split("/")[1]}-{"leaving" if is_leaving else "staying"}': _Case(
        path, is_leaving
    )
    for path in (*_STREAMS, '/plain/x')
    for is_leaving in (False, True)
}


@pytest.mark.parametrize('name', _CASES)
def test_response_of_a_target_that_takes_no_more_connections(
    name: str,
) -> None:
    """A target that drains completes its response; it is passed on whole."""
    case = _CASES[name]

    async def body() -> None:
        is_stream = case.path in _STREAMS
        service = 'llm' if is_stream else 'app'
        async with Deployment() as deployment:
            deployment.lengthen_timeouts(_TIMEOUT_MS)
            target = deployment.add_replica('a1', service)
            target.plan.is_framed = False
            target.plan.event_count = _EVENTS
            target.plan.event_interval_s = _INTERVAL_S
            if not is_stream:
                target.plan.response_delay_s = _EVENTS * _INTERVAL_S
            node = await deployment.start_node('vm1')
            await wait_until(lambda: len(node.targets.states) == 1)
            call = asyncio.ensure_future(
                deployment.ask(
                    node,
                    case.path,
                    b'x' if is_stream else b'',
                    '300,20' if is_stream else '',
                    X_Deadline_Ms=str(_TIMEOUT_MS),
                )
            )
            await wait_until(lambda: bool(target.runs))
            deployment._servers['a1'].stop()
            deployment.register('a1', service, 'draining')
            if case.is_leaving:
                await node.leave()
            response: deployments.CallerResponse = await call
            assert (response.status, response.is_whole) == (200, True)

    asyncio.run(body())
