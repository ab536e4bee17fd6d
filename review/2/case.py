"""An entry is removed while both processes that read the store restart."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review import deployment  # noqa: E402
from review.deployment import Deployment  # noqa: E402
from review.deployment import Record  # noqa: E402
from review.traffic import record_runs  # noqa: E402
from review.traffic import Traffic  # noqa: E402

# The two that read the store for all: the first machines of two zones.
_KILLED = ('front-garut-1', 'front-jepara-1')
# Nothing happens to these: they are in touch all the time.
_CALM = ('front-solo-1', 'front-solo-2')
_STABLE_S = 4.0
_RESTART_DELAY_S = 0.1
_DRAIN_S = 2.0
# The server goes on for drain-ms after its entry is gone, and longer.
_LEAVING_S = 8.0
_REQUEST_GAP_S = 0.03


async def _restart(system: Deployment, record: Record) -> None:
    """Start the killed processes again, as the platform does."""
    for name in _KILLED:
        await system.routers[name].kill()
        await system.routers[name].start()
        record.write(f'{name} is started again')


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether the rule DRAIN held."""
    async with Deployment([*_KILLED, *_CALM]) as system:
        traffic = Traffic(system, record, _CALM, _REQUEST_GAP_S)
        sending = asyncio.ensure_future(traffic.run())
        await asyncio.sleep(_STABLE_S)
        leaving = system.replicas[0]
        if has_trouble:
            for name in _KILLED:
                record.write(f'SIGKILL to {name}')
                system.routers[name].signal(signal.SIGKILL)
        await asyncio.sleep(_RESTART_DELAY_S / 2.0)
        leaving.unregister()
        removed_at = time.monotonic()
        record.write(f'the entry of {leaving.id} is removed')
        await asyncio.sleep(_RESTART_DELAY_S / 2.0)
        if has_trouble:
            await _restart(system, record)
        await asyncio.sleep(removed_at + _LEAVING_S - time.monotonic())
        sending.cancel()
        await traffic.finish()
        leaving.server.stop()
        record.write(f'{leaving.id} has ended')
        record_runs(system, record)
        late = [r for r in leaving.runs if r.at - removed_at > _DRAIN_S]
    for run in (*late[:2], *late[-1:]):
        record.say(
            f'{run.request_id} reached {run.server} through '
            f'{traffic.sent[run.request_id].machine} '
            f'{run.at - removed_at:.3f} s after its entry was removed'
        )
    record.say(f'{len(late)} of {len(leaving.runs)} requests came too late')
    return not late


if __name__ == '__main__':
    deployment.run(FOLDER, play)
