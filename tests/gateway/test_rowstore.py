"""The stand-in for the row store fails as the platform's store does."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from lentilrun.config.ini import Address
from lentilrun.coordination.clock import SystemClock
from lentilrun.errors import PlatformError
from lentilrun.platform.rows import RowStore
from lentilrun.web.client import Client
import pytest

_WAIT_S = 5.0
_TIMEOUT_S = 2.0


def test_outage_ends_a_call_that_waits_for_changes() -> None:
    """No call outlasts an outage, however long it may wait."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            address: Address = node.settings.store
            with Client() as client:
                store = RowStore(client, address, SystemClock())
                version = (await store.read('servers')).store_version
                call = asyncio.ensure_future(
                    store.follow('servers', version, _WAIT_S)
                )
                await asyncio.sleep(0.2)
                assert not call.done()
                deployment.store.faults.is_down = True
                async with asyncio.timeout(_TIMEOUT_S):
                    with pytest.raises(PlatformError):
                        await call

    asyncio.run(body())
