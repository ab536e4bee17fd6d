"""A plain replica that may send some of its answers a second time, late.

Replicas may send additional bytes after a complete answer. A copy comes at
the point where the next answer on the connection is expected.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

LOOPBACK = '127.0.0.1'
_WORK_S = 0.04


class CopyReplica:
    """Serves a port; ``runs`` holds the IDs of the requests that began."""

    def __init__(
        self,
        name: str,
        port: int,
        record: Callable[[str], None],
        max_copies: int = 0,
    ) -> None:
        """Repeat the first ``max_copies`` answers that say 421."""
        self._name = name
        self._port = port
        self._record = record
        self._copies_left = max_copies
        self.runs: list[str] = []
        self.answers = 0
        self.copies = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at the port."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self._port
        )

    def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        late_copy = b''
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.lower()] = value.strip()
                size = int(headers.get('content-length', '0'))
                await reader.readexactly(size)
                if late_copy:
                    self.copies += 1
                    self._record(
                        f'{self._name}: sends the copy of an earlier answer '
                        f'before that to {headers.get("x-request-id")}'
                    )
                    writer.write(late_copy)
                late_copy = await self._answer(writer, lines[0], headers)
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        line: str,
        headers: dict[str, str],
    ) -> bytes:
        """Answer a request; return the copy that follows late, if any."""
        self.answers += 1
        # A request without an ID, as those for reports, has none to echo.
        request_id = headers.get('x-request-id')
        echo = f'X-Request-Id: {request_id}\r\n' if request_id else ''
        expected = headers.get('x-expected-instance', self._name)
        if expected != self._name:
            answer = (
                f'HTTP/1.1 421 Misdirected Request\r\n{echo}'
                f'X-Instance-Id: {self._name}\r\n'
                'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
            ).encode()
            writer.write(answer)
            await writer.drain()
            self._record(f'{self._name}: 421 to {line} for {expected}')
            if self._copies_left:
                self._copies_left -= 1
                return answer
            return b''
        self.runs.append(request_id or '')
        self._record(f'{self._name}: runs {request_id}')
        await asyncio.sleep(_WORK_S)
        body = (request_id or '').encode()
        writer.write(
            (
                f'HTTP/1.1 200 OK\r\n{echo}X-Instance-Id: {self._name}\r\n'
                'X-Response-Signature: s\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode()
            + body
        )
        await writer.drain()
        return b''
