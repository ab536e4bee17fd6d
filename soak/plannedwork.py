"""Planned work in series: restarts, SIGHUP, configurations, busy processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import sys
from typing import Any
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import make_configuration

from .faults import FaultEvent
from .faults import FaultInjector
from .invariants import Violation
from .proxy import LOOPBACK

if TYPE_CHECKING:
    from .deployment import Deployment
    from .deployment import VmProcess

GRACE_S = 8
SPARE_SERVICE = 'spare'
RESTART = 'restart'
TIMEOUTS_MS = (9000, 10500, 12000)
_SERIES_INTERVAL_S = 0.2
_RESTART_DELAY_S = 0.2
_EARLY_HANG_UP_S = 0.6
_POLL_S = 0.01
_BUSY_PROCESSES = 6
_BUSY_S = 4.0
_BUSY_CODE = f"""
import time
end = time.monotonic() + {_BUSY_S}
while time.monotonic() < end:
    pass
"""


def make_planned_configuration(rng: random.Random) -> dict[str, Any]:
    """Draw what a configuration replaces; all callers stay admitted."""
    configuration = make_configuration(1)
    routes = configuration['routes']
    for route in routes:
        route['timeout-ms'] = rng.choice(TIMEOUTS_MS)
    for route in routes[:2]:
        route['traffic-split'] = [
            {'service': 'app', 'weight': rng.choice((0.5, 1.0, 9.0))},
            {'service': SPARE_SERVICE, 'weight': 1.0},
        ]
    routes.append({**routes[0], 'name': 'more', 'prefix': '/more/'})
    spare = {'name': SPARE_SERVICE, 'max-connections': 100}
    tenant = configuration['tenants'][0]
    tenant['rate-per-s'] = tenant['burst'] = rng.choice((2e5, 4e5))
    other = {**tenant, 'name': 'other', 'api-keys': ['key-2']}
    return {
        'routes': routes[: rng.choice((4, 5))],
        'services': [*configuration['services'], spare],
        'tenants': [tenant, other][: rng.choice((1, 2))],
    }


def _handles(vm: VmProcess, number: signal.Signals) -> bool:
    """Return whether a VM blocks or catches a signal (Linux)."""
    assert vm.process is not None
    path = pathlib.Path(f'/proc/{vm.process.pid}/status')
    with contextlib.suppress(OSError):
        lines = path.read_text().splitlines()
        masks = [s.split()[1] for s in lines if s[:6] in ('SigBlk', 'SigCgt')]
        return any(int(m, 16) & 1 << number - 1 for m in masks)
    return False


async def _is_connectable(vm: VmProcess) -> bool:
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(LOOPBACK, vm.entry_port)
        writer.close()
        return True
    return False


def _hang_up(vm: VmProcess) -> None:
    """Send SIGHUP; the exit status is left to the event loop."""
    if vm.is_running():
        assert vm.process is not None
        with contextlib.suppress(ProcessLookupError):
            os.kill(vm.process.pid, signal.SIGHUP)


class PlannedWork(FaultInjector):
    """Runs the planned work of one seed; restarts overlap.

    ``leaving`` is when VMs that run got SIGTERM.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        super().__init__(deployment, rng)
        self.leaving: dict[str, float] = {}
        self.violations: list[Violation] = []
        self._injections = [
            self._restart_some,
            self._restart_some,
            self._hang_up_some,
            self._hang_up_some,
            self._configure,
            self._configure,
        ]

    async def run(self, seconds: float) -> None:
        """Start work for some seconds and wait until all of it has ended."""
        for vm in self._deployment.vms:
            await self._wait_until_open(vm)
        self._start(self._restart_some)
        self._start(self._run_busy_processes)
        await super().run(seconds)
        await asyncio.gather(*self._tasks)

    async def _restart_some(self) -> str:
        """Restart one VM, a pair, or most, at once or soon after another."""
        vms = self._deployment.vms
        free = [v for v in vms if v.name not in self._reserved]
        count = self._rng.choice((1, 1, 2, max(1, len(vms) * 3 // 4)))
        chosen = self._rng.sample(free, min(count, len(free)))
        self._reserved.update(v.name for v in chosen)
        interval = self._rng.choice((0.0, _SERIES_INTERVAL_S))
        await asyncio.gather(
            *(self._restart(v, n * interval) for n, v in enumerate(chosen))
        )
        return ' '.join(v.name for v in chosen)

    async def _restart(self, vm: VmProcess, delay: float) -> None:
        await asyncio.sleep(delay)
        now = asyncio.get_running_loop().time
        started_at = self.leaving[vm.name] = now()
        hang_up = asyncio.ensure_future(self._hang_up_leaving(vm))
        with contextlib.suppress(TimeoutError):
            await vm.stop(signal.SIGTERM)
        hang_up.cancel()
        del self.leaving[vm.name]
        self.events.append(FaultEvent(started_at, now(), RESTART, vm.name))
        code = vm.process.returncode if vm.process else None
        if code != 0:
            self.violations.append(
                Violation('graceful shutdown', vm.name, f'exit {code}')
            )
        await asyncio.sleep(_RESTART_DELAY_S)
        await vm.start()
        await self._hang_up_early(vm)
        await self._wait_until_open(vm)
        self._reserved.discard(vm.name)

    async def _hang_up_leaving(self, vm: VmProcess) -> None:
        while self._rng.random() < 0.9:
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            _hang_up(vm)

    async def _hang_up_early(self, vm: VmProcess) -> None:
        """Send SIGHUP some time after the program's first line has run."""
        while not _handles(vm, signal.SIGHUP) and vm.is_running():
            if await _is_connectable(vm):
                break
            await asyncio.sleep(_POLL_S)
        for _ in range(self._rng.choice((0, 1, 3))):
            await asyncio.sleep(self._rng.uniform(0.0, _EARLY_HANG_UP_S))
            _hang_up(vm)

    async def _wait_until_open(self, vm: VmProcess) -> None:
        """Wait for the handlers of signals; start a VM that has ended."""
        while not all(
            _handles(vm, s) for s in (signal.SIGTERM, signal.SIGHUP)
        ):
            if not vm.is_running():
                await vm.start()
            await asyncio.sleep(_POLL_S)

    async def _hang_up_some(self) -> str:
        """Send SIGHUP to all VMs once, or to one in a series."""
        vms = self._deployment.vms
        one = [self._rng.choice(vms)] * 5
        for vm in self._rng.choice((vms, one)):
            if vm.is_running() and _handles(vm, signal.SIGHUP):
                _hang_up(vm)
            await asyncio.sleep(self._rng.uniform(0.0, _SERIES_INTERVAL_S))
        return ''

    async def _configure(self) -> str:
        self._deployment.configure(**make_planned_configuration(self._rng))
        return str(self._deployment.configuration_version)

    async def _run_busy_processes(self) -> str:
        """Let processes that use the processor run beside the VMs."""
        processes = [
            await asyncio.create_subprocess_exec(
                sys.executable, '-c', _BUSY_CODE
            )
            for _ in range(_BUSY_PROCESSES)
        ]
        await asyncio.gather(*(p.wait() for p in processes))
        return str(len(processes))


__all__ = [
    'GRACE_S',
    'make_planned_configuration',
    'PlannedWork',
    'RESTART',
    'SPARE_SERVICE',
    'TIMEOUTS_MS',
]
