"""Roll-outs of software on VMs: completed if good, rolled back if bad.

Run ``python -m benchmarks.rollouts``. Seeded, on simulated time: the real
verdict, choice and driver on several VMs, which exchange encoded messages,
and small targets whose new version is good or faulty in one of several ways.
"""

from __future__ import annotations

import asyncio
import collections
import random
import sys
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from benchmarks.traffic import send_traffic
from benchmarks.versions import Conditions
from benchmarks.versions import VersionBehaviour
from lentilrun.config.ini import Address
from lentilrun.decisions.facts import Target
from lentilrun.decisions.rollouts import ExposureLimits
from lentilrun.decisions.topology import Member
from lentilrun.errors import ConflictError
from lentilrun.errors import PlatformError
from lentilrun.gateway.attemptoutcome import AttemptOutcome
from lentilrun.gateway.attemptwatch import AttemptWatch
from lentilrun.gateway.messages import decode
from lentilrun.gateway.messages import encode
from lentilrun.gateway.messages import GossipMessage
from lentilrun.gateway.messages import Scope
from lentilrun.gateway.orderlease import OrderLease
from lentilrun.gateway.recent import Origin
from lentilrun.gateway.rolloutdriver import RolloutDriver
from lentilrun.gateway.rollouts import Rollouts
from lentilrun.gateway.targets import Targets
from lentilrun.platform.rollouts import RolloutOrder
from lentilrun.platform.rollouts import RolloutState
from lentilrun.platform.rollouts import STATUS_TABLE
from lentilrun.platform.rows import Row
from lentilrun.platform.rows import Rows
from lentilrun.standins import timeloop
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Sequence

    from lentilrun.gateway.targetstate import TargetState
    from lentilrun.platform.rows import Write
    from lentilrun.standins.timeloop import TimeLoop

_VMS = 8
_TARGETS = 9
_SERVICE = 'app'
_REQUESTS_PER_S = 36.0
_SERVICE_TIME_S = {'chat': 0.05, 'sort': 0.25}
_SORT_SHARE = 0.3
_SERVICE_TIME_SIGMA = 0.5
_SLOWDOWN = 4.0
_USUAL_FAILURE_SHARE = 0.004
_SLOTS = 8
_BEFORE_S = 4.0
_DURATION_S = 15.0
_AFTER_S = 8.0
_MESSAGE_INTERVAL_S = 0.25
_MIN_MESSAGE_INTERVAL_S = 0.04
_MESSAGE_DELAY_S = 0.003
_MESSAGE_LOSS = 0.05
_STORE_DELAY_S = 0.005
_STORE_TIMEOUT_S = 1.5
_MAX_ORDER_DELAY_S = 0.3
_RESTART_S = 1.0
_PEER_TIMEOUT_S = 1.4
LIMITS = ExposureLimits(0.1, 50.0)
_BAD_RESPONSES = 50
_ROLLBACK_S = 5.0

BEHAVIOURS = (
    VersionBehaviour('good'),
    VersionBehaviour('good, much traffic', traffic_factor=8.0),
    VersionBehaviour('fails', failure_share=0.5),
    VersionBehaviour('fails at times', failure_share=0.25),
    VersionBehaviour('slow', slow_share=1.0, slowdown=_SLOWDOWN),
    VersionBehaviour('half slow', slow_share=0.5, slowdown=_SLOWDOWN),
    VersionBehaviour('fails late', failure_share=0.5, after_s=6.0),
    VersionBehaviour(
        'slow late', slow_share=0.5, slowdown=_SLOWDOWN, after_s=6.0
    ),
    VersionBehaviour('fails on one route', failure_share=0.5, route='sort'),
    VersionBehaviour(
        'slow on one route', slow_share=0.5, slowdown=_SLOWDOWN, route='sort'
    ),
    VersionBehaviour('fails under load', failure_share=0.5, min_running=2),
)


class Trouble(NamedTuple):
    """Trouble in the middle of a roll-out: ``begin`` undoes it.

    It lasts from ``at`` to ``until``, in seconds after the order.
    """

    name: str
    kind: str = ''
    at: float = 5.0
    until: float = 9.0


