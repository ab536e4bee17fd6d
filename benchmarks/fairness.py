"""Overload: shares of workspaces and waiting times of urgent calls.

Run ``python -m benchmarks.fairness``. Seeded, on simulated time, with
the real scheduler on several VMs and small targets with a few slots.
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
_SLOT_TOKENS_PER_S = 5000.0
_CAPACITY_TOKENS_PER_S = _TARGETS * _SLOTS * _SLOT_TOKENS_PER_S
_DURATION_S = 60.0
MIN_FAIR_SHARE = 0.9
_OUTGOING = OutgoingRequest('POST', '/', {}, b'')


class TrafficStream(NamedTuple):
    """Traffic of one workspace; ``demand`` is a share of all capacity."""

    workspace: str
    tokens: int
    demand: float
    priority: int
    deadline: float


class OverloadScenario(NamedTuple):
    """Streams that together overload the targets."""

    name: str
    streams: tuple[TrafficStream, ...]


SCENARIOS = (
    OverloadScenario(
        'one workspace at several times its share',
        (
            TrafficStream('a', 1000, 0.9, 1, 10.0),
            *(TrafficStream(w, 1000, 0.15, 1, 10.0) for w in 'bcde'),
        ),
    ),
    OverloadScenario(
        'one workspace with long prompts',
        (
            TrafficStream('a', 10_000, 0.6, 1, 10.0),
            *(TrafficStream(w, 1000, 0.225, 1, 10.0) for w in 'bcde'),
        ),
    ),
    OverloadScenario(
        'chat beside sorting',
        (
            *(TrafficStream(w, 1000, 0.15, 0, 10.0) for w in 'abc'),
            *(TrafficStream(w, 8000, 0.35, 5, 60.0) for w in 'abc'),
        ),
    ),
)


class ScenarioResult(NamedTuple):
    """The result of a scenario; waiting times are in seconds.

    ``worst_share`` is the smallest ratio of a workspace's served tokens
    to its fair share.
    """

    scenario: str
    worst_share: float
    utilization: float
    urgent_wait_p99: float
    other_wait_p99: float
    rejected: int


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
        selector = PlacementSelector(self.pool, PlacementMap(1000), seed)
        self.scheduler = Scheduler(
            self.state, self.pool, selector, MoveTracker(), Metrics()
        )


class _Simulation:
    def __init__(
        self, loop: TimeLoop, scenario: OverloadScenario, seed: int
    ) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.running = {f't{i}': 0 for i in range(_TARGETS)}
        self.slots = {n: asyncio.Semaphore(_SLOTS) for n in self.running}
        self.served: dict[str, float] = {}
        self.waits: dict[int, list[float]] = {}
        self.rejected = 0
        names = sorted({s.workspace for s in scenario.streams})
        text = _declare(names)
        self.vms = [_Vm(loop, f'vm{i}', text, i) for i in range(_VMS)]

    async def report(self) -> None:
        """Report loads periodically and with a delay, as targets do."""
        while True:
            own_loads = [
                {n: s.own_in_flight for n, s in vm.pool.targets.items()}
                for vm in self.vms
            ]
            running_counts = dict(self.running)
            await asyncio.sleep(0.5)
            for vm, counts in zip(self.vms, own_loads, strict=True):
                for name, running in running_counts.items():
                    load = ReportedLoad('i', 'v1', running, 0, False, False)
                    vm.pool.apply_report(name, load, counts[name])
                vm.scheduler.assign_all_waiting()

    async def send(self, stream: TrafficStream) -> None:
        """Send one call and run it on the assigned target."""
        vm = self.random.choice(self.vms)
        call = _make_call(vm, stream, self.loop.time())
        try:
            reservation = await vm.scheduler.acquire(call, frozenset())
        except CallError:
            self.rejected += 1
            return
        name = reservation.target_state.target.name
        with reservation:
            self.running[name] += 1
            async with self.slots[name]:
                wait = self.loop.time() - call.arrived_at
                self.waits.setdefault(stream.priority, []).append(wait)
                await asyncio.sleep(stream.tokens / _SLOT_TOKENS_PER_S)
            self.running[name] -= 1
        tokens_before = self.served.get(stream.workspace, 0.0)
        self.served[stream.workspace] = tokens_before + stream.tokens


def _declare(workspaces: list[str]) -> str:
    sections = [f'[workspace {w}]\nrate = 1\nburst = 1' for w in workspaces]
    sections.append(f'[model m]\nslots = {_SLOTS}')
    sections += [
        f'[target t{i}]\nmodel = m\naddress = 127.0.0.1:{i + 1}'
        for i in range(_TARGETS)
    ]
    sections.append('[route r]\npath = /\nmodel = m')
    return '\n'.join(sections)


def _make_call(vm: _Vm, stream: TrafficStream, now: float) -> Call:
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


def _compute_fair_shares(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min fair shares of a capacity."""
    remaining = capacity
    shares: dict[str, float] = {}
    by_demand = sorted(demands, key=lambda w: demands[w])
    for index, workspace in enumerate(by_demand):
        share = min(demands[workspace], remaining / (len(by_demand) - index))
        shares[workspace] = share
        remaining -= share
    return shares


