"""Targets that answer at once, and read the body of a request later."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import re
import socket

from deployments import Deployment
from deployments import make_configuration
from deployments import wait_until
from earlytargets import LONG_UPLOAD_BYTES
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import MODEL
import pytest
from scriptedtargets import make_chunk
from scriptedtargets import make_events

_TIMEOUT_MS = 8000
_EVENTS = 20
_INTERVAL_S = 0.2
# Few bytes of a body that isn't read fit into the kernel.
_RECEIVE_BUFFER_BYTES = 4096
_FIELD = re.compile(rb'(?i)\r\n(x-request-id|content-length): (\S+)')
_REPORT = b'{"models":[{"name":"model","version":1}]}'


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send events for some seconds, then read the body, then end."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            if b'/lentilrun/report' in head:
                length = b'Content-Length: %d' % len(_REPORT)
                writer.write(b'HTTP/1.1 200 OK\r\n%s\r\n\r\n' % length)
                writer.write(_REPORT)
                continue
            fields = {n.lower(): v for n, v in _FIELD.findall(head)}
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                b'Transfer-Encoding: chunked\r\nX-Response-Signature: s\r\n'
                b'X-Request-Id: %s\r\n\r\n' % fields[b'x-request-id']
            )
            for number in range(1, _EVENTS + 1):
                writer.write(make_chunk(make_events(number)))
                await asyncio.sleep(_INTERVAL_S)
            await reader.readexactly(int(fields[b'content-length']))
            writer.write(make_chunk(b''))
    writer.close()


@contextlib.asynccontextmanager
async def _run_target(deployment: Deployment) -> AsyncIterator[None]:
    listener = socket.socket()
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    listener.bind(('127.0.0.1', 0))
    host, port = listener.getsockname()
    row = make_target_row('llm', f'{host}:{port}', {MODEL: 1}, 'ready')
    deployment.store.put('servers', 'late', row)
    server = await asyncio.start_server(
        _serve, sock=listener, limit=_RECEIVE_BUFFER_BYTES
    )
    async with server:
        yield


@pytest.mark.parametrize('path', ['/chat/x', '/talk/x'])
def test_stream_of_a_target_that_reads_later(path: str) -> None:
    """The connection was closed as the target acknowledged no more bytes.

    Its kernel takes none while its buffer is full, but it does respond.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            configuration = make_configuration(2)
            for route in configuration['routes']:
                route['timeout-ms'] = _TIMEOUT_MS
            deployment.configure(configuration)
            async with _run_target(deployment):
                node = await deployment.start_node('vm1')
                await wait_until(lambda: len(node.targets.states) == 1)
                response = await deployment.ask(
                    node,
                    path,
                    b'u' * LONG_UPLOAD_BYTES,
                    '300,20',
                    X_Deadline_Ms=str(_TIMEOUT_MS),
                )
            assert (response.status, response.is_whole) == (200, True)
            assert response.body == make_events(*range(1, _EVENTS + 1))

    asyncio.run(body())
