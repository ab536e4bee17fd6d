"""A late copy of a refusal is no response to a further request of its call."""

from __future__ import annotations

import asyncio
import contextlib

from deployments import Deployment
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import MODEL
import pytest
from scriptedtargets import CHUNKED
from scriptedtargets import make_chunk
from scriptedtargets import make_events

_LOOPBACK = '127.0.0.1'
_ID = 'request-of-this-test'
_REFUSAL = (
    'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n'
    f'X-Request-Id: {_ID}\r\nContent-Length: 0\r\n\r\n'
).encode()
_STREAM = (
    f'HTTP/1.1 {CHUNKED}X-Request-Id: {_ID}\r\nX-Response-Signature: s\r\n\r\n'
).encode()


class _Target:
    """Refuses its first request, again before its connection's next one."""

    def __init__(self) -> None:
        self.runs = 0
        self._has_refused = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer requests; run all but the first."""
        late = b''
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                while (await _read_request(reader)).startswith(b'POST '):
                    writer.write(late + self._answer())
                    late = b'' if self.runs else _REFUSAL
        finally:
            writer.close()

    def _answer(self) -> bytes:
        if not self._has_refused:
            self._has_refused = True
            return _REFUSAL
        self.runs += 1
        return _STREAM + make_chunk(make_events(1)) + make_chunk(b'')


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b'\r\n\r\n')
    _, _, rest = head.partition(b'Content-Length: ')
    await reader.readexactly(int(rest.split(b'\r\n')[0] or 0))
    return head


@pytest.mark.parametrize('path', ['/chat/x', '/talk/x'])
def test_refused_request_runs_once(path: str) -> None:
    """The second request to the same target runs, and is answered."""

    async def body() -> None:
        target = _Target()
        server = await asyncio.start_server(target.serve, _LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        row = make_target_row(
            'llm', f'{_LOOPBACK}:{port}', {MODEL: 1}, 'ready'
        )
        async with server, Deployment() as deployment:
            deployment.store.put('servers', 'e1', row)
            node = await deployment.start_node('vm1')
            response = await deployment.ask(
                node, path, b'x', '9,9', X_Request_Id=_ID
            )
            assert (response.status, response.is_whole) == (200, True)
            assert response.body == make_events(1)
            assert target.runs == 1

    asyncio.run(body())
