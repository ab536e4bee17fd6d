"""Moves to new model versions: completed if good, rolled back if bad.

Run ``python -m benchmarks.moves``. Seeded, on simulated time: the real
driver on several VMs, and small targets whose new version is good or
faulty in one of several ways.
"""

from __future__ import annotations

import asyncio
import collections
import random
import sys
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from absl import logging
from benchmarks.traffic import send_traffic
from benchmarks.versions import Conditions
from benchmarks.versions import VersionBehaviour
from lentilrun.config import declaration
from lentilrun.coordination.table import MemoryTable
from lentilrun.fleet.state import CONFIGURATION_TOPIC
from lentilrun.fleet.state import pack_text
from lentilrun.moves.driver import MoveDriver
from lentilrun.moves.progress import MoveTracker
from lentilrun.moves.progress import Stage
from lentilrun.moves.tallies import TallyBook
from lentilrun.moves.tallies import VersionOnRoute
from lentilrun.routing.pool import TargetPool
from lentilrun.standins.members import make_settings
from lentilrun.standins.members import SimulatedMember
from lentilrun.standins.network import SimulatedNetwork
from lentilrun.standins import timeloop
from lentilrun.targets.loads import ReportedLoad
from lentilrun.web.client import Response
import msgspec
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from lentilrun.config.configuration import Configuration
    from lentilrun.config.ini import Address
    from lentilrun.standins.timeloop import TimeLoop
    from lentilrun.web.client import Request

_VMS = 4
_TARGETS = 9
_REQUESTS_PER_S = 40.0
_SERVICE_TIME_S = 0.05
_SERVICE_TIME_SIGMA = 0.3
_WEIGHTS_LOAD_S = 0.5
_DEADLINE_S = 60.0
_DURATION_S = 90.0
_SLOTS = 4
_ROUTES = ('chat', 'sort')
VERDICT_GRACE_S = 3.0

BEHAVIOURS = (
    VersionBehaviour('good'),
    VersionBehaviour('good, overload', traffic_factor=6.0),
    VersionBehaviour('fails', failure_share=0.3),
    VersionBehaviour('slow', slow_share=1.0, slowdown=2.5),
    VersionBehaviour('fails late', failure_share=0.3, after_requests=400),
    VersionBehaviour(
        'slow late', slow_share=1.0, slowdown=2.5, after_requests=400
    ),
    VersionBehaviour('fails under load', failure_share=0.5, min_running=2),
    VersionBehaviour('fails on one route', failure_share=0.4, route='sort'),
    VersionBehaviour(
        'slow on one route', slow_share=1.0, slowdown=2.5, route='sort'
    ),
)


class MoveResult(NamedTuple):
    """The result of one move.

    ``ended_after_s`` counts from the declaration of the move;
    ``affected`` requests hit a fault; ``late_requests`` reached the new
    version more than ``VERDICT_GRACE_S`` after it was banned.
    """

    behaviour: str
    seed: int
    stage: str
    ended_after_s: float
    reason: str
    affected: int
    served: int
    late_requests: int
    max_loading: int

    def is_misjudged(self) -> bool:
        """Return whether a good version was rolled back, or a bad one not."""
        is_faulty = next(
            k for k in BEHAVIOURS if k.name == self.behaviour
        ).is_bad()
        return is_faulty != (self.stage == Stage.ROLLED_BACK)


class _Target:
    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 'v1'
        self.running = 0
        self.loading = False
        self.slots = asyncio.Semaphore(_SLOTS)


class _Simulation:
    """The targets of one run, and statistics of their requests."""

    def __init__(
        self, loop: TimeLoop, behaviour: VersionBehaviour, seed: int
    ) -> None:
        self.loop = loop
        self.behaviour = behaviour
        self.random = random.Random(seed)
        self.targets = {f't{i}': _Target(f't{i}') for i in range(_TARGETS)}
        self.served: collections.Counter[str] = collections.Counter()
        self.affected = 0
        self.banned_at = float('inf')
        self.late_requests = 0
        self.max_loading = 0

    def _is_faulty(self, target: _Target, route: str) -> bool:
        return target.version == 'v2' and self.behaviour.is_faulty(
            Conditions(route, target.running, served=self.served['v2'])
        )

    async def serve(self, name: str, route: str) -> bool:
        """Run a request at a target; return whether it succeeded."""
        target = self.targets[name]
        target.running += 1
        async with target.slots:
            version = target.version
            is_faulty = self._is_faulty(target, route)
            self.served[version] += 1
            if (
                version == 'v2'
                and self.loop.time() > self.banned_at + VERDICT_GRACE_S
            ):
                self.late_requests += 1
            duration = _SERVICE_TIME_S * self.random.lognormvariate(
                0.0, _SERVICE_TIME_SIGMA
            )
            await asyncio.sleep(
                duration * (self.behaviour.slowdown if is_faulty else 1.0)
            )
        target.running -= 1
        self.affected += is_faulty
        return not (
            is_faulty and self.random.random() < self.behaviour.failure_share
        )


