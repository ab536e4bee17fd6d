"""Calls that state no tokens, for which the model is not known."""

from __future__ import annotations

import asyncio

from deployments import BOUNDS
from deployments import Deployment
from deployments import MODEL
from deployments import wait_until
import pytest

_BOUNDS = BOUNDS._replace(stale_weights_limit=2.0)
_TOO_OLD_S = 2.1
_CALLS = 6
_PAUSE_S = 0.2


@pytest.mark.parametrize('headers', [{}, {'X_Model': MODEL}])
def test_call_without_tokens_begins_on_old_weights(
    headers: dict[str, str],
) -> None:
    """An engine whose weights are too old gets no such call either."""

    async def body() -> None:
        async with Deployment() as deployment:
            engine = deployment.add_replica('e1', 'llm')
            # The engine is not in reach of the orders.
            engine.plan.delayed_orders = 99
            engine.plan.order_delay_s = 9.0
            node = await deployment.start_node('vm1', _BOUNDS)
            response = await deployment.ask(node, '/chat/x', b'{}', **headers)
            assert response.status == 200
            deployment.announce_weights(2)
            await wait_until(
                lambda: node.view.stale_for(MODEL, 1) > _TOO_OLD_S
            )
            engine.runs.clear()
            for _ in range(_CALLS):
                await deployment.ask(
                    node, '/chat/x', b'{}', X_Deadline_Ms='600', **headers
                )
                await asyncio.sleep(_PAUSE_S)
            assert not engine.runs

    asyncio.run(body())
