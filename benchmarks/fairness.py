"""Overload: what each workspace gets, and how long urgent calls wait.

Run ``python -m benchmarks.fairness``. Seeded, on modelled time, with the
real scheduler on several VMs and small targets with a few slots.
"""

from __future__ import annotations

import asyncio
import random
import sys
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.config import declaration
from lentilrun.coordination.membership import Member
from lentilrun.coordination.membership import Roster
from lentilrun.coordination.table import MemoryTable
from lentilrun.entry.call import Call
from lentilrun.entry.scheduler import Scheduler
from lentilrun.errors import CallError
from lentilrun.fleet.state import FleetState
from lentilrun.metrics.registry import Metrics
from lentilrun.moves.progress import MoveTracker
from lentilrun.routing.placements import PlacementMap
from lentilrun.routing.pool import TargetPool
from lentilrun.routing.selection import PlacementSelector
from lentilrun.standins.members import make_settings
from lentilrun.standins import timeloop
from lentilrun.targets.loads import ReportedLoad
from lentilrun.targets.requests import OutgoingRequest

if TYPE_CHECKING:
    from lentilrun.standins.timeloop import TimeLoop

_VMS = 6
_TARGETS = 9
_SLOTS = 4
_TOKENS_PER_SECOND = 5000.0
_CAPACITY = _TARGETS * _SLOTS * _TOKENS_PER_SECOND
_SECONDS = 60.0
FAIR_AIM = 0.9
_OUTGOING = OutgoingRequest('POST', '/', {}, b'')


class Stream(NamedTuple):
    """Traffic of one workspace; ``demand`` a share of all capacity."""

    workspace: str
    tokens: int
    demand: float
    priority: int
    deadline: float


class Scenario(NamedTuple):
    """Streams that overload the targets together."""

    name: str
    streams: tuple[Stream, ...]


SCENARIOS = (
    Scenario(
        'one workspace at several times its share',
        (
            Stream('a', 1000, 0.9, 1, 10.0),
            *(Stream(w, 1000, 0.15, 1, 10.0) for w in 'bcde'),
        ),
    ),
    Scenario(
        'one workspace with long prompts',
        (
            Stream('a', 10_000, 0.6, 1, 10.0),
            *(Stream(w, 1000, 0.225, 1, 10.0) for w in 'bcde'),
        ),
    ),
    Scenario(
        'chat beside sorting',
        (
            *(Stream(w, 1000, 0.15, 0, 10.0) for w in 'abc'),
            *(Stream(w, 8000, 0.35, 5, 60.0) for w in 'abc'),
        ),
    ),
)


class Outcome(NamedTuple):
    """What a scenario came to; waits in seconds."""

    scenario: str
    worst_share: float
    used: float
    urgent_p99: float
    other_p99: float
    refused: int


class _Vm:
    def __init__(self, loop: TimeLoop, name: str, text: str, seed: int):
        settings = make_settings(name, [name])
        self.state = FleetState(settings, loop, MemoryTable())
        self.state.configuration = declaration.parse(text, 'f')
        self.state.roster = Roster(
            tuple(Member(f'vm{i}', '', 'dc1') for i in range(_VMS))
        )
        self.pool = TargetPool(loop)
        self.pool.configure(self.state.configuration)
        chooser = PlacementSelector(self.pool, PlacementMap(1000), seed)
        self.scheduler = Scheduler(
            self.state, self.pool, chooser, MoveTracker(), Metrics()
        )


