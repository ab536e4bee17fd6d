"""A stand-in for the platform: tables, objects, weights and VM list."""

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
    """A fault to inject into one service.

    ``kind`` is outage, slow or lost. The first two last for ``seconds``;
    ``delay`` is the delay in seconds of a slow response. ``responses``
    is the number of writes whose response is lost.
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
    """The stored data and the faults in force."""

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
        """Return whether to lose the next response, and count it."""
        remaining = self.responses_to_lose.get(service, 0)
        if remaining:
            self.responses_to_lose[service] = remaining - 1
        return remaining > 0


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

    def send_response(
        self, body: bytes, may_lose: bool
    ) -> Awaitable[None] | None:
        if may_lose and self.store.should_lose_response(self.service):
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
        known_version = self.request.headers.get('If-None-Match', '')
        if known_version == f'"{row.version}"':
            self.set_status(304)
            return
        self.send_response(row.value, False)

    async def put(self, key: str) -> None:
        self.store.writes += 1
        row = self.store.rows.get(key)
        expected_version = self.request.headers.get('If-Match', '').strip('"')
        current_version = row.version if row is not None else 0
        if str(current_version) != (expected_version or '0'):
            self.set_status(412)
            return
        self.store.rows[key] = _StoredRow(
            self.request.body, current_version + 1
        )
        self.set_header('ETag', f'"{current_version + 1}"')
        self.send_response(b'', True)


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
        self.send_response(msgspec.json.encode(rows), False)


class _ObjectHandler(_Handler):
    service = 'objects'

    async def get(self, key: str) -> None:
        value = self.store.objects.get(key)
        if value is None:
            self.set_status(404)
            return
        self.send_response(value, False)

    async def put(self, key: str) -> None:
        self.store.objects[key] = self.request.body
        self.send_response(b'', True)


class _WeightsHandler(_Handler):
    service = 'weights'

    async def get(self, model: str, version: str) -> None:
        known_weights = self.store.weights
        if known_weights and f'{model}/{version}' not in known_weights:
            self.set_status(404)


class _VmsHandler(_Handler):
    service = 'vms'

    async def get(self) -> None:
        self.send_response(msgspec.json.encode(self.store.vms), False)

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
    """Return the web application of the platform."""
    arguments = {'store': store}
    return Application(
        [
            (r'/tables/lentilrun', _RowsHandler, arguments),
            (r'/tables/lentilrun/(.+)', _RowHandler, arguments),
            (r'/objects/(.+)', _ObjectHandler, arguments),
            (r'/weights/([^/]+)/([^/]+)', _WeightsHandler, arguments),
            (r'/vms', _VmsHandler, arguments),
            (r'/faults', _FaultHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


__all__ = ['Fault', 'make_application', 'PlatformState']
