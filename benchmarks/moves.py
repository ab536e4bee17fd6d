"""Moves of versions: good ones done in time, bad ones taken back.

Run ``python -m benchmarks.moves``. Seeded, on modelled time: the real
driver on several VMs, small targets whose new version misbehaves in one
of several ways, or not at all.
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
from lentilrun.config import declaration
from lentilrun.coordination.table import MemoryTable
from lentilrun.fleet.state import CONFIGURATION
from lentilrun.fleet.state import pack_text
from lentilrun.moves.driver import Driver
from lentilrun.moves.progress import Moves
from lentilrun.moves.progress import Stage
from lentilrun.moves.tallies import Subject
from lentilrun.moves.tallies import TallyBook
from lentilrun.routing.pool import Pool
from lentilrun.standins.members import make_settings
from lentilrun.standins.members import SimulatedMember
from lentilrun.standins.network import SimulatedNetwork
from lentilrun.standins import timeloop
from lentilrun.targets.loads import Load
from lentilrun.web.client import Response
import msgspec
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from lentilrun.config.configuration import Configuration
    from lentilrun.config.ini import Address
    from lentilrun.standins.timeloop import TimeLoop
    from lentilrun.web.client import Request

_VMS = 4
_TARGETS = 9
_RATE = 40.0
_SERVICE = 0.05
_SIGMA = 0.3
_LOAD_TIME = 0.5
_BY = 60.0
_END = 90.0
_SLOTS = 4
_ROUTES = ('chat', 'sort')
GRACE = 3.0


class Kind(NamedTuple):
    """How a new version behaves; ``after`` counts its requests.

    ``fails`` is a share, ``slowdown`` a factor; ``busy`` is the least
    running at a target, ``route`` the only one hit, and ``overload`` a
    factor on everybody's traffic.
    """

    name: str
    fails: float = 0.0
    slowdown: float = 1.0
    after: int = 0
    busy: int = 0
    route: str = ''
    overload: float = 1.0

    def is_bad(self) -> bool:
        """Return whether the version ought to be taken back."""
        return self.fails > 0.0 or self.slowdown > 1.0


KINDS = (
    Kind('good'),
    Kind('good, overload', overload=6.0),
    Kind('fails', fails=0.3),
    Kind('slow', slowdown=2.5),
    Kind('fails late', fails=0.3, after=400),
    Kind('slow late', slowdown=2.5, after=400),
    Kind('fails under load', fails=0.5, busy=2),
    Kind('fails on one route', fails=0.4, route='sort'),
    Kind('slow on one route', slowdown=2.5, route='sort'),
)


class Verdict(NamedTuple):
    """How one move ended; ``ended`` in seconds after it was declared."""

    kind: str
    seed: int
    stage: str
    ended: float
    reason: str
    harmed: int
    served: int
    late: int
    most_loading: int

    def is_wrong(self) -> bool:
        """Return whether a good one was taken back, or a bad one not."""
        bad = next(k for k in KINDS if k.name == self.kind).is_bad()
        return bad != (self.stage == Stage.TAKEN_BACK)


class _Target:
    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 'v1'
        self.running = 0
        self.loading = False
        self.slots = asyncio.Semaphore(_SLOTS)


class _World:
    """The targets of one run, and what came to pass at them."""

    def __init__(self, loop: TimeLoop, kind: Kind, seed: int) -> None:
        self.loop = loop
        self.kind = kind
        self.random = random.Random(seed)
        self.targets = {f't{i}': _Target(f't{i}') for i in range(_TARGETS)}
        self.served: collections.Counter[str] = collections.Counter()
        self.harmed = 0
        self.banned_at = float('inf')
        self.late = 0
        self.most_loading = 0

    def _misbehaves(self, target: _Target, route: str) -> bool:
        kind = self.kind
        return (
            kind.is_bad()
            and target.version == 'v2'
            and self.served['v2'] >= kind.after
            and target.running >= kind.busy
            and kind.route in ('', route)
        )

    async def serve(self, name: str, route: str) -> bool:
        """Run a request at a target; return whether it succeeded."""
        target = self.targets[name]
        target.running += 1
        async with target.slots:
            version = target.version
            bad = self._misbehaves(target, route)
            self.served[version] += 1
            if version == 'v2' and self.loop.time() > self.banned_at + GRACE:
                self.late += 1
            spent = _SERVICE * self.random.lognormvariate(0.0, _SIGMA)
            await asyncio.sleep(spent * (self.kind.slowdown if bad else 1.0))
        target.running -= 1
        self.harmed += bad
        return not (bad and self.random.random() < self.kind.fails)


class _Client:
    """Takes orders in place of the targets' HTTP port."""

    def __init__(self, world: _World) -> None:
        self._world = world

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        """Load the version that is ordered."""
        order = msgspec.json.decode(request.body)
        target = self._world.targets[f't{address.port - 1}']
        target.loading = True
        targets = self._world.targets.values()
        loading = sum(t.loading for t in targets)
        world = self._world
        world.most_loading = max(world.most_loading, loading)
        await asyncio.sleep(_LOAD_TIME)
        target.version = order['version']
        target.loading = False
        return Response(200, HTTPHeaders(), b'')


