"""Streams that a target stops at its deadline don't look complete.

A target stops its work at the time that it was given, and may end its stream
then. The router ends the exchange before that.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from typing import TYPE_CHECKING

from deployments import CallerResponse
from deployments import Deployment
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import MODEL
import pytest
from scriptedtargets import CHUNKED
from scriptedtargets import make_chunk
from scriptedtargets import make_events

if TYPE_CHECKING:
    from lentilrun.gateway.node import Node

_LOOPBACK = '127.0.0.1'
_DEADLINE_MS = 400
_CALLS = 100
_PAUSE_S = 0.0137
# A target's timer may be early by this; the router gives it 0.1 s more.
_EARLY_S = 0.05
# A caller that gets no stream, as the target or the router stalls, asks again
# after this time, and so often at most.
_RETRY_S = 0.25
_MAX_ASKS = 20
_NO_STREAM = (503, 504)


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send one event, and the end of the stream just before the deadline."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            received_at = loop.time()
            lines = text.strip().split('\r\n')
            fields = dict(line.split(': ', 1) for line in lines[1:])
            await reader.readexactly(int(fields.get('Content-Length', 0)))
            if lines[0].startswith('GET '):
                break
            writer.write(
                f'HTTP/1.1 {CHUNKED}X-Request-Id: {fields["X-Request-Id"]}'
                '\r\nX-Response-Signature: s\r\n\r\n'.encode()
            )
            writer.write(make_chunk(make_events(1)))
            given = int(fields['X-Deadline-Ms']) / 1e3 - _EARLY_S
            await asyncio.sleep(received_at + given - loop.time())
            writer.write(make_chunk(b''))
    writer.close()


class _Target:
    """A target in a thread with a loop of its own, as a process has."""

    def __enter__(self) -> int:
        """Return the port."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        server = asyncio.run_coroutine_threadsafe(
            asyncio.start_server(_serve, _LOOPBACK, 0), self._loop
        ).result()
        port: int = server.sockets[0].getsockname()[1]
        return port

    def __exit__(self, *exception: object) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


def _configure(deployment: Deployment) -> None:
    """State as many slots as the target has: it serves all calls at once.

    If it stated fewer, calls behind more than that would be refused while
    it is silent for a moment, since they seem to wait for a slot.
    """
    configuration = make_configuration(2)
    configuration['services'][0]['engine']['slots'] = _CALLS
    deployment.configure(configuration)


async def _ask(
    deployment: Deployment, node: Node, path: str
) -> CallerResponse:
    """Return the response with a stream, or the last one without."""
    for _ in range(_MAX_ASKS):
        response = await deployment.ask(
            node, path, b'x', '9,9', X_Deadline_Ms=str(_DEADLINE_MS)
        )
        if response.status not in _NO_STREAM:
            break
        await asyncio.sleep(_RETRY_S)
    return response


async def _ask_often(path: str, port: int) -> list[CallerResponse]:
    async with Deployment() as deployment:
        _configure(deployment)
        row = make_target_row(
            'llm', f'{_LOOPBACK}:{port}', {MODEL: 1}, 'ready'
        )
        deployment.store.put('servers', 'e1', row)
        node = await deployment.start_node('vm1')
        asks = []
        for _ in range(_CALLS):
            ask = _ask(deployment, node, path)
            asks.append(asyncio.ensure_future(ask))
            await asyncio.sleep(_PAUSE_S)
        return await asyncio.gather(*asks)


@pytest.mark.parametrize('path', ['/chat/x', '/talk/x'])
def test_stream_is_not_complete_at_its_deadline(path: str) -> None:
    """The router breaks a stream off before its target may end it."""
    with _Target() as port:
        responses = asyncio.run(_ask_often(path, port))
    assert {r.body for r in responses} == {make_events(1)}
    assert sum(r.is_whole for r in responses) == 0
