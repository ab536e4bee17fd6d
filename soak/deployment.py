"""The programs under test: daemons as processes, before stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import socket
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_entry
from lentilrun.standins.configuration import make_weights
from lentilrun.standins.configuration import MODEL
from lentilrun.standins.process import find_port
from lentilrun.standins.process import SETTINGS
from lentilrun.standins import replica
from lentilrun.standins import rowstore
import msgspec
from tornado.httpserver import HTTPServer

from .proxy import LOOPBACK
from .proxy import Proxy

if TYPE_CHECKING:
    from types import TracebackType

_SOURCE = pathlib.Path(__file__).parents[1] / 'src'
_PROGRAM = 'lentilrund.py'
_REPLICAS = {'a1': 'app', 'a2': 'app', 'e1': 'llm', 'e2': 'llm', 'e3': 'llm'}
STREAM_EVENTS = 6
_EVENT_PAUSE_S = 0.05
_END_S = 10.0
# A process has set up its signals after so long.
_START_S = 3.0


def copy_programs(folder: pathlib.Path) -> None:
    """Copy the programs, so that all seeds of a run play the same ones."""
    shutil.copytree(_SOURCE, folder / 'src')


class VmProcess:
    """Owns one daemon's process, its settings and its way to the store."""

    def __init__(
        self, name: str, folder: pathlib.Path, store: tuple[str, int]
    ) -> None:
        self.name = name
        self._folder = folder
        self.store_proxy = Proxy(store)
        self.entry_port = find_port()
        self.readiness_port = find_port()
        self._peers = find_port(socket.SOCK_DGRAM)
        self._settings = folder / f'{name}.toml'
        self.log = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.unexpected_exits = 0
        self._started = 0.0
        self._is_ended_by_us = False

    async def __aenter__(self) -> VmProcess:
        await self.store_proxy.__aenter__()
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                peers=self._peers,
                entry=self.entry_port,
                readiness=self.readiness_port,
                store=self.store_proxy.port,
            )
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

    async def start(self) -> None:
        """Start the process."""
        self._started = time.monotonic()
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self._folder.parent / 'src' / _PROGRAM),
                env={**os.environ, 'LENTILRUN_CONFIG': str(self._settings)},
                stdout=log,
                stderr=log,
            )
        self._is_ended_by_us = False

    def is_running(self) -> bool:
        """Return whether the process lives; count an end of its own."""
        process = self.process
        if process is None or process.returncode is not None:
            if process is not None and not self._is_ended_by_us:
                self.unexpected_exits += 1
                self._is_ended_by_us = True
            return False
        return True

    def is_starting(self) -> bool:
        """Return whether it may not have set up its signals yet."""
        return time.monotonic() - self._started < _START_S

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        if self.is_running():
            assert self.process is not None
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals) -> None:
        """End the process by a signal and wait until it is gone."""
        if not self.is_running():
            return
        assert self.process is not None
        self._is_ended_by_us = True
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(number)
        try:
            async with asyncio.timeout(_END_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            raise


class Deployment:
    """Owns the store, the replicas and the VMs."""

    def __init__(self, folder: pathlib.Path, vms: int) -> None:
        """Keep settings and logs in a folder."""
        self._folder = folder
        self._count = vms
        self._stack = contextlib.AsyncExitStack()
        self.store = rowstore.RowStoreState()
        self.replicas: dict[str, replica.ReplicaState] = {}
        self.replica_proxies: dict[str, Proxy] = {}
        self.vms: list[VmProcess] = []
        # Runs of incarnations that have ended.
        self.earlier_runs: list[replica.Run] = []
        self.configuration_version = 1
        self.weights_version = 1
        self._births = 0

    async def __aenter__(self) -> Deployment:
        port = self._serve(rowstore.make_application(self.store))
        self.configure()
        self.announce_weights()
        for name in _REPLICAS:
            await self._add_replica(name)
        for number in range(self._count):
            vm = VmProcess(f'vm{number}', self._folder, (LOOPBACK, port))
            self.vms.append(await self._stack.enter_async_context(vm))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def _serve(self, application: Any) -> int:
        server = HTTPServer(application)
        port = find_port()
        server.listen(port, LOOPBACK)
        self._stack.callback(server.stop)
        return port

    async def _add_replica(self, name: str) -> None:
        is_engine = _REPLICAS[name] == 'llm'
        versions = {MODEL: self.weights_version} if is_engine else {}
        state = replica.ReplicaState(name, versions)
        state.plan.echoes = True
        state.plan.events = STREAM_EVENTS
        state.plan.pause = _EVENT_PAUSE_S
        port = self._serve(replica.make_application(state))
        way = Proxy((LOOPBACK, port))
        self.replica_proxies[name] = await self._stack.enter_async_context(way)
        self.replicas[name] = state
        self.register(name)

    def configure(self, **more: Any) -> None:
        """Write the next configuration."""
        self.configuration_version += 1
        value = make_configuration(self.configuration_version, **more)
        self.store.put('op', 'config', msgspec.json.encode(value))

    def announce_weights(self) -> None:
        """Name the next version of the model's weights."""
        self.weights_version += 1
        value = make_weights(self.weights_version)
        self.store.put('op', f'version/{MODEL}', value)

    def register(self, name: str, state: str = 'ready') -> None:
        """Write a replica's entry."""
        value = make_entry(
            _REPLICAS[name],
            f'{LOOPBACK}:{self.replica_proxies[name].port}',
            self.replicas[name].versions,
            state,
            self._births,
        )
        self.store.put('servers', name, value)

    def restart_replica(self, name: str) -> None:
        """Let a replica break off all it does and start anew, empty."""
        self.replica_proxies[name].reset_all()
        state = self.replicas[name]
        self._births += 1
        self.earlier_runs += state.runs
        state.runs = []
        state.orders = []
        self.register(name)

    def runs(self) -> list[replica.Run]:
        """Return all requests that replicas ran."""
        found = list(self.earlier_runs)
        for state in self.replicas.values():
            found += state.runs
        return found


__all__ = ['copy_programs', 'Deployment', 'STREAM_EVENTS', 'VmProcess']
