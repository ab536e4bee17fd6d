"""Bodies without a length whose target is killed are not complete."""

from __future__ import annotations

import asyncio

from deployments import Deployment
import pytest
from scriptedtargets import Fate
from scriptedtargets import Script
from scriptedtargets import ScriptedTargets

_JSON = '200 OK\r\nContent-Type: application/json\r\n'


@pytest.mark.parametrize('part', [b'', b'{"verdict": '])
def test_body_of_a_killed_target_is_not_complete(part: bytes) -> None:
    """What arrived before the target ended isn't given out as a success."""

    async def body() -> None:
        script = Script(_JSON, (part,), 'fin', Fate.GONE)
        async with Deployment() as deployment:
            async with ScriptedTargets(deployment, (script,)):
                node = await deployment.start_node('vm1')
                response = await deployment.ask(node, '/chat/x', b'x', '9,9')
                assert response.status == 502

    asyncio.run(body())
