"""Replicas as processes of their own, which are killed and restarted."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.ports import ReservedPorts
from lentilrun.standins.replica import ExecutedRequest
import msgspec

from .eventstreams import FaultLevel
from .proxy import LOOPBACK
from .replicaprogram import ProgramSettings
from .replicaprogram import read_runs

if TYPE_CHECKING:
    from types import TracebackType

    from .deployment import Deployment

PROCESS_MODEL = 'model-2'
PROCESS_SERVICE = 'far'
RESUMABLE_PREFIX = '/far/'
NON_RESUMABLE_PREFIX = '/near/'
_TIMEOUT_MS = 3000
_MAX_ATTEMPTS = 3


def extend_configuration(configuration: dict[str, object]) -> None:
    """Add the routes and the service of replicas that are processes."""
    routes = configuration['routes']
    services = configuration['services']
    assert isinstance(routes, list)
    assert isinstance(services, list)
    for prefix in (RESUMABLE_PREFIX, NON_RESUMABLE_PREFIX):
        routes.append(
            {
                **routes[0],
                'name': prefix.strip('/'),
                'prefix': prefix,
                'kind': 'streaming',
                'resumable': prefix == RESUMABLE_PREFIX,
                'service': PROCESS_SERVICE,
                'timeout-ms': _TIMEOUT_MS,
                'max-attempts': _MAX_ATTEMPTS,
            }
        )
    engine = {
        'slots': 8,
        'kv-capacity': 60000,
        'models': [{'name': PROCESS_MODEL}],
    }
    services.append(
        {'name': PROCESS_SERVICE, 'max-connections': 100, 'engine': engine}
    )


class ReplicaProcess:
    """Owns one replica's process, its row and the records of its runs."""

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        folder: pathlib.Path,
        seed: int,
        level: FaultLevel,
    ) -> None:
        """Write the records of all starts to files in a folder."""
        self.name = name
        self._level = level
        self.process: asyncio.subprocess.Process | None = None
        self._deployment = deployment
        self._folder = folder
        self._seed = seed
        self._ports = ReservedPorts()
        self.port = self._ports.reserve()
        self._starts = 0
        self._incarnation = name
        self._versions: dict[str, int] = {}
        self._runs_path = folder / f'{name}.runs'
        self._runs_end = 0
        self._runs: list[ExecutedRequest] = []

    async def __aenter__(self) -> ReplicaProcess:
        await self.start(is_new=True)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self._ports.__exit__(kind, error, trace)

    def is_running(self) -> bool:
        """Return whether the process runs, or is stopped."""
        return self.process is not None and self.process.returncode is None

    async def start(self, is_new: bool) -> None:
        """Start the process at the same address, as a new replica or not.

        A new replica has an ID of its own and the newest weights.
        """
        self._starts += 1
        self._read_versions()
        if is_new:
            self._deployment.store.put('servers', self._incarnation, None)
            self._incarnation = f'{self.name}-{self._starts}'
            self._versions = {PROCESS_MODEL: self._deployment.second_version}
        settings = ProgramSettings(
            self._incarnation,
            self.port,
            self._versions,
            f'{self._seed} {self.name} {self._starts}',
            self._level,
            str(self._runs_path),
            str(self._folder / 'forms'),
            self._starts,
        )
        programs = self._folder.parent
        paths = [str(programs / 'src'), str(programs)]
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'soak.replicaprogram',
                msgspec.json.encode(settings).decode(),
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(paths)},
                cwd=programs,
                stdin=asyncio.subprocess.PIPE,
                stdout=log,
                stderr=log,
            )
        await self._wait_until_ready()
        self.register()

    async def _wait_until_ready(self) -> None:
        while self.is_running():
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.close()
                return
            await asyncio.sleep(0.02)

    def register(self) -> None:
        """Write the replica's row."""
        value = make_target_row(
            PROCESS_SERVICE,
            f'{LOOPBACK}:{self.port}',
            self._versions,
            'ready',
            self._starts,
        )
        self._deployment.store.put('servers', self._incarnation, value)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs.

        Its exit status is left to the event loop; ``Process.send_signal``
        would take it.
        """
        if self.is_running():
            assert self.process is not None
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal_number)

    def stop_faults(self) -> None:
        """Let this and all further starts answer without faults."""
        self._level = FaultLevel.NONE
        self.send_signal(signal.SIGUSR1)

    def read_runs(self) -> list[ExecutedRequest]:
        """Return the runs of all starts."""
        lines, self._runs_end = read_runs(self._runs_path, self._runs_end)
        self._runs += [
            msgspec.json.decode(s, type=ExecutedRequest) for s in lines
        ]
        return self._runs

    def _read_versions(self) -> None:
        runs = self.read_runs()
        if runs:
            self._versions = runs[-1].versions


__all__ = [
    'extend_configuration',
    'NON_RESUMABLE_PREFIX',
    'PROCESS_MODEL',
    'ReplicaProcess',
    'RESUMABLE_PREFIX',
]
