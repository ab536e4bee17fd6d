"""A server behind the router: plain requests, in a number of slots.

It keeps to the users' pages: it runs ``slots`` requests at a time, queues a
few more, and rejects the rest with 503 and ``X-Not-Executed``; a request
that expects another instance gets 421.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any
from typing import NamedTuple

import messages
from messages import Request

_REASONS = {200: 'OK', 421: 'Misdirected Request', 503: 'Service Unavailable'}


class Run(NamedTuple):
    """A request that a server began to work on, ``at`` monotonic seconds."""

    request_id: str
    server: str
    method: str
    path: str
    headers: dict[str, str]
    at: float


class Backend:
    """Owns the port of one server and records what it ran."""

    def __init__(
        self, name: str, service: str, slots: int = 6, work_s: float = 0.02
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.queue = 4 * slots
        self.born = int(time.time() * 1e3)
        self.models: dict[str, int] = {}
        self.runs: list[Run] = []
        self.rejected: list[str] = []
        self.host = '127.0.0.1'
        self.port = 0
        self.sequence = 0
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Backend:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def make_row(self, state: str = 'ready') -> bytes:
        """Return the row with which the server registers itself."""
        self.sequence += 1
        row: dict[str, Any] = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': 'a',
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold-remaining-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if self.models:
            row['stage'] = 'unified'
            row['models'] = [
                {'name': n, 'version': v, 'adapters': []}
                for n, v in self.models.items()
            ]
        return json.dumps(row).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await messages.read_request(reader)
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request on a connection."""
        if request.headers.get('x-expected-instance') not in (
            None,
            self.name,
        ):
            head = {'X-Instance-Id': self.name}
            writer.write(self.format(421, head))
            return
        if request.path.startswith('/health'):
            writer.write(self.format(200, {'X-Instance-Id': self.name}))
            return
        async with self._take_slot() as has_slot:
            if not has_slot:
                await self.reject(request, writer)
                return
            await self.run(request, writer)

    @contextlib.asynccontextmanager
    async def _take_slot(self) -> Any:
        if self._slots.locked() and self._waiting >= self.queue:
            yield False
            return
        self._waiting += 1
        await self._slots.acquire()
        self._waiting -= 1
        try:
            yield True
        finally:
            self._slots.release()

    @staticmethod
    def format(
        status: int, headers: dict[str, str], body: bytes = b''
    ) -> bytes:
        """Return a response."""
        line = f'HTTP/1.1 {status} {_REASONS.get(status, "Other")}'
        return messages.format_message(line, headers, body)

    async def reject(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer that a request was not run, as the server is full."""
        self.rejected.append(request.headers.get('x-request-id', ''))
        writer.write(self.format(503, {'X-Not-Executed': '1'}))

    def record(self, request: Request) -> None:
        """Record that a request begins to run."""
        self.runs.append(
            Run(
                request.headers.get('x-request-id', ''),
                self.name,
                request.method,
                request.path,
                request.headers,
                time.monotonic(),
            )
        )

    async def run(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and answer it."""
        self.record(request)
        await asyncio.sleep(self.work_s)
        writer.write(self.make_answer(request))

    def make_answer(self, request: Request, status: int = 200) -> bytes:
        """Return the signed answer to a request that was run."""
        request_id = request.headers.get('x-request-id', '')
        headers = {
            'X-Request-Id': request_id,
            'X-Instance-Id': self.name,
            'X-Response-Signature': f'{self.name}.{len(self.runs)}',
        }
        return self.format(status, headers, request_id.encode())
