"""The system under test: daemon processes in front of stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import sys
import time
import types
from typing import Any
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import make_weights_announcement
from lentilrun.standins.configuration import MODEL
from lentilrun.standins.ports import ReservedPorts
from lentilrun.standins.process import SETTINGS_TEMPLATE
from lentilrun.standins import replica
from lentilrun.standins import rowstore
import msgspec
from tornado.httpserver import HTTPServer

from . import builds
from .eventstreams import FaultLevel
from .proxy import Disruption
from .proxy import LOOPBACK
from .proxy import Proxy
from .replicaprocesses import extend_configuration
from .replicaprocesses import PROCESS_MODEL
from .replicaprocesses import ReplicaProcess
from .storeview import StoreView

if TYPE_CHECKING:
    from collections.abc import Mapping
    from types import TracebackType

_SOURCE_FOLDER = pathlib.Path(__file__).parents[1] / 'src'
_SOAK_FOLDER = pathlib.Path(__file__).parent
_PROGRAM = 'lentilrund.py'
_REPLICA_SERVICES = {
    'a1': 'app',
    'a2': 'app',
    'e1': 'llm',
    'e2': 'llm',
    'e3': 'llm',
}
STREAM_EVENTS = 6
_EVENT_PAUSE_S = 0.05
_STOP_TIMEOUT_S = 10.0
# What the template of the settings states.
_GRACE_S = 6
# Time a process needs to install its signal handlers.
_SIGNAL_SETUP_S = 3.0


def copy_programs(folder: pathlib.Path) -> None:
    """Copy the source, so that all seeds of a run test the same version."""
    shutil.copytree(_SOURCE_FOLDER, folder / builds.NEW)
    shutil.copytree(_SOAK_FOLDER, folder / 'soak')


class VmProcess:
    """Owns a daemon's process, its settings and its proxy to the store."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: tuple[str, int],
        grace_s: int = _GRACE_S,
    ) -> None:
        self.name = name
        self._grace_s = grace_s
        self.build = builds.NEW
        # The builds that were started, by times of the event loop.
        self._builds: dict[float, str] = {}
        self._folder = folder
        self.store_proxy = Proxy(store)
        self._ports = ReservedPorts()
        self.entry_port = self._ports.reserve()
        self.readiness_port = self._ports.reserve()
        self._peer_port = self._ports.reserve()
        self.target_proxies: list[Proxy] = []
        self._settings_path = folder / f'{name}.toml'
        self.log = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.unexpected_exits = 0
        self._started_at = 0.0
        self._is_exit_expected = False

    async def __aenter__(self) -> VmProcess:
        await self.store_proxy.__aenter__()
        self._settings_path.write_text(
            SETTINGS_TEMPLATE.format(
                name=self.name,
                peers=self._peer_port,
                entry=self.entry_port,
                readiness=self.readiness_port,
                store=self.store_proxy.port,
            ).replace(f'grace-s = {_GRACE_S}', f'grace-s = {self._grace_s}')
        )
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop(signal.SIGKILL)
        await self.store_proxy.__aexit__(kind, error, trace)
        self._ports.__exit__(kind, error, trace)

    async def start(self) -> None:
        """Start the process."""
        self._started_at = time.monotonic()
        self._builds[asyncio.get_running_loop().time()] = self.build
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self._folder.parent / self.build / _PROGRAM),
                env={
                    **os.environ,
                    'LENTILRUN_CONFIG': str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )
        self._is_exit_expected = False

    def find_build(self, at: float) -> str:
        """Return the build that was the last one started before a time."""
        return [b for since, b in self._builds.items() if since <= at][-1]

    def disrupt_targets(self, disruption: Disruption) -> None:
        """Put a disruption in force on the way to all targets."""
        for proxy in self.target_proxies:
            proxy.set_disruption(disruption)

    def is_running(self) -> bool:
        """Return whether the process runs; count an unexpected exit."""
        process = self.process
        if process is None or process.returncode is not None:
            if process is not None and not self._is_exit_expected:
                self.unexpected_exits += 1
                self._is_exit_expected = True
            return False
        return True

    def is_starting(self) -> bool:
        """Return whether signal handlers may not be installed yet."""
        return time.monotonic() - self._started_at < _SIGNAL_SETUP_S

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running():
            assert self.process is not None
            self.process.send_signal(signal_number)

    async def stop(self, signal_number: signal.Signals) -> None:
        """Stop the process with a signal and wait until it has exited.

        A process that doesn't exit in time is killed; ``TimeoutError``
        is raised then.
        """
        if not self.is_running():
            return
        assert self.process is not None
        self._is_exit_expected = True
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(signal_number)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            raise