TROUBLES = (
    Trouble('no trouble'),
    Trouble('a VM restarts', 'restart'),
    Trouble('the driving VM is lost', 'lose driver'),
    Trouble('the store is away', 'store'),
    Trouble('the driving VM is cut off from VMs', 'cut driver'),
)


class RolloutResult(NamedTuple):
    """The result of one roll-out.

    ``ended_after_s`` counts from the order. ``new`` of the ``total``
    requests until the deadline went to the new version. ``late`` ones did
    more than ``_ROLLBACK_S`` after its 50th bad response, ``stopped`` ones
    were sent to old targets after completion.
    """

    behaviour: str
    trouble: str
    seed: int
    state: str
    ended_after_s: float
    reason: str
    total: int
    new: int
    late: int
    stopped: int

    def list_missed(self) -> list[str]:
        """Return the promises that were broken."""
        behaviour = next(b for b in BEHAVIOURS if b.name == self.behaviour)
        missed = []
        expected = (
            RolloutState.ROLLED_BACK
            if behaviour.is_bad()
            else RolloutState.COMPLETED
        )
        if self.state != expected:
            missed.append(f'{self.state or "no state"}: {self.reason}')
        if not behaviour.is_bad() and self.ended_after_s > _DURATION_S:
            missed.append('after the deadline')
        allowed = LIMITS.share * self.total + LIMITS.slack
        if behaviour.is_bad() and self.new > allowed:
            missed.append(f'{self.new} of {self.total} requests')
        if self.late:
            missed.append(f'{self.late} requests after the verdict')
        return missed


class _SharedStore:
    """The rows that all VMs read and write."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str], Row] = {}
        self.is_down = False

    def write(self, writes: Sequence[Write]) -> None:
        for write in writes:
            row = self.rows.get((write.table, write.key))
            version = row.version if row is not None else 0
            if write.expected_version not in (None, version):
                raise ConflictError('another version')
        self.version += 1
        for write in writes:
            self.rows[write.table, write.key] = Row(
                write.key, write.value or b'', self.version
            )


class _Store:
    """A VM's access to the shared store."""

    era_known_at = restored_at = float('-inf')

    def __init__(self, shared: _SharedStore, loop: TimeLoop) -> None:
        self._shared = shared
        self._loop = loop

    def current_era(self) -> int:
        return 0

    def latest_clock(self) -> float:
        """Return the time of the store, which is known exactly."""
        return self.estimate_clock()

    def estimate_clock(self) -> float:
        return self._loop.now()

    async def _delay(self) -> None:
        if self._shared.is_down:
            await asyncio.sleep(_STORE_TIMEOUT_S)
            raise PlatformError('no response')
        await asyncio.sleep(_STORE_DELAY_S)

    async def read(self, table: str) -> Rows:
        await self._delay()
        rows = self._shared.rows.items()
        return Rows(
            tuple(r for (t, _), r in rows if t == table),
            self._shared.version,
            self._loop.now(),
        )

    async def write(self, writes: Sequence[Write]) -> Rows:
        await self._delay()
        self._shared.write(writes)
        return Rows((), self._shared.version, self._loop.now())


class _Peers:
    """The other VMs, as a VM sees them."""

    def __init__(self, name: str, loop: TimeLoop) -> None:
        self.own_member = Member(name, 'a', 1.0)
        self.on_message: list[Callable[[GossipMessage], None]] = []
        self.on_restart: list[Callable[[str], None]] = []
        self.heard_at: dict[str, float] = {}
        self.send_requested = asyncio.Event()
        self._loop = loop
        self.started_at = loop.now()

    def is_starting(self) -> bool:
        return self._loop.now() - self.started_at < 3.0

    def is_mesh(self) -> bool:
        return True

    def count_members(self) -> int:
        return _VMS

    def list_responsive(self) -> list[str]:
        oldest = self._loop.now() - _PEER_TIMEOUT_S
        return [n for n, at in self.heard_at.items() if at >= oldest]

    def request_send(self) -> None:
        self.send_requested.set()

    def receive(self, data: bytes) -> None:
        message = decode(data)
        assert isinstance(message, GossipMessage)
        self.heard_at[message.node] = self._loop.now()
        for callback in self.on_message:
            callback(message)


