"""The log of a VM shows that its event loop stood still."""

from __future__ import annotations

import asyncio
import json
import os
import time

from lentilrun.coordination.clock import SystemClock
from lentilrun.decisions.memory import plan_memory
from lentilrun.gateway.guard import Guard
from lentilrun.gateway.limitedlog import LimitedLog
from lentilrun.gateway.logs import Log
from lentilrun.web.memory import ProcessMemory
import pytest

_MEMORY_BYTES = 150 * 1024 * 1024
_CHECK_S = 0.4


async def _run(seconds: float, log: LimitedLog, clock: SystemClock) -> None:
    """Run a guard, and keep the event loop for some time meanwhile."""
    memory = ProcessMemory(plan_memory(_MEMORY_BYTES))
    guard = asyncio.create_task(Guard(memory, clock, (), (), log, 120.0).run())
    await asyncio.sleep(0)
    time.sleep(seconds)
    await asyncio.sleep(_CHECK_S)
    guard.cancel()


@pytest.mark.parametrize(('seconds', 'is_logged'), [(0.0, False), (0.8, True)])
def test_stalled_loop_is_logged(seconds: float, is_logged: bool) -> None:
    """Guards against a process that hangs and leaves no trace of it."""
    clock = SystemClock()
    reader, writer = os.pipe()
    log = LimitedLog(Log(clock, 'vm', writer), clock)
    asyncio.run(_run(seconds, log, clock))
    os.close(writer)
    with os.fdopen(reader, 'rb') as lines:
        records = [json.loads(line) for line in lines]
    stalls = [r['seconds'] for r in records if r['event'] == 'loop_stalled']
    assert bool(stalls) is is_logged
    assert all(s >= seconds - 2 * _CHECK_S for s in stalls)