class _Vm:
    """A member with the real driver, pool and tallies."""

    def __init__(self, world: _World, member: SimulatedMember) -> None:
        self.member = member
        self.world = world
        loop = world.loop
        self.pool = Pool(loop)
        self.moves = Moves()
        self.book = TallyBook(loop.time)
        client: Any = _Client(world)
        self.driver = Driver(
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
        member.state.on_configuration.append(self._configure)
        member.run(self.driver.run())
        member.run(self._report())

    def _configure(self, configuration: Configuration) -> None:
        self.pool.configure(configuration)
        self.moves.configure(configuration)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            for name, target in self.world.targets.items():
                load = Load(
                    'i',
                    target.version,
                    target.running,
                    0,
                    False,
                    target.loading,
                )
                self.pool.report(name, load, 0)

    async def send(self, route: str) -> None:
        """Send one request as the scheduler would."""
        groups = self.pool.groups('m')
        split = self.moves.split('m', groups)
        group = split.new
        if not self.moves.take_turn('m', route, split):
            group = split.old[0] if split.old else None
        if group is None:
            return
        names = group.names
        picked = [self.world.random.choice(names) for _ in range(2)]
        name = min(picked, key=lambda n: self.world.targets[n].running)
        version = self.pool.targets[name].version
        started = self.world.loop.time()
        success = await self.world.serve(name, route)
        spent = self.world.loop.time() - started
        self.book.note(Subject('m', version, route), success, spent)


def _declare(by: str) -> str:
    parts = ['[workspace w]\nrate = 1\nburst = 1', '[model m]\nversion = v1']
    parts += [
        f'[target t{i}]\nmodel = m\naddress = 127.0.0.1:{i + 1}'
        for i in range(_TARGETS)
    ]
    if by:
        parts.append(
            f'[move up]\nmodel = m\nversion = v2\nby = {by}\nshare = 0.02'
        )
    return '\n'.join(parts)


async def _apply(vm: _Vm, text: str) -> None:
    declaration.parse(text, 'f')
    topic = vm.member.state.topics[CONFIGURATION]
    name = f'change {topic.value.generation}'
    announce = topic.propose(name, pack_text(text))
    await vm.member.agreement.change(topic, name, announce)


async def _watch(world: _World, vms: list[_Vm]) -> None:
    while not all(vm.moves.find_ban('m', 'v2') for vm in vms):
        await asyncio.sleep(0.1)
    world.banned_at = world.loop.time()


async def _load(world: _World, vms: list[_Vm], seconds: float) -> None:
    end = world.loop.time() + seconds
    tasks: set[asyncio.Task[None]] = set()
    rate = _RATE * world.kind.overload
    while world.loop.time() < end:
        await asyncio.sleep(world.random.expovariate(rate))
        vm = world.random.choice(vms)
        work = vm.send(world.random.choice(_ROUTES))
        task = asyncio.ensure_future(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)


def run_move(kind: Kind, seed: int) -> Verdict:
    """Run one move to its end."""

    async def main(loop: TimeLoop) -> Verdict:
        world = _World(loop, kind, seed)
        network = SimulatedNetwork(seed)
        shared = MemoryTable()
        names = [f'vm{i}' for i in range(_VMS)]
        vms = [
            _Vm(
                world,
                SimulatedMember(
                    loop, network, shared, make_settings(n, names)
                ),
            )
            for n in names
        ]
        await asyncio.sleep(3.0)
        await _apply(vms[0], _declare(''))
        await _load(world, vms, 10.0)
        began = loop.time()
        await _apply(vms[0], _declare(f'1970-01-01T00:{_minutes(began)}'))
        watching = asyncio.ensure_future(_watch(world, vms))
        ended = await _run_to_end(world, vms, began)
        watching.cancel()
        progress = vms[0].moves.progress(vms[0].moves.all()[0])
        assert progress is not None
        return Verdict(
            kind.name,
            seed,
            progress.stage,
            ended,
            vms[0].moves.find_ban('m', 'v2'),
            world.harmed,
            world.served['v2'],
            world.late,
            world.most_loading,
        )

    return timeloop.run(main)


def _minutes(began: float) -> str:
    minutes, seconds = divmod(int(began + _BY), 60)
    return f'{minutes:02}:{seconds:02}'


async def _run_to_end(world: _World, vms: list[_Vm], began: float) -> float:
    """Send traffic to the end; return when the stage last changed."""
    ended = 0.0
    stage = ''
    while world.loop.time() < began + _END:
        await _load(world, vms, 1.0)
        progress = vms[0].moves.progress(vms[0].moves.all()[0])
        if progress is not None and progress.stage != stage:
            stage = progress.stage
            ended = world.loop.time() - began
    return ended


def main() -> None:
    """Run all moves and print a table; exit with 1 on a wrong verdict."""
    logging.set_verbosity(logging.ERROR)
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 23
    wrong = 0
    for kind in KINDS:
        found = [run_move(kind, seed) for seed in range(count)]
        bad = [v for v in found if v.is_wrong()]
        wrong += len(bad)
        ends = sorted(v.ended for v in found)
        late = [v for v in found if not kind.is_bad() and v.ended > _BY]
        wrong += len(late)
        harmed = sorted(v.harmed for v in found)
        sys.stdout.write(
            f'{kind.name:20} {len(found)} moves, wrong {len(bad)}, after '
            f'their time {len(late)}; ended p50 {ends[len(ends) // 2]:.0f} s, '
            f'most {ends[-1]:.0f} s; harmed p50 '
            f'{harmed[len(harmed) // 2]}, most {harmed[-1]}; sent {GRACE:.0f} '
            f's after the verdict {sum(v.late for v in found)}; most loading '
            f'at once {max(v.most_loading for v in found)}\n'
        )
        for verdict in (*bad, *late):
            sys.stdout.write(f'  WRONG: {verdict}\n')
    sys.exit(1 if wrong else 0)


if __name__ == '__main__':
    main()