class _Log:
    """Keeps the log lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, event: str, **fields: Any) -> None:
        self.lines.append({'event': event, **fields})


class _Head(NamedTuple):
    status: int


class _Receiver(NamedTuple):
    head: _Head


class _Result(NamedTuple):
    outcome: AttemptOutcome
    receiver: _Receiver


class _Choice(NamedTuple):
    expected_time: float


class _Assignment(NamedTuple):
    state: TargetState
    choice: _Choice


class _Attempt:
    def __init__(self, now: float) -> None:
        self.started_at = now
        self.first_event_at: float | None = None


class _Vm:
    """A VM with the real roll-outs, driver and lease."""

    def __init__(self, simulation: _Simulation, name: str) -> None:
        loop = simulation.loop
        self.name = name
        self.simulation = simulation
        self.peers = _Peers(name, loop)
        self.log = _Log()
        self.targets = Targets(loop, 'a')
        peers: Any = self.peers
        log: Any = self.log
        store: Any = _Store(simulation.store, loop)
        self.rollouts = Rollouts(name, loop, self.targets, peers, LIMITS, log)
        lease = OrderLease(store, loop, name, 0.0, log, 'rollouts')
        self.driver = RolloutDriver(
            name, loop, store, self.rollouts, peers, lease, log
        )
        for target in simulation.registered:
            self.targets.register(target)
        self._store = store
        self._tasks = [
            asyncio.ensure_future(c)
            for c in (self.driver.run(), self._send(), self._join())
        ]

    async def _join(self) -> None:
        while True:
            try:
                rows = await self._store.read('fleet')
            except PlatformError:
                continue
            self.driver.apply_rows(rows)
            return

    async def _send(self) -> None:
        while True:
            message = self._make_message()
            self.simulation.transmit(self.name, encode(message))
            try:
                async with asyncio.timeout(_MESSAGE_INTERVAL_S):
                    await self.peers.send_requested.wait()
            except TimeoutError:
                continue
            self.peers.send_requested.clear()
            await asyncio.sleep(_MIN_MESSAGE_INTERVAL_S)

    def _make_message(self) -> GossipMessage:
        rollouts = self.rollouts
        empty: Any = []
        nothing: Any = {}
        return GossipMessage(
            self.name,
            Scope.VM,
            'a',
            1.0,
            '127.0.0.1',
            1,
            1,
            False,
            0,
            False,
            empty,
            empty,
            empty,
            empty,
            nothing,
            nothing,
            nothing,
            empty,
            empty,
            rollouts=rollouts.export(self.driver.is_driving()),
            rollout_outcomes=rollouts.outcomes.reporter.recent.export(
                Origin.OWN
            ),
        )

    def stop(self) -> None:
        """End all work at once, as if the process were killed."""
        for task in self._tasks:
            task.cancel()

    async def request(self, route: str) -> None:
        """Send one request, to the less loaded of two targets."""
        states = self.targets.list_usable(_SERVICE)
        usable, _ = self.rollouts.selection.select(
            _SERVICE, states, route, True
        )
        if not usable:
            return
        draws = self.simulation.random
        candidates = [draws.choice(usable) for _ in range(2)]
        state = min(candidates, key=lambda s: s.in_flight)
        loop = self.simulation.loop
        attempt: Any = _Attempt(loop.now())
        assignment: Any = _Assignment(state, _Choice(_SERVICE_TIME_S[route]))
        state.in_flight += 1
        with AttemptWatch(
            self.rollouts, loop, route, assignment, attempt
        ) as watch:
            status = await self.simulation.serve(
                state.target.incarnation, route
            )
            result: Any = _Result(
                AttemptOutcome.FAILED
                if status >= 500
                else AttemptOutcome.DELIVERED,
                _Receiver(_Head(status)),
            )
            watch.finish(result, 0)
        state.in_flight -= 1


class _TargetServer:
    def __init__(self, version: str) -> None:
        self.version = version
        self.running = 0
        self.slots = asyncio.Semaphore(_SLOTS)


class _Simulation:
    """The targets, VMs and store of one run, and what was counted."""

    def __init__(
        self, loop: TimeLoop, behaviour: VersionBehaviour, seed: int
    ) -> None:
        self.loop = loop
        self.behaviour = behaviour
        self.random = random.Random(seed)
        self.store = _SharedStore()
        self.registered: list[Target] = []
        self.servers: dict[str, _TargetServer] = {}
        self.vms: dict[str, _Vm] = {}
        self.cut_off: set[str] = set()
        self.ordered_at = float('inf')
        self.completed_at = float('inf')
        self.counts: collections.Counter[str] = collections.Counter()
        self.bad_responses = 0
        self.banned_from = float('inf')

    def add_targets(self, version: str) -> None:
        """Start the targets of a version."""
        for number in range(_TARGETS):
            name = f'{version}-{number}'
            self.servers[name] = _TargetServer(version)
            target = Target(
                name,
                1,
                _SERVICE,
                Address('host', 1),
                'a',
                _SLOTS,
                False,
                {},
                version,
            )
            self.registered.append(target)
            for vm in self.vms.values():
                vm.targets.register(target)

    def transmit(self, sender: str, data: bytes) -> None:
        """Deliver a message to the other VMs, unless it is lost."""
        for name in self.vms:
            if name == sender or self.cut_off & {name, sender}:
                continue
            if self.random.random() < _MESSAGE_LOSS:
                continue
            self.loop.call_later(_MESSAGE_DELAY_S, self._deliver, name, data)

    def _deliver(self, name: str, data: bytes) -> None:
        if name in self.vms:
            self.vms[name].peers.receive(data)

    def _is_faulty(self, server: _TargetServer, route: str) -> bool:
        since_order_s = self.loop.now() - self.ordered_at
        return server.version == 'v2' and self.behaviour.is_faulty(
            Conditions(route, server.running, since_order_s)
        )

    def _count(self, server: _TargetServer) -> None:
        now = self.loop.now()
        if now > self.ordered_at + _DURATION_S:
            self.counts['after the deadline'] += 1
        elif now >= self.ordered_at:
            self.counts[server.version] += 1
        if server.version == 'v2' and now > self.banned_from:
            self.counts['late'] += 1
        if server.version == 'v1' and now > self.completed_at:
            self.counts['stopped'] += 1

    async def serve(self, name: str, route: str) -> int:
        """Run a request at a target; return the status."""
        server = self.servers[name]
        self._count(server)
        server.running += 1
        async with server.slots:
            is_faulty = self._is_faulty(server, route)
            behaviour = self.behaviour
            draw = self.random.random()
            fails = draw < _USUAL_FAILURE_SHARE or (
                is_faulty and draw < behaviour.failure_share
            )
            is_slow = is_faulty and draw < behaviour.slow_share
            duration = _SERVICE_TIME_S[route] * self.random.lognormvariate(
                0.0, _SERVICE_TIME_SIGMA
            )
            await asyncio.sleep(
                duration * (behaviour.slowdown if is_slow else 1.0)
            )
        server.running -= 1
        if server.version == 'v2' and (fails or is_slow):
            self._count_bad()
        return 500 if fails else 200

    def _count_bad(self) -> None:
        self.bad_responses += 1
        if self.bad_responses == _BAD_RESPONSES:
            self.banned_from = self.loop.now() + _ROLLBACK_S

    def read_status(self) -> str:
        """Return the state that operators read, empty if there is none."""
        row = self.store.rows.get((STATUS_TABLE, f'rollout/{_SERVICE}'))
        return str(msgspec.json.decode(row.value)['state']) if row else ''

    def order(self) -> None:
        """Order the roll-out; VMs learn of it some time later."""
        self.ordered_at = self.loop.now()
        for name in self.vms:
            delay = self.random.uniform(0.0, _MAX_ORDER_DELAY_S)
            self.loop.call_later(delay, self._apply_order, name)

    def _apply_order(self, name: str) -> None:
        order = RolloutOrder(_SERVICE, 'v2', _DURATION_S, 7)
        if name in self.vms:
            self.vms[name].rollouts.apply_order(order)

    def find_driver(self) -> str:
        """Return the VM that drives the roll-out, or any."""
        for name, vm in self.vms.items():
            if vm.driver.is_driving():
                return name
        return next(iter(self.vms))

    async def restart(self, name: str) -> None:
        """Kill a VM and start it again, without what it knew."""
        self.vms.pop(name).stop()
        await asyncio.sleep(_RESTART_S)
        self.vms[name] = _Vm(self, name)
        self._apply_order(name)


async def _send_traffic(simulation: _Simulation, until: float) -> None:
    draws = simulation.random

    def send() -> Coroutine[Any, Any, None]:
        vm = draws.choice(list(simulation.vms.values()))
        return vm.request('sort' if draws.random() < _SORT_SHARE else 'chat')

    rate = _REQUESTS_PER_S * simulation.behaviour.traffic_factor
    await send_traffic(simulation.loop, draws, rate, until, send)


async def _make_trouble(simulation: _Simulation, trouble: Trouble) -> None:
    await asyncio.sleep(trouble.at)
    lasts_s = trouble.until - trouble.at
    if trouble.kind == 'restart':
        await simulation.restart(simulation.random.choice([*simulation.vms]))
    elif trouble.kind == 'lose driver':
        await simulation.restart(simulation.find_driver())
    elif trouble.kind == 'store':
        simulation.store.is_down = True
        await asyncio.sleep(lasts_s)
        simulation.store.is_down = False
    elif trouble.kind == 'cut driver':
        simulation.cut_off = {simulation.find_driver()}
        await asyncio.sleep(lasts_s)
        simulation.cut_off = set()


async def _watch_status(simulation: _Simulation) -> float:
    """Return the time from the order until its end, in seconds."""
    while simulation.read_status() in ('', 'running'):
        await asyncio.sleep(0.02)
    now = simulation.loop.now()
    if simulation.read_status() == 'completed':
        simulation.completed_at = now
    return now - simulation.ordered_at


def run_rollout(
    behaviour: VersionBehaviour, trouble: Trouble, seed: int
) -> RolloutResult:
    """Run one roll-out on simulated time."""

    async def main(loop: TimeLoop) -> RolloutResult:
        simulation = _Simulation(loop, behaviour, seed)
        simulation.add_targets('v1')
        for number in range(_VMS):
            name = f'vm{number}'
            simulation.vms[name] = _Vm(simulation, name)
        await _send_traffic(simulation, loop.now() + _BEFORE_S)
        simulation.order()
        simulation.add_targets('v2')
        watcher = asyncio.ensure_future(_watch_status(simulation))
        troubles = asyncio.ensure_future(_make_trouble(simulation, trouble))
        until = simulation.ordered_at + _DURATION_S + _AFTER_S
        await _send_traffic(simulation, until)
        await troubles
        ended_after_s = watcher.result() if watcher.done() else float('inf')
        vm = next(iter(simulation.vms.values()))
        counts = simulation.counts
        return RolloutResult(
            behaviour.name,
            trouble.name,
            seed,
            simulation.read_status(),
            ended_after_s,
            vm.rollouts.by_service[_SERVICE].reason,
            counts['v1'] + counts['v2'],
            counts['v2'],
            counts['late'],
            counts['stopped'],
        )

    return timeloop.run(main)


def main() -> None:
    """Run all roll-outs and print a table; exit with 1 on a wrong one."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    wrong = 0
    for behaviour in BEHAVIOURS:
        for trouble in TROUBLES:
            results = [
                run_rollout(behaviour, trouble, s) for s in range(count)
            ]
            missed = [r for r in results if r.list_missed()]
            wrong += len(missed)
            ends = sorted(r.ended_after_s for r in results)
            sys.stdout.write(
                f'{behaviour.name:20} {trouble.name:35} {count} roll-outs, '
                f'wrong {len(missed)}; ended p50 {ends[count // 2]:.1f} s, '
                f'most {ends[-1]:.1f} s; new version got '
                f'{max(r.new for r in results)} at most; sent to old after '
                f'completion {max(r.stopped for r in results)}\n'
            )
            for result in missed:
                sys.stdout.write(
                    f'  WRONG: {result.seed} {result.list_missed()}\n'
                )
            sys.stdout.flush()
    sys.exit(1 if wrong else 0)


if __name__ == '__main__':
    main()
