"""Callers that use their connections until a leaving VM has gone."""

from __future__ import annotations

import asyncio
import enum
import random
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import NON_RESUMABLE_PATH
from lentilrun.standins.configuration import RESUMABLE_PATH
from lentilrun.standins.configuration import SAFE_PATH
from lentilrun.standins.configuration import UNSAFE_PATH

from .callers import Caller
from .callers import CallerPool
from .callers import RequestOutcome

if TYPE_CHECKING:
    from .deployment import Deployment
    from .deployment import VmProcess
    from .plannedwork import PlannedWork

_DEADLINE_S = 12.0
_PAUSE_S = 0.1
_RETRY_S = 0.4
_SILENCE_S = (2.0, 3.0)
# A leaving VM closes its port this long after SIGTERM; silent callers send
# around that time.
_CLOSING_S = 2.5
_AROUND_CLOSING_S = (-0.04, 0.01)
_POLL_S = 0.05
_UNARY_PATHS = (SAFE_PATH, UNSAFE_PATH)
_STREAM_PATHS = (RESUMABLE_PATH, NON_RESUMABLE_PATH)


class Habit(enum.StrEnum):
    """When a caller sends, and on which connection."""

    BUSY = 'busy'
    SILENT = 'silent'
    NEW_CONNECTION = 'new_connection'


# Streams outnumber the slots of the engines, so that some wait.
_CALLERS = (
    *[(Habit.BUSY, _UNARY_PATHS)] * 4,
    *[(Habit.SILENT, _UNARY_PATHS)] * 5,
    *[(Habit.SILENT, _STREAM_PATHS)] * 2,
    *[(Habit.NEW_CONNECTION, _UNARY_PATHS)] * 2,
    *[(Habit.BUSY, _STREAM_PATHS)] * 12,
)


class PlannedCallerPool(CallerPool):
    """Owns the callers of all VMs; they send requests until exit."""

    def __init__(
        self, deployment: Deployment, work: PlannedWork, rng: random.Random
    ) -> None:
        super().__init__(deployment, rng, len(_CALLERS))
        self._work = work

    async def __aenter__(self) -> PlannedCallerPool:
        for vm in self._deployment.vms:
            for habit, paths in _CALLERS:
                self._tasks.append(
                    asyncio.ensure_future(self._send(vm, habit, paths))
                )
        return self

    async def _send(
        self, vm: VmProcess, habit: Habit, paths: tuple[str, ...]
    ) -> None:
        with Caller(vm, self.ids, self.records, _DEADLINE_S) as caller:
            while True:
                record = await caller.send_request(self._rng.choice(paths))
                if habit is Habit.NEW_CONNECTION:
                    caller.close()
                if record.outcome is RequestOutcome.NOT_CONNECTED:
                    await asyncio.sleep(_RETRY_S)
                elif habit is Habit.SILENT:
                    await self._stay_silent(vm)
                else:
                    await asyncio.sleep(_PAUSE_S)

    async def _stay_silent(self, vm: VmProcess) -> None:
        """Wait for some time, or until a leaving VM closes its port."""
        now = asyncio.get_running_loop().time
        until = now() + self._rng.uniform(*_SILENCE_S)
        around = self._rng.uniform(*_AROUND_CLOSING_S)
        while now() < until:
            closes_at = self._work.leaving.get(vm.name, 0.0) + _CLOSING_S
            if now() < closes_at + around:
                until = closes_at + around
            await asyncio.sleep(max(0.0, min(_POLL_S, until - now())))


__all__ = ['PlannedCallerPool']
