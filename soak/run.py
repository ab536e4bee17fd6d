"""Runs seeds of the soak and reports violated invariants."""

from __future__ import annotations

import asyncio
import collections
import functools
import pathlib
import random
import secrets
import tempfile
from typing import NamedTuple
from typing import TYPE_CHECKING

import cyclopts

from . import builds
from .callers import CallerPool
from .deployment import copy_programs
from .deployment import Deployment
from .deployment import STREAM_EVENTS
from .eventstreams import FaultLevel
from .faults import FaultEvent
from .faults import FaultInjector
from .invariants import check_refusals
from .invariants import check_responses
from .invariants import check_runs
from .invariants import check_timeouts
from .invariants import Violation
from .planned import run_planned
from .processfaults import ProcessFaultInjector
from .recovery import check_recovery
from .streamcallers import StreamCallerPool

if TYPE_CHECKING:
    from collections.abc import Callable

app = cyclopts.App(name='soak', help='Run the daemons under faults.')
_CHECK_INTERVAL_S = 0.5
_CALLERS_PER_VM = 3
_STREAM_CALLERS_PER_VM = 4
_WARM_UP_S = 2.0
_MAX_PRINTED = 50
_MAX_SEED = 1 << 32


class SeedOptions(NamedTuple):
    """What a seed runs.

    Of the replicas, ``processes`` run as processes of their own, with faults
    of ``level`` in their streams. Faults last ``seconds``, but end at the
    first violation unless the run ``goes_on``. With ``cuts``, VMs lose their
    ways to all replicas that are no processes. An ``upgrade`` begins with
    the older build; violations of ``excused`` by its VMs don't count. What
    must hold without faults is checked if the deployment ``recovers``. If
    ``planned``, planned work takes the place of all faults.
    """

    seconds: float
    vms: int
    processes: int = 0
    level: FaultLevel = FaultLevel.NONE
    goes_on: bool = False
    cuts: bool = False
    upgrade: bool = False
    excused: frozenset[str] = frozenset()
    recovers: bool = True
    planned: bool = False


class SeedResult(NamedTuple):
    """The result of one seed; ``folder`` holds the daemons' logs."""

    seed: int
    requests: int
    served: int
    violations: list[Violation]
    events: list[FaultEvent]
    folder: pathlib.Path
    by_older_build: list[Violation]


def _check_invariants(
    deployment: Deployment,
    callers: CallerPool,
    faults: FaultInjector,
    options: SeedOptions,
) -> list[Violation]:
    runs = deployment.runs()
    violations = [*check_runs(runs), *check_refusals(callers.records, runs)]
    excused = find_excused(deployment, callers, options)
    found = check_responses(callers.records, STREAM_EVENTS)
    violations += [v for v in found if v not in excused]
    violations += check_timeouts(callers.records, faults.events)
    for vm in deployment.vms:
        vm.is_running()
        if vm.unexpected_exits:
            violations.append(Violation('no unexpected exit', vm.name, ''))
        violations += _check_log(vm.name, vm.log)
    return violations


def find_excused(
    deployment: Deployment, callers: CallerPool, options: SeedOptions
) -> list[Violation]:
    """Return violations that VMs of the older build are known for."""
    vms = {vm.name: vm for vm in deployment.vms}
    records = [
        record
        for record in callers.records
        if vms[record.vm].find_build(record.sent_at) == builds.OLDER
    ]
    violations = check_responses(records, STREAM_EVENTS)
    return [v for v in violations if v.invariant in options.excused]


def _check_log(name: str, log: pathlib.Path) -> list[Violation]:
    """Return the internal errors in a daemon's log."""
    markers = ('Traceback', '"job_failed"', '"request_error"')
    text = log.read_text(errors='replace')
    return [
        Violation('no internal error', name, s) for s in markers if s in text
    ]


async def _wait_for_violation(check: Callable[[], list[Violation]]) -> None:
    """Check the invariants repeatedly; return at the first violation."""
    while not check():
        await asyncio.sleep(_CHECK_INTERVAL_S)


async def _inject_faults(
    check: Callable[[], list[Violation]],
    faults: FaultInjector,
    options: SeedOptions,
) -> None:
    """Inject faults, by default until the first violation."""
    async with faults:
        watcher = asyncio.ensure_future(_wait_for_violation(check))
        injector = asyncio.ensure_future(faults.run(options.seconds))
        ends = (injector,) if options.goes_on else (watcher, injector)
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        injector.cancel()
        watcher.cancel()


