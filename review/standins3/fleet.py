"""A small deployment on loopback: the store, the rows and the router."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import socket
import sys
import time
from typing import Any

from lentilrun.standins import rowstore
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import make_weights_announcement
import msgspec
from tornado.httpserver import HTTPServer

LOOPBACK = '127.0.0.1'
ROOT = pathlib.Path(__file__).parents[2]
# The bounds are those of the sheet of ktn-lentil.
_SETTINGS = """
node = "{name}"
role = "router"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internal-ports = [{peer}, {peer}]
seeds = []
bootstrap = true
contracts = ["base","drain","config","cost","retry","recover","kvcache",\
"stream","engine","tenants","quota","rollout","platform"]
[zones]
a = "r"
[listen]
front = "127.0.0.1:{entry}"
readiness = "127.0.0.1:{readiness}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 150
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[platform]
address = "127.0.0.1:{store}"
form = "table"
[bounds]
stable-window-ms = 3000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-ms = 2000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 56
quota-window-s = 8
quota-overage = 0.1
quota-slack = 72000
exposure-share = 0.1
exposure-slack = 50
lease-ms = 3000
version-ms = 8000
"""


_picked: set[int] = set()


def pick_port() -> int:
    """Return a free port of loopback, for TCP and for UDP.

    It is another one with each call.
    """
    while True:
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((LOOPBACK, 0))
            port: int = tcp.getsockname()[1]
            try:
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            if port not in _picked:
                _picked.add(port)
                return port


class Store:
    """The platform's store, with the rows of operator and targets."""

    def __init__(self) -> None:
        self.state = rowstore.RowStoreState()
        self.port = pick_port()
        self._server = HTTPServer(rowstore.make_application(self.state))
        self._server.listen(self.port, LOOPBACK)

    def configure(self, version: int, **overrides: Any) -> None:
        """Write a configuration."""
        value = msgspec.json.encode(make_configuration(version, **overrides))
        self.state.put('op', 'config', value)

    def name_weights(self, version: int) -> None:
        """Write the version of the weights of the model."""
        row = make_weights_announcement(version)
        self.state.put('op', 'version/model', row)

    def register(
        self, name: str, service: str, port: int, versions: dict[str, int]
    ) -> None:
        """Write the row of a target that is ready."""
        row = make_target_row(
            service, f'{LOOPBACK}:{port}', versions, 'ready', 1700000000000
        )
        self.state.put('servers', name, row)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()


class Router:
    """Owns one process of the router, started as the deploy file says."""

    def __init__(self, name: str, folder: pathlib.Path, store: int) -> None:
        self.name = name
        self.entry = pick_port()
        self.readiness = pick_port()
        self._log_path = folder / f'{name}.log'
        self._settings = folder / f'{name}.toml'
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                peer=pick_port(),
                entry=self.entry,
                readiness=self.readiness,
                store=store,
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        with open(self._log_path, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                'src/lentilrund.py',
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'LENTILRUN_CONFIG': str(self._settings),
                    'METRICS_PORT': '0',
                },
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, timeout: float = 1.0) -> bool:
        """Return whether the process answers 200 to the platform."""
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    LOOPBACK, self.readiness
                )
                writer.write(
                    b'GET /lentilrun/ready HTTP/1.1\r\nHost: r\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_until_ready(self, timeout: float = 15.0) -> None:
        """Wait for readiness; raises ``TimeoutError``."""
        until = time.monotonic() + timeout
        while not await self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f'{self.name} is not ready')
            await asyncio.sleep(0.1)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running():
            assert self.process is not None
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = open(path, 'w', encoding='utf-8')
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        at = time.monotonic() - self._started_at
        self._file.write(f'{at:8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
