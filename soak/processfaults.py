"""Faults of replica processes, and cuts of VMs from all other replicas.

They are drawn apart from the other faults of a seed.
"""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING

from .faults import FaultEvent
from .proxy import Disruption

if TYPE_CHECKING:
    from types import TracebackType

    from .deployment import Deployment
    from .replicaprocesses import ReplicaProcess

_MEAN_INTERVAL_S = 1.5
_POLL_INTERVAL_S = 0.05
_RESTART_DELAYS_S = (0.0, 0.0, 0.3, 1.0)
_STOP_S = (0.1, 2.5)
_NEW_ID_SHARE = 0.5
_MEAN_CUT_INTERVAL_S = 2.0
_CUT_S = (0.5, 4.0)
_CUTS = (Disruption.RESET, Disruption.NO_TRAFFIC, Disruption.NO_RESPONSES)


class ProcessFaultInjector:
    """Kills and stops replica processes, and starts dead ones until exit."""

    def __init__(
        self,
        deployment: Deployment,
        rng: random.Random,
        events: list[FaultEvent],
    ) -> None:
        """Append the faults that were injected to ``events``."""
        self._deployment = deployment
        self._rng = rng
        self._events = events
        self._tasks: list[asyncio.Task[None]] = []
        self._injectors: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> ProcessFaultInjector:
        for process in self._deployment.processes:
            task = asyncio.ensure_future(self._keep_running(process))
            self._tasks.append(task)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def begin(self) -> None:
        """Start to kill and stop processes, and to cut VMs off."""
        if self._deployment.processes:
            self._injectors.append(asyncio.ensure_future(self._inject()))
        if self._deployment.has_own_proxies:
            self._injectors.append(asyncio.ensure_future(self._cut_vms()))

    async def stop(self) -> None:
        """Stop all faults; the processes go on."""
        for injector in self._injectors:
            injector.cancel()
        await asyncio.gather(*self._injectors, return_exceptions=True)
        for process in self._deployment.processes:
            process.stop_faults()
            process.send_signal(signal.SIGCONT)

    async def _keep_running(self, process: ReplicaProcess) -> None:
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if process.is_running():
                continue
            started_at = asyncio.get_running_loop().time()
            await asyncio.sleep(self._rng.choice(_RESTART_DELAYS_S))
            await process.start(self._rng.random() < _NEW_ID_SHARE)
            self._note(started_at, 'process_died', process.name)

    async def _inject(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / _MEAN_INTERVAL_S))
            started_at = asyncio.get_running_loop().time()
            process = self._rng.choice(self._deployment.processes)
            kind = self._rng.choice(
                ('kill', 'stop', 'stop_and_kill', 'weights')
            )
            if kind == 'weights':
                self._deployment.announce_second_weights()
            if kind.startswith('stop'):
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self._rng.uniform(*_STOP_S))
            if kind.endswith('kill'):
                process.send_signal(signal.SIGKILL)
            process.send_signal(signal.SIGCONT)
            self._note(started_at, f'process_{kind}', process.name)

    async def _cut_vms(self) -> None:
        while True:
            await asyncio.sleep(
                self._rng.expovariate(1.0 / _MEAN_CUT_INTERVAL_S)
            )
            vm = self._rng.choice(self._deployment.vms)
            disruption = self._rng.choice(_CUTS)
            started_at = asyncio.get_running_loop().time()
            try:
                vm.disrupt_targets(disruption)
                await asyncio.sleep(self._rng.uniform(*_CUT_S))
            finally:
                vm.disrupt_targets(Disruption.NONE)
            self._note(started_at, 'cut_vm', f'{vm.name} {disruption}')

    def _note(self, started_at: float, kind: str, subject: str) -> None:
        ended_at = asyncio.get_running_loop().time()
        self._events.append(FaultEvent(started_at, ended_at, kind, subject))


__all__ = ['ProcessFaultInjector']