async def run_seed(
    seed: int, folder: pathlib.Path, options: SeedOptions
) -> SeedResult:
    """Run one seed: faults for some seconds, then checks of recovery."""
    if options.planned:
        return await _run_planned_seed(seed, folder, options)
    rng = random.Random(seed)
    # Draws of its own, so that the other faults of a seed stay the same.
    process_rng = random.Random(f'{seed} processes')
    per_vm = _STREAM_CALLERS_PER_VM if options.processes else 0
    async with (
        Deployment(
            folder,
            options.vms,
            options.processes,
            seed,
            options.level,
            options.cuts,
            builds.OLDER if options.upgrade else builds.NEW,
        ) as deployment,
        CallerPool(deployment, rng, _CALLERS_PER_VM) as callers,
        StreamCallerPool(
            deployment, callers, process_rng, per_vm
        ) as stream_callers,
    ):
        faults = FaultInjector(deployment, rng)
        check = functools.partial(
            _check_invariants, deployment, callers, faults, options
        )
        async with ProcessFaultInjector(
            deployment, process_rng, faults.events
        ) as process_faults:
            await asyncio.sleep(_WARM_UP_S)
            process_faults.begin()
            if options.upgrade:
                faults.begin_upgrade(random.Random(f'{seed} upgrade'))
            await _inject_faults(check, faults, options)
            await process_faults.stop()
            violations = check()
            if options.recovers and not violations:
                stream_callers.be_patient()
                violations = await check_recovery(deployment, callers)
                violations += check()
        served = sum(
            r.status == 200 and r.is_complete for r in callers.records
        )
        return SeedResult(
            seed,
            len(callers.records),
            served,
            violations,
            faults.events,
            folder,
            find_excused(deployment, callers, options),
        )


async def _run_planned_seed(
    seed: int, folder: pathlib.Path, options: SeedOptions
) -> SeedResult:
    records, events, violations = await run_planned(
        seed, folder, options.vms, options.seconds
    )
    kinds = collections.Counter(e.kind for e in events)
    ends = collections.Counter(f'{r.outcome} {r.status}' for r in records)
    print(f'seed {seed}: {dict(kinds)}; {dict(ends)}', flush=True)
    served = sum(r.status == 200 and r.is_complete for r in records)
    return SeedResult(
        seed, len(records), served, violations, events, folder, []
    )


def print_forms(folder: pathlib.Path, request_id: str) -> None:
    """Print how replicas that are processes answered a request."""
    path = folder / 'forms'
    if not path.exists():
        return
    marker = f'"request":"{request_id}"'
    for line in path.read_text().splitlines():
        if marker in line:
            print(f'    {line}')


def print_result(result: SeedResult) -> None:
    """Print the result of one seed."""
    verdict = 'BROKEN' if result.violations else 'ok'
    print(
        f'seed {result.seed}: {verdict}; {result.served} of '
        f'{result.requests} served; {len(result.events)} faults',
        flush=True,
    )
    for invariant, subject, detail in result.by_older_build:
        print(f'  older build, not counted: {invariant}: {subject} {detail}')
    if not result.violations:
        return
    for violation in result.violations[:_MAX_PRINTED]:
        print(
            f'  {violation.invariant}: {violation.subject} {violation.detail}'
        )
        print_forms(result.folder, violation.subject)
    for event in sorted(result.events):
        duration = event.ended_at - event.started_at
        print(
            f'  {event.started_at:.3f} +{duration:.3f} '
            f'{event.kind} {event.subject}'
        )
    print(f'  logs: {result.folder}', flush=True)


async def _run_all(
    base: pathlib.Path, seeds: list[int], jobs: int, options: SeedOptions
) -> int:
    semaphore = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> bool:
        folder = base / str(seed)
        folder.mkdir()
        async with semaphore:
            result = await run_seed(seed, folder, options)
        print_result(result)
        if options.planned:
            print(
                f'  {dict(collections.Counter(e.kind for e in result.events))}'
            )
        return bool(result.violations)

    violated = sum(await asyncio.gather(*(run_one(s) for s in seeds)))
    print(f'{len(seeds)} seeds, {violated} broken')
    return violated


@app.default
def main(
    *,
    first: int | None = None,
    count: int = 5,
    seconds: float = 10.0,
    vms: int = 3,
    jobs: int = 2,
    processes: int = 3,
    level: FaultLevel | None = None,
    goes_on: bool = False,
    cuts: bool = False,
    upgrade: bool = False,
    older: pathlib.Path | None = None,
    planned: bool = False,
) -> int:
    """Run seeds; exit with 1 if an invariant was violated.

    Parameters
    ----------
    first
        First seed; random if omitted.
    count
        Number of seeds.
    seconds
        Seconds during which faults are injected, per seed.
    vms
        Number of daemons per seed.
    jobs
        Number of seeds that run concurrently.
    processes
        Number of replicas that are processes, which serve streams.
    level
        Faults in the streams of replicas that are processes: by default
        wrong answers, none with an upgrade.
    goes_on
        Go on after a violation, to see all of a seed.
    cuts
        Cut VMs from all replicas that are no processes.
    upgrade
        Begin with the build in production and replace the VMs meanwhile.
    older
        Sources of a build that an upgrade begins with instead.
    planned
        Do planned work only: restarts, SIGHUP and configurations.
    """
    if first is None:
        first = secrets.randbelow(_MAX_SEED)
    seeds = [first + n for n in range(count)]
    level = level or (FaultLevel.NONE if upgrade else FaultLevel.ANSWERS)
    base = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    copy_programs(base)
    excused = builds.copy_older(base, older) if upgrade else frozenset()
    options = SeedOptions(
        seconds,
        vms,
        processes,
        level,
        goes_on,
        cuts,
        upgrade,
        excused,
        planned=planned,
    )
    violated = asyncio.run(_run_all(base, seeds, jobs, options))
    return 1 if violated else 0


__all__ = [
    'app',
    'find_excused',
    'print_result',
    'run_seed',
    'SeedOptions',
    'SeedResult',
]
