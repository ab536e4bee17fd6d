"""Clients that send safe requests to some machines at a steady rate."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from . import deployment
from . import http
from .deployment import Deployment
from .deployment import Record

_PATIENCE_S = 1.5
_DEADLINE_MS = 1500


class Sent(NamedTuple):
    """Where a request was sent, and when by the monotonic clock in s."""

    machine: str
    at: float


class Traffic:
    """Sends a request to each machine every ``gap`` seconds."""

    def __init__(
        self,
        system: Deployment,
        record: Record,
        machines: tuple[str, ...],
        gap: float,
        key: str = deployment.KEY,
    ) -> None:
        self._system = system
        self._record = record
        self._machines = machines
        self._gap = gap
        self._key = key
        self._number = 0
        self._open: set[asyncio.Task[None]] = set()
        self.sent: dict[str, Sent] = {}
        self.statuses: dict[str, int] = {}

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            for machine in self._machines:
                task = asyncio.ensure_future(self._send(machine))
                self._open.add(task)
                task.add_done_callback(self._open.discard)
            await asyncio.sleep(self._gap)

    async def finish(self) -> None:
        """Wait until all open requests have ended."""
        await asyncio.gather(*self._open)

    async def _send(self, machine: str) -> None:
        self._number += 1
        request_id = f'{self._number:016x}'
        self.sent[request_id] = Sent(machine, time.monotonic())
        headers = {
            'Host': deployment.HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(_DEADLINE_MS),
            'Api-Key': self._key,
        }
        self._record.write(f'sent {request_id} to {machine}')
        outcome = await http.fetch(
            self._system.routers[machine].front,
            'GET',
            f'{deployment.SAFE_PREFIX}{self._number}',
            headers,
            patience=_PATIENCE_S,
        )
        self.statuses[request_id] = outcome.status
        self._record.write(f'answered {request_id} with {outcome.status}')


def record_runs(system: Deployment, record: Record) -> None:
    """Write all runs into the record, in their order."""
    runs = [run for replica in system.replicas for run in replica.runs]
    for run in sorted(runs, key=lambda r: r.at):
        record.write(f'ran {run.request_id} at {run.server}', run.at)
