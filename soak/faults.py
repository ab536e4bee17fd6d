"""Faults that are drawn from a seed; they may overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import NamedTuple
from typing import TYPE_CHECKING

from .builds import draw_upgrade
from .proxy import Disruption

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import TracebackType

    from lentilrun.standins.replica import ReplicaPlan

    from .builds import Replacement
    from .deployment import Deployment
    from .deployment import VmProcess
    from .proxy import Proxy

_MIN_FAULT_S = 0.3
_MAX_FAULT_S = 2.5
_MEAN_INTERVAL_S = 0.7
_RESTART_DELAY_S = 0.3
_DISRUPTIONS = tuple(d for d in Disruption if d is not Disruption.NONE)
_REPLICA_FAULTS = ('full', 'reset', 'cut', 'crossed', 'unsigned', 'hang')
# Further faults of replicas whose responses end with their connection.
_UNFRAMED_FAULTS = ('torn', 'empty')
_UNFRAMED_SHARE = 0.5
_MAX_CONSECUTIVE_FAULTS = 4
_RESTORED_SHARE = 0.5
# Operators and replicas write again this long after a restoration.
_REWRITE_DELAY_S = 0.3


class FaultEvent(NamedTuple):
    """An injected fault; times are in seconds of the event loop's clock."""

    started_at: float
    ended_at: float
    kind: str
    subject: str


