"""A server of a plain service: it runs requests and records them."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any
from typing import NamedTuple

from . import http
from .store import Store

_starts = itertools.count(1)


class Run(NamedTuple):
    """A request that reached a server, by the monotonic clock in seconds."""

    request_id: str
    method: str
    uri: str
    at: float
    server: str


class Replica:
    """One start of a server; it is registered in the store by its id."""

    def __init__(
        self, store: Store, service: str, zone: str, work_s: float, slots: int
    ) -> None:
        self._store = store
        self.service = service
        self.zone = zone
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self.id = ''
        self._born = 0
        self.runs: list[Run] = []
        self.server = http.Server(self._handle)

    async def start(self) -> None:
        """Start as a new incarnation, and register."""
        self.id = f'i-{next(_starts):08x}'
        self._born = int(time.time() * 1e3)
        await self.server.start()
        self.register('ready')

    async def restart(self) -> None:
        """Start again after a crash, under the same id."""
        self._born = int(time.time() * 1e3)
        await self.server.start()
        self.register('ready')

    def register(self, state: str) -> None:
        """Write the entry."""
        entry: dict[str, Any] = {
            'service': self.service,
            'address': f'{http.LOOPBACK}:{self.server.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self._slot_count,
            'state': state,
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': self._born,
        }
        self._store.put('servers', self.id, entry)

    def unregister(self) -> None:
        """Remove the entry; requests are still served."""
        self._store.put('servers', self.id, None)

    async def _handle(self, request: http.Request) -> http.Response:
        headers = {'X-Instance-Id': self.id}
        request_id = request.headers.get('x-request-id', '')
        if request_id:
            headers['X-Request-Id'] = request_id
        if request.headers.get('x-expected-instance', self.id) != self.id:
            return http.Response(421, headers)
        if request.uri == '/health':
            return http.Response(200, headers)
        if not request_id:
            return http.Response(400, {**headers, 'X-Not-Executed': '1'})
        async with self._slots:
            self.runs.append(
                Run(
                    request_id,
                    request.method,
                    request.uri,
                    time.monotonic(),
                    self.id,
                )
            )
            await asyncio.sleep(self._work_s)
        headers['X-Response-Signature'] = f'{self.id}.{request_id}'
        return http.Response(200, headers, request_id.encode())
