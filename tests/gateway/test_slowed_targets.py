"""Calls to a target that was slow for a time."""

from __future__ import annotations

import asyncio
import contextlib

from deployments import Deployment
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import MODEL
from scriptedtargets import CHUNKED
from scriptedtargets import make_chunk
from scriptedtargets import make_events

_LOOPBACK = '127.0.0.1'
_PATH = '/talk/x'
_FIRST_EVENT_S = 0.05
# More than a first event takes, less than at the pace that was recorded.
_DEADLINE_MS = '600'
_CALLS = 20
# How much longer than expected the first events of the slow time came.
_SLOW_PACE = 20.0


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send streams of one event."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            lines = text.strip().split('\r\n')
            fields = dict(line.split(': ', 1) for line in lines[1:])
            await reader.readexactly(int(fields.get('Content-Length', 0)))
            if lines[0].startswith('GET '):
                break
            await asyncio.sleep(_FIRST_EVENT_S)
            writer.write(
                f'HTTP/1.1 {CHUNKED}X-Request-Id: {fields["X-Request-Id"]}'
                '\r\nX-Response-Signature: s\r\n\r\n'.encode()
            )
            writer.write(make_chunk(make_events(1)))
            writer.write(make_chunk(b''))
    writer.close()


def test_idle_target_that_was_slow_gets_calls() -> None:
    """All calls were refused for 40 s, as none showed a better pace.

    The only target of a service was so slow that a call would have missed
    its deadline there. What is known of its pace changes with its requests.
    """

    async def body() -> None:
        server = await asyncio.start_server(_serve, _LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        async with server, Deployment() as deployment:
            row = make_target_row(
                'llm', f'{_LOOPBACK}:{port}', {MODEL: 1}, 'ready'
            )
            deployment.store.put('servers', 'e1', row)
            node = await deployment.start_node('vm1')

            async def ask() -> int:
                response = await deployment.ask(
                    node, _PATH, b'x', '9,9', X_Deadline_Ms=_DEADLINE_MS
                )
                return response.status

            assert [await ask() for _ in range(_CALLS)] == [200] * _CALLS
            state = node.targets.states['e1']
            for _ in range(_CALLS):
                state.record_pace(node.clock.now(), _SLOW_PACE, 1.0)
            slow_pace = state.count_pace(node.clock.now())
            assert [await ask() for _ in range(_CALLS)] == [200] * _CALLS
            pace = state.count_pace(node.clock.now())
            assert (
                pace.total / pace.requests
                < slow_pace.total / slow_pace.requests
            )

    asyncio.run(body())
