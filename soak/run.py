"""Runs seeds of the soak and tells what broke."""

from __future__ import annotations

import asyncio
import pathlib
import random
import secrets
import tempfile
from typing import NamedTuple

import cyclopts

from .callers import CallerPool
from .deployment import copy_programs
from .deployment import Deployment
from .deployment import STREAM_EVENTS
from .faults import FaultEvent
from .faults import FaultInjector
from .invariants import check_refusals
from .invariants import check_responses
from .invariants import check_runs
from .invariants import check_timeouts
from .invariants import Violation
from .recovery import check_recovery

app = cyclopts.App(name='soak', help='Run the daemons under faults.')
_CHECK_PAUSE_S = 0.5
_CALLERS_EACH = 3
_START_S = 2.0
_MAX_SEED = 1 << 32


class SeedResult(NamedTuple):
    """What one seed showed; ``folder`` holds the logs."""

    seed: int
    requests: int
    served: int
    violations: list[Violation]
    events: list[FaultEvent]
    folder: pathlib.Path


def _check_all(
    deployment: Deployment, callers: CallerPool, faults: FaultInjector
) -> list[Violation]:
    runs = deployment.runs()
    broken = [*check_runs(runs), *check_refusals(callers.records, runs)]
    broken += check_responses(callers.records, STREAM_EVENTS)
    broken += check_timeouts(callers.records, faults.events)
    for vm in deployment.vms:
        vm.is_running()
        if vm.unexpected_exits:
            broken.append(Violation('no end of its own', vm.name, ''))
        broken += _read_log(vm.name, vm.log)
    return broken


def _read_log(name: str, log: pathlib.Path) -> list[Violation]:
    """Return what a daemon's log tells of its own faults."""
    signs = ('Traceback', '"job_failed"', '"request_error"')
    text = log.read_text(errors='replace')
    return [
        Violation('no fault of its own', name, s) for s in signs if s in text
    ]


async def _watch(
    deployment: Deployment, callers: CallerPool, faults: FaultInjector
) -> None:
    """Check while it runs; return at the first broken promise."""
    while not _check_all(deployment, callers, faults):
        await asyncio.sleep(_CHECK_PAUSE_S)


async def run_seed(
    seed: int, seconds: float, vms: int, folder: pathlib.Path
) -> SeedResult:
    """Run one seed with faults for ``seconds``, then a calm time."""
    rng = random.Random(seed)
    async with (
        Deployment(folder, vms) as deployment,
        CallerPool(deployment, rng, _CALLERS_EACH) as callers,
    ):
        await asyncio.sleep(_START_S)
        async with FaultInjector(deployment, rng) as faults:
            watching = asyncio.ensure_future(
                _watch(deployment, callers, faults)
            )
            running = asyncio.ensure_future(faults.run(seconds))
            await asyncio.wait(
                (watching, running), return_when=asyncio.FIRST_COMPLETED
            )
            running.cancel()
            watching.cancel()
        broken = _check_all(deployment, callers, faults)
        if not broken:
            broken = await check_recovery(deployment, callers)
            broken += _check_all(deployment, callers, faults)
        served = sum(
            r.status == 200 and r.is_complete for r in callers.records
        )
        return SeedResult(
            seed, len(callers.records), served, broken, faults.events, folder
        )


def print_result(outcome: SeedResult) -> None:
    """Print one seed's outcome."""
    state = 'BROKEN' if outcome.violations else 'ok'
    print(
        f'seed {outcome.seed}: {state}; {outcome.served} of '
        f'{outcome.requests} served; {len(outcome.events)} faults',
        flush=True,
    )
    if not outcome.violations:
        return
    for found in outcome.violations[:10]:
        print(f'  {found.invariant}: {found.subject} {found.detail}')
    for event in sorted(outcome.events):
        length = event.ended_at - event.started_at
        print(
            f'  {event.started_at:.3f} +{length:.3f} '
            f'{event.kind} {event.subject}'
        )
    print(f'  logs: {outcome.folder}', flush=True)


async def _run_all(
    seeds: list[int], seconds: float, vms: int, jobs: int
) -> int:
    gate = asyncio.Semaphore(jobs)
    base = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    copy_programs(base)

    async def run_one(seed: int) -> bool:
        folder = base / str(seed)
        folder.mkdir()
        async with gate:
            outcome = await run_seed(seed, seconds, vms, folder)
        print_result(outcome)
        return bool(outcome.violations)

    failed = sum(await asyncio.gather(*(run_one(s) for s in seeds)))
    print(f'{len(seeds)} seeds, {failed} broken')
    return failed


@app.default
def main(
    *,
    first: int | None = None,
    count: int = 5,
    seconds: float = 10.0,
    vms: int = 3,
    jobs: int = 2,
) -> int:
    """Run seeds; exit with 1 if a promise was broken.

    Parameters
    ----------
    first
        The first seed; a fresh one if it is left out.
    count
        How many seeds.
    seconds
        How long faults are started, for each seed.
    vms
        How many daemons a seed runs.
    jobs
        How many seeds run at once.
    """
    if first is None:
        first = secrets.randbelow(_MAX_SEED)
    seeds = [first + n for n in range(count)]
    failed = asyncio.run(_run_all(seeds, seconds, vms, jobs))
    return 1 if failed else 0


__all__ = ['app', 'print_result', 'run_seed', 'SeedResult']