class Deployment:
    """Runs the store in process, the VMs as processes, replicas as both."""

    def __init__(
        self,
        folder: pathlib.Path,
        vms: int,
        processes: int = 0,
        seed: int = 0,
        level: FaultLevel = FaultLevel.NONE,
        has_own_proxies: bool = False,
        first_build: str = builds.NEW,
        grace_s: int = _GRACE_S,
        further: Mapping[str, str] = types.MappingProxyType({}),
    ) -> None:
        """Keep the settings and logs of ``vms`` daemons in a folder.

        Of the replicas, ``processes`` are processes of their own, whose
        streams have the faults of ``level``, drawn from ``seed``. Each VM
        ``has_own_proxies`` before the other replicas, if set.
        All begin with ``first_build`` and have ``grace_s`` seconds to stop.
        There are ``further`` replicas, by name with their services.
        """
        self._grace_s = grace_s
        self._services = {**_REPLICA_SERVICES, **further}
        self._first_build = first_build
        self._folder = folder
        self._vm_count = vms
        self._process_count = processes
        self._seed = seed
        self._level = level
        self.has_own_proxies = has_own_proxies
        self.processes: list[ReplicaProcess] = []
        self.second_version = 1
        self._stack = contextlib.AsyncExitStack()
        self._ports = self._stack.enter_context(ReservedPorts())
        self.store = rowstore.RowStoreState()
        self._operator_rows: dict[str, bytes] = {}
        self.replicas: dict[str, replica.ReplicaState] = {}
        self.replica_proxies: dict[str, Proxy] = {}
        self.vms: list[VmProcess] = []
        # Requests that ran before the replicas' last restarts.
        self.earlier_runs: list[replica.ExecutedRequest] = []
        self.configuration_version = 1
        self.weights_version = 1
        self._restarts = 0

    async def __aenter__(self) -> Deployment:
        port = self._serve(rowstore.make_application(self.store))
        self.configure()
        self.announce_weights()
        for name in self._services:
            await self._add_replica(name)
        await self._add_processes()
        for number in range(self._vm_count):
            proxies = await self._add_own_proxies()
            if proxies:
                view: Any = StoreView(self.store, proxies)
                port = self._serve(rowstore.make_application(view))
            vm = VmProcess(
                f'vm{number}', self._folder, (LOOPBACK, port), self._grace_s
            )
            vm.build = self._first_build
            vm.target_proxies += proxies.values()
            self.vms.append(await self._stack.enter_async_context(vm))
        return self

    async def _add_own_proxies(self) -> dict[int, Proxy]:
        """Start proxies for one VM; return them by the ports of replicas."""
        proxies: dict[int, Proxy] = {}
        if self.has_own_proxies:
            for target in self.replica_proxies.values():
                proxy = Proxy((LOOPBACK, target.port))
                proxies[target.port] = proxy
                await self._stack.enter_async_context(proxy)
        return proxies

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def _serve(self, application: Any) -> int:
        server = HTTPServer(application)
        port = self._ports.reserve()
        server.listen(port, LOOPBACK)
        self._stack.callback(server.stop)
        return port

    async def _add_replica(self, name: str) -> None:
        is_engine = self._services[name] == 'llm'
        versions = {MODEL: self.weights_version} if is_engine else {}
        state = replica.ReplicaState(name, versions)
        state.plan.echoes_request_id = True
        state.plan.names_runs = True
        state.plan.event_count = STREAM_EVENTS
        state.plan.event_interval_s = _EVENT_PAUSE_S
        port = self._serve(replica.make_application(state))
        proxy = Proxy((LOOPBACK, port))
        self.replica_proxies[name] = await self._stack.enter_async_context(
            proxy
        )
        self.replicas[name] = state
        self.register(name)

    async def _add_processes(self) -> None:
        if self._process_count:
            self.announce_second_weights()
        for number in range(self._process_count):
            process = ReplicaProcess(
                self, f'p{number}', self._folder, self._seed, self._level
            )
            self.processes.append(process)
            await self._stack.enter_async_context(process)

    def configure(self, **overrides: Any) -> None:
        """Write the next configuration."""
        self.configuration_version += 1
        value = make_configuration(self.configuration_version, **overrides)
        if self._process_count:
            extend_configuration(value)
        self._write_operator_row('config', msgspec.json.encode(value))

    def announce_weights(self) -> None:
        """Announce the next version of the model's weights."""
        self.weights_version += 1
        value = make_weights_announcement(self.weights_version)
        self._write_operator_row(f'version/{MODEL}', value)

    def announce_second_weights(self) -> None:
        """Announce the next weights of the replicas that are processes."""
        self.second_version += 1
        row = {'model': PROCESS_MODEL, 'version': self.second_version}
        self._write_operator_row(
            f'version/{PROCESS_MODEL}', msgspec.json.encode(row)
        )

    def _write_operator_row(self, key: str, value: bytes) -> None:
        self._operator_rows[key] = value
        self.store.put('op', key, value)

    def write_again(self) -> None:
        """Write what the store lost when it was restored from a copy."""
        for key, value in self._operator_rows.items():
            self.store.put('op', key, value)
        for name in self.replicas:
            self.register(name)
        for process in self.processes:
            process.register()

    def register(self, name: str, state: str = 'ready') -> None:
        """Write a replica's row."""
        value = make_target_row(
            self._services[name],
            f'{LOOPBACK}:{self.replica_proxies[name].port}',
            self.replicas[name].versions,
            state,
            self._restarts,
        )
        self.store.put('servers', name, value)

    def restart_replica(self, name: str) -> None:
        """Reset a replica's connections and forget its runs and orders."""
        self.replica_proxies[name].reset_all()
        state = self.replicas[name]
        self._restarts += 1
        self.earlier_runs += state.runs
        state.runs = []
        state.orders = []
        self.register(name)

    def runs(self) -> list[replica.ExecutedRequest]:
        """Return all requests that ran on replicas."""
        runs = list(self.earlier_runs)
        for state in self.replicas.values():
            runs += state.runs
        for process in self.processes:
            runs += process.read_runs()
        return runs


__all__ = ['copy_programs', 'Deployment', 'STREAM_EVENTS', 'VmProcess']