class FaultInjector:
    """Injects the faults of one seed and reverts all of them on exit."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        # Draws of its own, so that the other faults of a seed stay the same.
        self._framing_rng = random.Random(rng.getstate()[1][0])
        self._restoration_rng = random.Random(rng.getstate()[1][1])
        self._tasks: set[asyncio.Task[None]] = set()
        # VMs that are paused or being restarted.
        self._reserved: set[str] = set()
        self._replacements: list[Replacement] = []
        self.events: list[FaultEvent] = []
        self._injections: list[Callable[[], Awaitable[str]]] = [
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
        """Start faults for some seconds; the last ones may last longer."""
        stop_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < stop_at:
            self._start(self._rng.choice(self._injections))
            await asyncio.sleep(self._rng.expovariate(1.0 / _MEAN_INTERVAL_S))

    def begin_upgrade(self, rng: random.Random) -> None:
        """Start to replace VMs by those of another build, one by one."""
        self._replacements = draw_upgrade(rng, len(self._deployment.vms))
        self._tasks.add(asyncio.ensure_future(self._replace_vms()))

    async def _replace_vms(self) -> None:
        while self._replacements:
            await self._run_fault(self._replace_vm)

    def _start(self, inject: Callable[[], Awaitable[str]]) -> None:
        task = asyncio.ensure_future(self._run_fault(inject))
        self._tasks.add(task)

    async def _run_fault(self, inject: Callable[[], Awaitable[str]]) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        subject = await inject()
        name = getattr(inject, '__name__', '').strip('_')
        self.events.append(FaultEvent(started_at, loop.time(), name, subject))

    def _draw_duration(self) -> float:
        return self._rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)

    def _reserve_vm(self) -> VmProcess | None:
        free = [
            v for v in self._deployment.vms if v.name not in self._reserved
        ]
        if not free:
            return None
        vm = self._rng.choice(free)
        self._reserved.add(vm.name)
        return vm

    async def _pause_vm(self) -> str:
        duration = self._draw_duration()
        vm = self._reserve_vm()
        if vm is None:
            return ''
        vm.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        vm.send_signal(signal.SIGCONT)
        self._reserved.discard(vm.name)
        return vm.name

    async def _kill_vm(self) -> str:
        return await self._restart_vm(signal.SIGKILL)

    async def _stop_vm(self) -> str:
        return await self._restart_vm(signal.SIGTERM)

    async def _replace_vm(self) -> str:
        number, build = self._replacements.pop(0)
        vm = self._deployment.vms[number]
        while vm.name in self._reserved:
            await asyncio.sleep(_RESTART_DELAY_S)
        self._reserved.add(vm.name)
        vm.build = build
        await self._restart_vm(signal.SIGTERM, vm)
        return f'{vm.name} {build}'

    async def _restart_vm(
        self, signal_number: signal.Signals, reserved: VmProcess | None = None
    ) -> str:
        vm = reserved or self._reserve_vm()
        if vm is None:
            return ''
        await vm.stop(signal_number)
        await asyncio.sleep(_RESTART_DELAY_S)
        await vm.start()
        self._reserved.discard(vm.name)
        return vm.name

    async def _hang_up(self) -> str:
        vm = self._rng.choice(self._deployment.vms)
        if vm.name in self._reserved or vm.is_starting():
            return ''
        vm.send_signal(signal.SIGHUP)
        return vm.name

    async def _disrupt(self, proxy: Proxy) -> str:
        disruption = self._rng.choice(_DISRUPTIONS)
        duration = self._draw_duration()
        proxy.set_disruption(disruption)
        await asyncio.sleep(duration)
        proxy.set_disruption(Disruption.NONE)
        return disruption

    async def _harm_way_to_store(self) -> str:
        vm = self._rng.choice(self._deployment.vms)
        disruption = await self._disrupt(vm.store_proxy)
        return f'{vm.name} {disruption}'

    async def _harm_way_to_replica(self) -> str:
        name = self._rng.choice(list(self._deployment.replica_proxies))
        disruption = await self._disrupt(
            self._deployment.replica_proxies[name]
        )
        return f'{name} {disruption}'

    async def _break_store(self) -> str:
        faults = self._deployment.store.faults
        name = self._rng.choice(('is_down', 'hangs', 'loses_answers'))
        duration = self._draw_duration()
        setattr(faults, name, True)
        await asyncio.sleep(duration)
        setattr(faults, name, False)
        return name

    async def _compact_store(self) -> str:
        if self._restoration_rng.random() < _RESTORED_SHARE:
            return await self._restore_store()
        self._deployment.store.compact()
        return ''

    async def _restore_store(self) -> str:
        """Let the store return from a copy, after an outage."""
        rng = self._restoration_rng
        store = self._deployment.store
        copy = store.copy()
        age = rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
        await asyncio.sleep(age)
        store.faults.is_down = True
        await asyncio.sleep(rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S))
        store.restore(copy)
        store.faults.is_down = False
        await asyncio.sleep(_REWRITE_DELAY_S)
        self._deployment.write_again()
        return f'restored {age:.1f}'

    async def _break_replica(self) -> str:
        name = self._rng.choice(list(self._deployment.replicas))
        plan = self._deployment.replicas[name].plan
        plan.fault = self._rng.choice(_REPLICA_FAULTS)
        plan.fault_count = self._rng.randint(1, _MAX_CONSECUTIVE_FAULTS)
        self._change_framing(plan)
        return f'{name} {plan.fault} {plan.fault_count} {plan.is_framed}'

    def _change_framing(self, plan: ReplicaPlan) -> None:
        rng = self._framing_rng
        plan.is_framed = rng.random() >= _UNFRAMED_SHARE
        plan.packet_bytes = rng.choice((0, 1, 7))
        if not plan.is_framed and rng.random() < _UNFRAMED_SHARE:
            plan.fault = rng.choice(_UNFRAMED_FAULTS)

    async def _restart_replica(self) -> str:
        name = self._rng.choice(list(self._deployment.replicas))
        self._deployment.restart_replica(name)
        return name

    async def _drain_replica(self) -> str:
        name = self._rng.choice(list(self._deployment.replicas))
        duration = self._draw_duration()
        self._deployment.register(name, 'draining')
        await asyncio.sleep(duration)
        self._deployment.register(name)
        return name

    async def _delay_orders(self) -> str:
        name = self._rng.choice(list(self._deployment.replicas))
        plan = self._deployment.replicas[name].plan
        plan.delayed_orders = 1
        plan.order_delay_s = self._draw_duration()
        return name

    async def _configure(self) -> str:
        self._deployment.configure()
        return str(self._deployment.configuration_version)

    async def _name_weights(self) -> str:
        self._deployment.announce_weights()
        return str(self._deployment.weights_version)


__all__ = ['FaultEvent', 'FaultInjector']