class _World:
    def __init__(self, loop: TimeLoop, scenario: Scenario, seed: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.running = {f't{i}': 0 for i in range(_TARGETS)}
        self.slots = {n: asyncio.Semaphore(_SLOTS) for n in self.running}
        self.served: dict[str, float] = {}
        self.waits: dict[int, list[float]] = {}
        self.refused = 0
        names = sorted({s.workspace for s in scenario.streams})
        text = _declare(names)
        self.vms = [_Vm(loop, f'vm{i}', text, i) for i in range(_VMS)]

    async def report(self) -> None:
        """Report loads with a lag, as the targets do."""
        while True:
            own = [
                {n: s.own_in_flight for n, s in vm.pool.targets.items()}
                for vm in self.vms
            ]
            seen = dict(self.running)
            await asyncio.sleep(0.5)
            for vm, counts in zip(self.vms, own, strict=True):
                for name, running in seen.items():
                    load = ReportedLoad('i', 'v1', running, 0, False, False)
                    vm.pool.apply_report(name, load, counts[name])
                vm.scheduler.assign_all_waiting()

    async def send(self, stream: Stream) -> None:
        """Send one call and let it run."""
        vm = self.random.choice(self.vms)
        call = _make_call(vm, stream, self.loop.time())
        try:
            place = await vm.scheduler.acquire(call, frozenset())
        except CallError:
            self.refused += 1
            return
        name = place.target_state.target.name
        with place:
            self.running[name] += 1
            async with self.slots[name]:
                wait = self.loop.time() - call.arrived_at
                self.waits.setdefault(stream.priority, []).append(wait)
                await asyncio.sleep(stream.tokens / _TOKENS_PER_SECOND)
            self.running[name] -= 1
        done = self.served.get(stream.workspace, 0.0)
        self.served[stream.workspace] = done + stream.tokens


def _declare(workspaces: list[str]) -> str:
    parts = [f'[workspace {w}]\nrate = 1\nburst = 1' for w in workspaces]
    parts.append(f'[model m]\nslots = {_SLOTS}')
    parts += [
        f'[target t{i}]\nmodel = m\naddress = 127.0.0.1:{i + 1}'
        for i in range(_TARGETS)
    ]
    parts.append('[route r]\npath = /\nmodel = m')
    return '\n'.join(parts)


def _make_call(vm: _Vm, stream: Stream, now: float) -> Call:
    configuration = vm.state.configuration
    route = configuration.routes[0]._replace(urgency=stream.priority)
    return Call(
        'id',
        route,
        configuration.models['m'],
        stream.workspace,
        'key',
        _OUTGOING,
        b'x',
        stream.tokens,
        0,
        True,
        float(stream.tokens),
        now,
        now + stream.deadline,
        '',
        '',
    )


def _share_fairly(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min fair shares of a capacity."""
    left = capacity
    shares: dict[str, float] = {}
    waiting = sorted(demands, key=lambda w: demands[w])
    for index, workspace in enumerate(waiting):
        share = min(demands[workspace], left / (len(waiting) - index))
        shares[workspace] = share
        left -= share
    return shares


def _find_p99(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * 0.99)] if ordered else 0.0


def measure(scenario: Scenario, seed: int) -> Outcome:
    """Run a scenario."""

    async def main(loop: TimeLoop) -> Outcome:
        world = _World(loop, scenario, seed)
        reporting = asyncio.ensure_future(world.report())
        end = loop.time() + _SECONDS
        tasks: list[asyncio.Future[Any]] = []

        async def arrive(stream: Stream) -> None:
            rate = stream.demand * _CAPACITY / stream.tokens
            while loop.time() < end:
                await asyncio.sleep(world.random.expovariate(rate))
                tasks.append(asyncio.ensure_future(world.send(stream)))

        await asyncio.gather(*(arrive(s) for s in scenario.streams))
        served = dict(world.served)
        waits = {p: list(w) for p, w in world.waits.items()}
        reporting.cancel()
        for task in tasks:
            task.cancel()
        total = sum(served.values())
        demands: dict[str, float] = {}
        for stream in scenario.streams:
            asked = stream.demand * _CAPACITY * _SECONDS
            before = demands.get(stream.workspace, 0.0)
            demands[stream.workspace] = before + asked
        fair = _share_fairly(demands, total)
        worst = min(served.get(w, 0.0) / fair[w] for w in fair)
        urgent = min(waits)
        other = [x for p, w in waits.items() if p != urgent for x in w]
        return Outcome(
            scenario.name,
            worst,
            total / (_CAPACITY * _SECONDS),
            _find_p99(waits[urgent]),
            _find_p99(other),
            world.refused,
        )

    return timeloop.run(main)


def main() -> None:
    """Print the table; exit with 1 if a workspace gets too little."""
    missed = False
    for scenario in SCENARIOS:
        o = measure(scenario, 1)
        missed = missed or o.worst_share < FAIR_AIM
        sys.stdout.write(
            f'{o.scenario}: worst-served gets {o.worst_share:.3f} of its fair '
            f'share; capacity used {o.used:.3f}; wait p99 urgent '
            f'{o.urgent_p99:.2f} s, other {o.other_p99:.2f} s; refused '
            f'{o.refused}\n'
        )
    sys.exit(1 if missed else 0)


if __name__ == '__main__':
    main()