class _Client:
    """Replaces the HTTP client that sends orders to targets."""

    def __init__(self, simulation: _Simulation) -> None:
        self._simulation = simulation

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        """Load the ordered version."""
        order = msgspec.json.decode(request.body)
        target = self._simulation.targets[f't{address.port - 1}']
        target.loading = True
        targets = self._simulation.targets.values()
        loading = sum(t.loading for t in targets)
        simulation = self._simulation
        simulation.max_loading = max(simulation.max_loading, loading)
        await asyncio.sleep(_WEIGHTS_LOAD_S)
        target.version = order['version']
        target.loading = False
        return Response(200, HTTPHeaders(), b'')


class _Vm:
    """A fleet member with the real driver, pool and tallies."""

    def __init__(
        self, simulation: _Simulation, member: SimulatedMember
    ) -> None:
        self.member = member
        self.simulation = simulation
        loop = simulation.loop
        self.pool = TargetPool(loop)
        self.moves = MoveTracker()
        self.book = TallyBook(loop.time)
        client: Any = _Client(simulation)
        self.driver = MoveDriver(
            member.state,
            member.mesh,
            member.table,
            client,
            self.pool,
            self.moves,
            self.book,
            loop.time,
        )
        member.attach(self.driver)
        member.state.configuration_callbacks.append(self._configure)
        member.run(self.driver.run())
        member.run(self._report_loads())

    def _configure(self, configuration: Configuration) -> None:
        self.pool.configure(configuration)
        self.moves.configure(configuration)

    async def _report_loads(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            for name, target in self.simulation.targets.items():
                load = ReportedLoad(
                    'i',
                    target.version,
                    target.running,
                    0,
                    False,
                    target.loading,
                )
                self.pool.apply_report(name, load, 0)

    async def send(self, route: str) -> None:
        """Send one request, choosing the version as the scheduler does."""
        groups = self.pool.get_groups('m')
        split = self.moves.split_by_version('m', groups)
        group = split.new
        if not self.moves.pick_new_version('m', route, split):
            group = split.old[0] if split.old else None
        if group is None:
            return
        names = group.names
        candidates = [self.simulation.random.choice(names) for _ in range(2)]
        name = min(
            candidates, key=lambda n: self.simulation.targets[n].running
        )
        version = self.pool.targets[name].weights_version
        sent_at = self.simulation.loop.time()
        success = await self.simulation.serve(name, route)
        duration = self.simulation.loop.time() - sent_at
        self.book.record_outcome(
            VersionOnRoute('m', version, route), success, duration
        )


def _declare(by: str) -> str:
    sections = [
        '[workspace w]\nrate = 1\nburst = 1',
        '[model m]\nversion = v1',
    ]
    sections += [
        f'[target t{i}]\nmodel = m\naddress = 127.0.0.1:{i + 1}'
        for i in range(_TARGETS)
    ]
    if by:
        sections.append(
            f'[move up]\nmodel = m\nversion = v2\nby = {by}\nshare = 0.02'
        )
    return '\n'.join(sections)


async def _apply(vm: _Vm, text: str) -> None:
    declaration.parse(text, 'f')
    topic = vm.member.state.topics[CONFIGURATION_TOPIC]
    name = f'change {topic.value.generation}'
    announce = topic.propose(name, pack_text(text))
    await vm.member.agreement.change(topic, name, announce)


async def _wait_for_ban(simulation: _Simulation, vms: list[_Vm]) -> None:
    while not all(vm.moves.find_ban_reason('m', 'v2') for vm in vms):
        await asyncio.sleep(0.1)
    simulation.banned_at = simulation.loop.time()


async def _send_traffic(
    simulation: _Simulation, vms: list[_Vm], seconds: float
) -> None:
    def send() -> Coroutine[Any, Any, None]:
        vm = simulation.random.choice(vms)
        return vm.send(simulation.random.choice(_ROUTES))

    loop = simulation.loop
    rate = _REQUESTS_PER_S * simulation.behaviour.traffic_factor
    await send_traffic(
        loop, simulation.random, rate, loop.now() + seconds, send
    )


def run_move(behaviour: VersionBehaviour, seed: int) -> MoveResult:
    """Run one move for ``_DURATION_S`` of simulated time."""

    async def main(loop: TimeLoop) -> MoveResult:
        simulation = _Simulation(loop, behaviour, seed)
        network = SimulatedNetwork(seed)
        shared = MemoryTable()
        names = [f'vm{i}' for i in range(_VMS)]
        vms = [
            _Vm(
                simulation,
                SimulatedMember(
                    loop, network, shared, make_settings(n, names)
                ),
            )
            for n in names
        ]
        await asyncio.sleep(3.0)
        await _apply(vms[0], _declare(''))
        await _send_traffic(simulation, vms, 10.0)
        started_at = loop.time()
        await _apply(
            vms[0], _declare(f'1970-01-01T00:{_format_deadline(started_at)}')
        )
        watcher = asyncio.ensure_future(_wait_for_ban(simulation, vms))
        ended_after_s = await _run_to_end(simulation, vms, started_at)
        watcher.cancel()
        progress = vms[0].moves.find_progress(vms[0].moves.list_moves()[0])
        assert progress is not None
        return MoveResult(
            behaviour.name,
            seed,
            progress.stage,
            ended_after_s,
            vms[0].moves.find_ban_reason('m', 'v2'),
            simulation.affected,
            simulation.served['v2'],
            simulation.late_requests,
            simulation.max_loading,
        )

    return timeloop.run(main)


def _format_deadline(started_at: float) -> str:
    minutes, seconds = divmod(int(started_at + _DEADLINE_S), 60)
    return f'{minutes:02}:{seconds:02}'


async def _run_to_end(
    simulation: _Simulation, vms: list[_Vm], started_at: float
) -> float:
    """Send traffic; return the seconds until the last change of stage."""
    ended_after_s = 0.0
    stage = ''
    while simulation.loop.time() < started_at + _DURATION_S:
        await _send_traffic(simulation, vms, 1.0)
        progress = vms[0].moves.find_progress(vms[0].moves.list_moves()[0])
        if progress is not None and progress.stage != stage:
            stage = progress.stage
            ended_after_s = simulation.loop.time() - started_at
    return ended_after_s


def main() -> None:
    """Run all moves and print a table; exit with 1 on a wrong result."""
    logging.set_verbosity(logging.ERROR)
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 23
    wrong_moves = 0
    for behaviour in BEHAVIOURS:
        results = [run_move(behaviour, seed) for seed in range(count)]
        misjudged = [v for v in results if v.is_misjudged()]
        wrong_moves += len(misjudged)
        durations = sorted(v.ended_after_s for v in results)
        late_moves = [
            v
            for v in results
            if not behaviour.is_bad() and v.ended_after_s > _DEADLINE_S
        ]
        wrong_moves += len(late_moves)
        affected = sorted(v.affected for v in results)
        sys.stdout.write(
            f'{behaviour.name:20} {len(results)} moves, '
            f'wrong {len(misjudged)}, '
            f'after their time {len(late_moves)}; ended p50 '
            f'{durations[len(durations) // 2]:.0f} s, '
            f'most {durations[-1]:.0f} s; harmed p50 '
            f'{affected[len(affected) // 2]}, most {affected[-1]}; sent '
            f'{VERDICT_GRACE_S:.0f} s after the verdict '
            f'{sum(v.late_requests for v in results)}; most loading '
            f'at once {max(v.max_loading for v in results)}\n'
        )
        for result in (*misjudged, *late_moves):
            sys.stdout.write(f'  WRONG: {result}\n')
    sys.exit(1 if wrong_moves else 0)


if __name__ == '__main__':
    main()
