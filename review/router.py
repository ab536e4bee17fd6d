"""The project's own process, as the deploy file starts it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import time
import tomllib
from typing import Any
from typing import NamedTuple

from . import http

ROOT = pathlib.Path(__file__).resolve().parents[1]
_READY_TIMEOUT_S = 20.0
_READY_POLL_S = 0.05

_SETTINGS = """\
node = "{name}"
role = "router"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "jawa"
internal-ports = [{internal},{internal}]
seeds = []
bootstrap = true
tolerance-member = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache",\
"stream","engine","tenants","quota","rollout","platform"]
[zones]
solo = "jawa"
jepara = "jawa"
garut = "jawa"
[listen]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{readiness}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = {memory_mb}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
fail-closed = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 56
quota-window-s = 8
quota-overage = 0.1
quota-slack = 72000
exposure-share = 0.1
exposure-slack = 50
rollback-ms = 5000
recovery-s = 12
transit-ms = 120
reuse-window-s = 10
fencing-required = false
lease-ms = 3000
thaw-slack-ms = 300
version-ms = 8000
version-all-ms = 11000
[platform]
address = "127.0.0.1:{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
part-writes-per-s = 200
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-per-s = 80.0
"""


class _Role(NamedTuple):
    command: list[str]
    env: dict[str, str]


def _read_role() -> _Role:
    """Return the command of the process in the deploy file."""
    document = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    role: dict[str, Any] = document['roles']['router']
    return _Role(role['run'].split(), dict(role.get('env', {})))


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            tcp = stack.enter_context(socket.socket())
            tcp.bind((http.LOOPBACK, 0))
            ports.append(tcp.getsockname()[1])
        return ports


class Router:
    """One machine; its process can be killed and started again."""

    def __init__(
        self,
        name: str,
        zone: str,
        store_port: int,
        folder: pathlib.Path,
        memory_mb: int = 150,
    ) -> None:
        self.name = name
        self.memory_mb = memory_mb
        self._folder = folder
        self._path = folder / f'{name}.toml'
        self.log_path = folder / f'{name}.log'
        self.front, self.readiness, internal, self._metrics = find_free_ports(
            4
        )
        self._path.write_text(
            _SETTINGS.format(
                name=name,
                zone=zone,
                internal=internal,
                front=self.front,
                readiness=self.readiness,
                store=store_port,
                memory_mb=memory_mb,
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = _read_role()
        env = {
            n: os.environ[n] for n in ('PATH', 'HOME', 'LANG') if n in os.environ
        }
        env |= role.env
        env['METRICS_PORT'] = str(self._metrics)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['LENTILRUN_CONFIG'] = str(self._path)
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def wait_until_ready(self) -> bool:
        """Return whether it answers the platform's question in time."""
        until = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until:
            outcome = await http.fetch(
                self.readiness, 'GET', '/lentilrun/ready', {}, patience=1.0
            )
            if outcome.status == 200:
                return True
            await asyncio.sleep(_READY_POLL_S)
        return False
