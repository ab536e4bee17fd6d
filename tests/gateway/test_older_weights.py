"""Engines that go back to older weights."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from deployments import MODEL
from deployments import wait_until
import pytest

_ASKS = 20
_PAUSE_S = 0.2
_SETTLED_S = 0.6


@pytest.mark.parametrize('newest', [2, 3])
def test_engine_that_went_back_is_not_upgraded_again(newest: int) -> None:
    """An engine that carried out an older order late gets a new one.

    VMs believed the newest version that it ever had, and it refused all
    their requests.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            engine = deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            deployment.announce_weights(newest)
            await wait_until(lambda: engine.versions[MODEL] == newest)
            deployment.register('e1', 'llm')
            await asyncio.sleep(_SETTLED_S)
            engine.versions[MODEL] = 1
            engine.orders.clear()
            deployment.register('e1', 'llm')
            for _ in range(_ASKS):
                await deployment.ask(node, '/chat/x', b'{}', '1000,20')
                await asyncio.sleep(_PAUSE_S)
            assert engine.versions[MODEL] == newest

    asyncio.run(body())
