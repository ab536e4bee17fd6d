"""Runs seeds of the soak and tells what broke."""

from __future__ import annotations

import asyncio
import pathlib
import random
import secrets
import tempfile
from typing import NamedTuple

import cyclopts

from .callers import Callers
from .calm import check_calm
from .faults import Event
from .faults import Faults
from .promises import Broken
from .promises import check_answers
from .promises import check_refusals
from .promises import check_runs
from .promises import check_silence
from .site import copy_programs
from .site import EVENTS
from .site import Site

app = cyclopts.App(name='soak', help='Run the daemons under faults.')
_CHECK_PAUSE_S = 0.5
_CALLERS_EACH = 3
_START_S = 2.0
_MAX_SEED = 1 << 32


class Outcome(NamedTuple):
    """What one seed showed; ``folder`` holds the logs."""

    seed: int
    requests: int
    served: int
    broken: list[Broken]
    events: list[Event]
    folder: pathlib.Path


def _check_all(site: Site, callers: Callers, faults: Faults) -> list[Broken]:
    runs = site.runs()
    broken = [*check_runs(runs), *check_refusals(callers.records, runs)]
    broken += check_answers(callers.records, EVENTS)
    broken += check_silence(callers.records, faults.events)
    for vm in site.vms:
        vm.is_running()
        if vm.own_ends:
            broken.append(Broken('no end of its own', vm.name, ''))
        broken += _read_log(vm.name, vm.log)
    return broken


def _read_log(name: str, log: pathlib.Path) -> list[Broken]:
    """Return what a daemon's log tells of its own faults."""
    signs = ('Traceback', '"job_failed"', '"request_error"')
    text = log.read_text(errors='replace')
    return [Broken('no fault of its own', name, s) for s in signs if s in text]


async def _watch(site: Site, callers: Callers, faults: Faults) -> None:
    """Check while it runs; return at the first broken promise."""
    while not _check_all(site, callers, faults):
        await asyncio.sleep(_CHECK_PAUSE_S)


async def soak(
    seed: int, seconds: float, vms: int, folder: pathlib.Path
) -> Outcome:
    """Run one seed with faults for ``seconds``, then a calm time."""
    rng = random.Random(seed)
    async with (
        Site(folder, vms) as site,
        Callers(site, rng, _CALLERS_EACH) as callers,
    ):
        await asyncio.sleep(_START_S)
        async with Faults(site, rng) as faults:
            watching = asyncio.ensure_future(_watch(site, callers, faults))
            running = asyncio.ensure_future(faults.run(seconds))
            await asyncio.wait(
                (watching, running), return_when=asyncio.FIRST_COMPLETED
            )
            running.cancel()
            watching.cancel()
        broken = _check_all(site, callers, faults)
        if not broken:
            broken = await check_calm(site, callers)
            broken += _check_all(site, callers, faults)
        served = sum(r.status == 200 and r.is_whole for r in callers.records)
        return Outcome(
            seed, len(callers.records), served, broken, faults.events, folder
        )


def report(outcome: Outcome) -> None:
    """Print one seed's outcome."""
    state = 'BROKEN' if outcome.broken else 'ok'
    print(
        f'seed {outcome.seed}: {state}; {outcome.served} of '
        f'{outcome.requests} served; {len(outcome.events)} faults',
        flush=True,
    )
    if not outcome.broken:
        return
    for found in outcome.broken[:10]:
        print(f'  {found.promise}: {found.subject} {found.detail}')
    for event in sorted(outcome.events):
        length = event.ended - event.began
        print(f'  {event.began:.3f} +{length:.3f} {event.what} {event.where}')
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
            outcome = await soak(seed, seconds, vms, folder)
        report(outcome)
        return bool(outcome.broken)

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


__all__ = ['app', 'Outcome', 'report', 'soak']
