"""Callers that speak HTTP/1.0 see that a stream has broken off."""

from __future__ import annotations

import asyncio

from deployments import Deployment
import pytest
from scriptedtargets import make_chunked
from scriptedtargets import make_events
from scriptedtargets import ScriptedTargets


@pytest.mark.parametrize('is_ended', [True, False])
def test_broken_stream_is_reset(is_ended: bool) -> None:
    """A stream that ends with its connection is reset if it broke off."""

    async def body() -> None:
        script = make_chunked(make_events(1), is_ended=is_ended)
        async with Deployment() as deployment:
            async with ScriptedTargets(deployment, (script,)):
                node = await deployment.start_node('vm1')
                request = deployment.make_request('/chat/x', b'x', '9,9', {})
                request = request.replace(b'HTTP/1.1', b'HTTP/1.0', 1)
                reader, writer = await asyncio.open_connection(
                    *node.settings.entry
                )
                writer.write(request)
                if is_ended:
                    response = await reader.read()
                    assert response.endswith(b'\r\n\r\n' + make_events(1))
                else:
                    with pytest.raises(ConnectionResetError):
                        await reader.read()
                writer.close()

    asyncio.run(body())
