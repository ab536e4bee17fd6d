"""A lease ends for its holder no later than its row says, however slow."""

from __future__ import annotations

import asyncio
import base64
import os
from typing import TYPE_CHECKING

from lentilrun.config.ini import Address
from lentilrun.gateway.logs import Log
from lentilrun.gateway.orderlease import OrderLease
from lentilrun.platform.rows import RowStore
from lentilrun.standins import timeloop
from lentilrun.web.client import Client
from lentilrun.web.client import Request
from lentilrun.web.client import Response
import msgspec
import pytest
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import Any

_LEAD_S = 5000.0
_GAP_S = 3.0
_STEP_S = 0.05
_ROUNDING_S = 0.002


class _Store(Client):
    """Keeps one row; the responses to reads and writes take their time."""

    def __init__(self, loop: timeloop.TimeLoop, read_delay: float) -> None:
        super().__init__()
        self._loop = loop
        self._read_delay = read_delay
        self._version = 0
        self._row: dict[str, Any] | None = None
        # Of the last write; ``until`` is by the store's clock.
        self.fence = 0
        self.until = float('-inf')

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        now_ms = int((self._loop.now() + _LEAD_S) * 1e3)
        if request.method == 'POST':
            self._write(msgspec.json.decode(request.body)['puts'][0])
        else:
            await asyncio.sleep(self._read_delay)
        body = {
            'rows': [self._row] if self._row else [],
            'row-version': self._version,
            'now-ms': now_ms,
        }
        return Response(200, HTTPHeaders(), msgspec.json.encode(body))

    def _write(self, put: dict[str, Any]) -> None:
        self._version += 1
        self._row = {**put, 'row-version': self._version}
        lease = msgspec.json.decode(base64.b64decode(put['value']))
        self.fence = lease[1]
        self.until = lease[2]

    def write_unreadable(self, version: int) -> None:
        """Write a lease whose form this VM can't read."""
        self._version = version
        value = base64.b64encode(b'["vm9", "41", 1.0]').decode()
        self._row = {
            'table': 'vms',
            'key': 'lease/weights',
            'value': value,
            'row-version': version,
        }


@pytest.fixture
def log_file() -> Iterator[int]:
    """Open a file descriptor that takes the log."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


@pytest.mark.parametrize('read_delay', [0.0, 0.2, 0.7, 1.2])
def test_holder_stops_before_others_begin(
    read_delay: float, log_file: int
) -> None:
    """Also after it renewed its lease, and after it released it."""

    async def main(loop: timeloop.TimeLoop) -> None:
        client = _Store(loop, read_delay)
        store = RowStore(client, Address('127.0.0.1', 1), loop)
        lease = OrderLease(
            store, loop, 'vm1', _GAP_S, Log(loop, 'vm1', log_file)
        )
        last_held = 0.0
        for step in range(160):
            if step < 100:
                await lease.acquire()
            if step == 110:
                await lease.release()
            if lease.is_held():
                last_held = loop.now() + _LEAD_S
                assert last_held <= client.until + _ROUNDING_S, step
            await asyncio.sleep(_STEP_S)
        assert last_held > 1000.0
        assert last_held <= client.until + _ROUNDING_S

    timeloop.run(main)


@pytest.mark.parametrize('is_known', [False, True])
def test_lease_that_is_not_readable(is_known: bool, log_file: int) -> None:
    """It is waited for, and the next fencing token is larger than its own."""

    async def main(loop: timeloop.TimeLoop) -> None:
        client = _Store(loop, 0.0)
        store = RowStore(client, Address('127.0.0.1', 1), loop)
        lease = OrderLease(
            store, loop, 'vm1', _GAP_S, Log(loop, 'vm1', log_file)
        )
        if is_known:
            assert await lease.acquire() == 0.0
            await asyncio.sleep(2.0)
        for renewal in range(6):
            client.write_unreadable(50 + renewal)
            assert await lease.acquire() > 0.0
            assert not lease.is_held()
            await asyncio.sleep(0.7)
        renewed_at = loop.now() - 0.7
        while await lease.acquire() > 0.0:
            await asyncio.sleep(0.1)
        assert _GAP_S + 1.5 < loop.now() - renewed_at < _GAP_S + 2.0
        assert lease.fence == client.fence > 41

    timeloop.run(main)