def _compute_p99(values: list[float]) -> float:
    ascending = sorted(values)
    return ascending[int(len(ascending) * 0.99)] if ascending else 0.0


def measure(scenario: OverloadScenario, seed: int) -> ScenarioResult:
    """Run a scenario."""

    async def main(loop: TimeLoop) -> ScenarioResult:
        simulation = _Simulation(loop, scenario, seed)
        reporter = asyncio.ensure_future(simulation.report())
        stop_at = loop.time() + _DURATION_S
        tasks: list[asyncio.Future[Any]] = []

        async def generate_traffic(stream: TrafficStream) -> None:
            rate = stream.demand * _CAPACITY_TOKENS_PER_S / stream.tokens
            while loop.time() < stop_at:
                await asyncio.sleep(simulation.random.expovariate(rate))
                tasks.append(asyncio.ensure_future(simulation.send(stream)))

        await asyncio.gather(*(generate_traffic(s) for s in scenario.streams))
        served = dict(simulation.served)
        waits = {p: list(w) for p, w in simulation.waits.items()}
        reporter.cancel()
        for task in tasks:
            task.cancel()
        total = sum(served.values())
        demands: dict[str, float] = {}
        for stream in scenario.streams:
            demanded = stream.demand * _CAPACITY_TOKENS_PER_S * _DURATION_S
            demand_before = demands.get(stream.workspace, 0.0)
            demands[stream.workspace] = demand_before + demanded
        fair = _compute_fair_shares(demands, total)
        worst = min(served.get(w, 0.0) / fair[w] for w in fair)
        urgent = min(waits)
        other = [x for p, w in waits.items() if p != urgent for x in w]
        return ScenarioResult(
            scenario.name,
            worst,
            total / (_CAPACITY_TOKENS_PER_S * _DURATION_S),
            _compute_p99(waits[urgent]),
            _compute_p99(other),
            simulation.rejected,
        )

    return timeloop.run(main)


def main() -> None:
    """Print a table; exit with 1 if a workspace gets too small a share."""
    missed = False
    for scenario in SCENARIOS:
        o = measure(scenario, 1)
        missed = missed or o.worst_share < MIN_FAIR_SHARE
        sys.stdout.write(
            f'{o.scenario}: worst-served gets {o.worst_share:.3f} of its fair '
            f'share; capacity used {o.utilization:.3f}; wait p99 urgent '
            f'{o.urgent_wait_p99:.2f} s, other {o.other_wait_p99:.2f} s; '
            f'refused {o.rejected}\n'
        )
    sys.exit(1 if missed else 0)


if __name__ == '__main__':
    main()
