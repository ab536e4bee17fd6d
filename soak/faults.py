"""What goes wrong, drawn by a seed: in series and overlapping."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import NamedTuple
from typing import TYPE_CHECKING

from .proxy import Disruption

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import TracebackType

    from .deployment import Deployment
    from .deployment import VmProcess
    from .proxy import Proxy

_SHORTEST_S = 0.3
_LONGEST_S = 2.5
_GAP_S = 0.7
_DOWN_S = 0.3
_HARMS = tuple(h for h in Disruption if h is not Disruption.NONE)
_REPLICA_FAULTS = ('full', 'reset', 'cut', 'crossed', 'unsigned', 'hang')
_FAULTS_IN_A_ROW = 4


class FaultEvent(NamedTuple):
    """Something that was done; times by the event loop's clock, in s."""

    started_at: float
    ended_at: float
    kind: str
    subject: str


class FaultInjector:
    """Owns the disturbances of one seed; undoes them all on exit."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        # VMs that a signal is at work on.
        self._busy: set[str] = set()
        self.events: list[FaultEvent] = []
        self._kinds: list[Callable[[], Awaitable[str]]] = [
            self._pause_vm,
            self._kill_vm,
            self._stop_vm,
            self._hang_up,
            self._harm_way_to_store,
            self._harm_way_to_replica,
            self._break_store,
            self._compact_store,
            self._break_replica,
            self._restart_replica,
            self._drain_replica,
            self._delay_orders,
            self._configure,
            self._name_weights,
        ]

    async def __aenter__(self) -> FaultInjector:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if kind is not None:
            for task in self._tasks:
                task.cancel()
        await asyncio.gather(*self._tasks)

    async def run(self, seconds: float) -> None:
        """Start disturbances for a while; some last on."""
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            self._start(self._rng.choice(self._kinds))
            await asyncio.sleep(self._rng.expovariate(1.0 / _GAP_S))

    def _start(self, kind: Callable[[], Awaitable[str]]) -> None:
        task = asyncio.ensure_future(self._carry_out(kind))
        self._tasks.add(task)

    async def _carry_out(self, kind: Callable[[], Awaitable[str]]) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        where = await kind()
        what = getattr(kind, '__name__', '').strip('_')
        self.events.append(FaultEvent(began, loop.time(), what, where))

    def _draw_length(self) -> float:
        return self._rng.uniform(_SHORTEST_S, _LONGEST_S)

    def _take_vm(self) -> VmProcess | None:
        free = [v for v in self._deployment.vms if v.name not in self._busy]
        if not free:
            return None
        vm = self._rng.choice(free)
        self._busy.add(vm.name)
        return vm

    async def _pause_vm(self) -> str:
        length = self._draw_length()
        vm = self._take_vm()
        if vm is None:
            return ''
        vm.send_signal(signal.SIGSTOP)
        await asyncio.sleep(length)
        vm.send_signal(signal.SIGCONT)
        self._busy.discard(vm.name)
        return vm.name

    async def _kill_vm(self) -> str:
        return await self._restart_vm(signal.SIGKILL)

    async def _stop_vm(self) -> str:
        return await self._restart_vm(signal.SIGTERM)

    async def _restart_vm(self, number: signal.Signals) -> str:
        vm = self._take_vm()
        if vm is None:
            return ''
        await vm.stop(number)
        await asyncio.sleep(_DOWN_S)
        await vm.start()
        self._busy.discard(vm.name)
        return vm.name

    async def _hang_up(self) -> str:
        vm = self._rng.choice(self._deployment.vms)
        if vm.name in self._busy or vm.is_starting():
            return ''
        vm.send_signal(signal.SIGHUP)
        return vm.name

    async def _harm(self, way: Proxy) -> str:
        harm = self._rng.choice(_HARMS)
        length = self._draw_length()
        way.set_disruption(harm)
        await asyncio.sleep(length)
        way.set_disruption(Disruption.NONE)
        return harm

    async def _harm_way_to_store(self) -> str:
        vm = self._rng.choice(self._deployment.vms)
        harm = await self._harm(vm.store_proxy)
        return f'{vm.name} {harm}'

    async def _harm_way_to_replica(self) -> str:
        name = self._rng.choice(list(self._deployment.replica_proxies))
        harm = await self._harm(self._deployment.replica_proxies[name])
        return f'{name} {harm}'

    async def _break_store(self) -> str:
        faults = self._deployment.store.faults
        name = self._rng.choice(('is_down', 'hangs', 'loses_answers'))
        length = self._draw_length()
        setattr(faults, name, True)
        await asyncio.sleep(length)
        setattr(faults, name, False)
        return name

    async def _compact_store(self) -> str:
        self._deployment.store.compact()
        return ''

    async def _break_replica(self) -> str:
        name = self._rng.choice(list(self._deployment.replicas))
        plan = self._deployment.replicas[name].plan
        plan.fault = self._rng.choice(_REPLICA_FAULTS)
        plan.faults = self._rng.randint(1, _FAULTS_IN_A_ROW)
        return f'{name} {plan.fault} {plan.faults}'

    async def _restart_replica(self) -> str:
        name = self._rng.choice(list(self._deployment.replicas))
        self._deployment.restart_replica(name)
        return name

    async def _drain_replica(self) -> str:
        name = self._rng.choice(list(self._deployment.replicas))
        length = self._draw_length()
        self._deployment.register(name, 'draining')
        await asyncio.sleep(length)
        self._deployment.register(name)
        return name

    async def _delay_orders(self) -> str:
        name = self._rng.choice(list(self._deployment.replicas))
        plan = self._deployment.replicas[name].plan
        plan.late_orders = 1
        plan.late_seconds = self._draw_length()
        return name

    async def _configure(self) -> str:
        self._deployment.configure()
        return str(self._deployment.configuration_version)

    async def _name_weights(self) -> str:
        self._deployment.announce_weights()
        return str(self._deployment.weights_version)


__all__ = ['FaultEvent', 'FaultInjector']
