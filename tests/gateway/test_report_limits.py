"""Targets that are slow or full when they are asked for their report."""

from __future__ import annotations

import asyncio
import socket
import struct

from deployments import CallerResponse
from deployments import Deployment
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import MODEL
import pytest
from scriptedtargets import make_events
from scriptedtargets import UNFRAMED

_LOOPBACK = '127.0.0.1'
_LINGER_OFF = struct.pack('ii', 1, 0)
_SLOW_S = 0.6
_STREAM_HEAD = f'HTTP/1.1 {UNFRAMED}X-Response-Signature: s\r\n\r\n'.encode()
_BODY = b'{"models":[{"name":"x","version":1}]}'
_REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
    len(_BODY),
    _BODY,
)


class _Target:
    """Streams without framing; resets or delays what comes after one."""

    def __init__(self, report: str) -> None:
        self._report = report
        self._has_streamed = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        try:
            await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._has_streamed and self._report == 'reset':
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF
            )
            return
        head = await reader.readuntil(b'\r\n\r\n')
        if not head.startswith(b'GET '):
            writer.write(_STREAM_HEAD + make_events(1, 2))
            self._has_streamed = True
            return
        if self._has_streamed:
            await asyncio.sleep(_SLOW_S)
        writer.write(_REPORT)


@pytest.mark.parametrize(
    ('report', 'is_whole'), [('slow', True), ('reset', False)]
)
def test_stream_of_a_busy_target(report: str, is_whole: bool) -> None:
    """A slow target runs; one that resets connections may have ended."""

    async def body() -> CallerResponse:
        target = _Target(report)
        server = await asyncio.start_server(target.serve, _LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        row = make_target_row(
            'llm', f'{_LOOPBACK}:{port}', {MODEL: 1}, 'ready'
        )
        async with server, Deployment() as deployment:
            deployment.store.put('servers', 'e1', row)
            node = await deployment.start_node('vm1')
            response = await deployment.ask(node, '/chat/x', b'x', '9,9')
            await asyncio.sleep(2 * _SLOW_S)
            return response

    response = asyncio.run(body())
    assert response.body == make_events(1, 2)
    assert response.is_whole is is_whole
