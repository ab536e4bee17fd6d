"""Faults of replica processes, drawn apart from those of a seed."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from typing import TYPE_CHECKING

from .faults import FaultEvent

if TYPE_CHECKING:
    from types import TracebackType

    from .deployment import Deployment
    from .replicaprocesses import ReplicaProcess

_MEAN_INTERVAL_S = 1.5
_POLL_INTERVAL_S = 0.05
_RESTART_DELAYS_S = (0.0, 0.0, 0.3, 1.0)
_STOP_S = (0.1, 2.5)
_NEW_ID_SHARE = 0.5


class ProcessFaultInjector:
    """Kills and stops replica processes until exit; starts dead ones."""

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
        self._injector: asyncio.Task[None] | None = None

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
        """Start to kill and stop processes from outside."""
        if self._deployment.processes:
            self._injector = asyncio.ensure_future(self._inject())

    async def stop(self) -> None:
        """Stop all faults; the processes go on."""
        if self._injector is not None:
            self._injector.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._injector
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

    def _note(self, started_at: float, kind: str, subject: str) -> None:
        ended_at = asyncio.get_running_loop().time()
        self._events.append(FaultEvent(started_at, ended_at, kind, subject))


__all__ = ['ProcessFaultInjector']
