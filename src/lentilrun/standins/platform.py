"""A stand-in for the platform: tables, objects, weights and VMs."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec
from tornado.web import Application
from tornado.web import RequestHandler

if TYPE_CHECKING:
    from collections.abc import Awaitable


class Fault(NamedTuple):
    """A fault to inject into one service until a time passes.

    ``kind`` is outage, slow or lost; ``seconds`` its length, ``delay``
    the seconds that a slow answer takes, ``answers`` the answers to lose.
    """

    service: str
    kind: str
    seconds: float = 0.0
    delay: float = 0.0
    responses: int = 0


class _ListedRow(NamedTuple):
    key: str
    value: str
    version: int


class _StoredRow(NamedTuple):
    value: bytes
    version: int


class PlatformState:
    """The contents of the platform and the faults in force."""

    def __init__(self) -> None:
        self.rows: dict[str, _StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.weights: set[str] = set()
        self.vms: list[tuple[str, str, bool]] = []
        self.faults: dict[str, Fault] = {}
        self.fault_ends: dict[str, float] = {}
        self.responses_to_lose: dict[str, int] = {}
        self.reads = 0
        self.writes = 0

    def inject(self, fault: Fault) -> None:
        """Put a fault in force."""
        if fault.kind == 'lost':
            self.responses_to_lose[fault.service] = fault.responses
            return
        self.faults[fault.service] = fault
        self.fault_ends[fault.service] = time.monotonic() + fault.seconds

    def find_fault(self, service: str) -> Fault | None:
        """Return the fault in force for a service."""
        if time.monotonic() > self.fault_ends.get(service, 0.0):
            return None
        return self.faults.get(service)

    def should_lose_response(self, service: str) -> bool:
        """Return whether to lose the next answer, and count it."""
        left = self.responses_to_lose.get(service, 0)
        if left:
            self.responses_to_lose[service] = left - 1
        return left > 0


class _Handler(RequestHandler):
    service = ''

    def initialize(self, store: PlatformState) -> None:
        self.store = store

    async def prepare(self) -> None:
        fault = self.store.find_fault(self.service)
        if fault is not None and fault.kind == 'outage':
            self.set_status(503)
            self.finish()
            return
        if fault is not None and fault.kind == 'slow':
            await asyncio.sleep(fault.delay)

    def answer(self, body: bytes, lossy: bool) -> Awaitable[None] | None:
        if lossy and self.store.should_lose_response(self.service):
            self.request.connection.stream.close()  # type: ignore
            return None
        return self.finish(body)


class _RowHandler(_Handler):
    service = 'tables'

    def compute_etag(self) -> str | None:
        return None

    async def get(self, key: str) -> None:
        self.store.reads += 1
        row = self.store.rows.get(key)
        if row is None:
            self.set_status(404)
            return
        self.set_header('ETag', f'"{row.version}"')
        known = self.request.headers.get('If-None-Match', '')
        if known == f'"{row.version}"':
            self.set_status(304)
            return
        self.answer(row.value, False)

    async def put(self, key: str) -> None:
        self.store.writes += 1
        row = self.store.rows.get(key)
        wanted = self.request.headers.get('If-Match', '').strip('"')
        found = row.version if row is not None else 0
        if str(found) != (wanted or '0'):
            self.set_status(412)
            return
        self.store.rows[key] = _StoredRow(self.request.body, found + 1)
        self.set_header('ETag', f'"{found + 1}"')
        self.answer(b'', True)


class _RowsHandler(_Handler):
    service = 'tables'

    async def get(self) -> None:
        self.store.reads += 1
        prefix = self.get_argument('prefix', '')
        rows = [
            _ListedRow(key, base64.b64encode(r.value).decode(), r.version)
            for key, r in self.store.rows.items()
            if key.startswith(prefix)
        ]
        self.answer(msgspec.json.encode(rows), False)


class _ObjectHandler(_Handler):
    service = 'objects'

    async def get(self, key: str) -> None:
        found = self.store.objects.get(key)
        if found is None:
            self.set_status(404)
            return
        self.answer(found, False)

    async def put(self, key: str) -> None:
        self.store.objects[key] = self.request.body
        self.answer(b'', True)


class _WeightHandler(_Handler):
    service = 'weights'

    async def get(self, model: str, version: str) -> None:
        known = self.store.weights
        if known and f'{model}/{version}' not in known:
            self.set_status(404)


class _VmsHandler(_Handler):
    service = 'vms'

    async def get(self) -> None:
        self.answer(msgspec.json.encode(self.store.vms), False)

    async def put(self) -> None:
        self.store.vms = msgspec.json.decode(
            self.request.body, type=list[tuple[str, str, bool]]
        )


class _FaultHandler(RequestHandler):
    def initialize(self, store: PlatformState) -> None:
        self.store = store

    async def post(self) -> None:
        self.store.inject(msgspec.json.decode(self.request.body, type=Fault))

    async def get(self) -> None:
        self.finish(f'{self.store.reads} {self.store.writes}')


def make_application(store: PlatformState) -> Application:
    """Return the web application that serves a store."""
    given = {'store': store}
    return Application(
        [
            (r'/tables/lentilrun', _RowsHandler, given),
            (r'/tables/lentilrun/(.+)', _RowHandler, given),
            (r'/objects/(.+)', _ObjectHandler, given),
            (r'/weights/([^/]+)/([^/]+)', _WeightHandler, given),
            (r'/vms', _VmsHandler, given),
            (r'/faults', _FaultHandler, given),
        ],
        log_function=lambda handler: None,
    )


__all__ = ['Fault', 'make_application', 'PlatformState']
