"""A small deployment: router processes, the platform's store, servers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any

from backend import Backend
from lentilrun.standins import rowstore
import messages
from tornado.httpserver import HTTPServer

ROOT = pathlib.Path(__file__).parents[2]
HOST = 'jepu9.example'
HEARTBEAT_S = 1.2
CONFIG_S = 2.0
_READY_TIMEOUT_S = 15.0
_STOP_TIMEOUT_S = 10.0
_SETTINGS = """
node = "{name}"
role = "router"
machine-class = "front"
serves = ["front"]
ip = "{ip}"
zone = "a"
region = "r"
internal-ports = [{internal},{internal_end}]
seeds = []
bootstrap = true
tolerance-member = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache",\
"stream","engine","tenants","quota","rollout","platform"]
[zones]
a = "r"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 150
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


def _find_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at all hosts."""
    ports: list[int] = []
    while len(ports) < count:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts:
                    if host != hosts[0]:
                        stream = stack.enter_context(socket.socket())
                        stream.bind((host, port))
                    datagram = stack.enter_context(
                        socket.socket(type=socket.SOCK_DGRAM)
                    )
                    datagram.bind((host, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Router:
    """Owns one router process, started as the deploy file does."""

    def __init__(
        self, number: int, folder: pathlib.Path, ports: list[int], store: int
    ) -> None:
        self.name = f'front-a-{number}'
        self.ip = f'127.0.0.{10 + number}'
        self.front, self.readiness, internal, self._metrics = ports
        self._settings = folder / f'{self.name}.toml'
        self.log = folder / f'{self.name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                internal=internal,
                internal_end=internal,
                front=self.front,
                readiness=self.readiness,
                store=store,
            )
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        role = tomllib.loads(text)['roles']['router']
        command = shlex.split(role['run'])
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'LENTILRUN_CONFIG': str(self._settings),
            **role.get('env', {}),
            'METRICS_PORT': str(self._metrics),
        }
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness port answers 200."""
        response = await messages.send(
            self.ip, self.readiness, 'GET', '/lentilrun/ready', {}, b'', 1.0
        )
        return response.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until it is ready; raises ``TimeoutError``."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            await self.process.wait()


class Fleet:
    """Owns the store, the routers and the servers of a case."""

    def __init__(self, routers: int, backends: list[Backend]) -> None:
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='lentilrun-'))
        self._stack = contextlib.AsyncExitStack()
        self.store = rowstore.RowStoreState()
        self.backends = backends
        self._count = routers
        self.routers: list[Router] = []
        self.version = 0

    async def __aenter__(self) -> Fleet:
        hosts = [f'127.0.0.{11 + n}' for n in range(self._count)]
        ports = _find_ports(hosts, 4)
        server = HTTPServer(rowstore.make_application(self.store))
        (store_port,) = _find_ports(['127.0.0.1'], 1)
        server.listen(store_port, '127.0.0.1')
        self._stack.callback(server.stop)
        for backend in self.backends:
            await self._stack.enter_async_context(backend)
            self.store.put('servers', backend.name, backend.make_row())
        self.routers = [
            Router(n + 1, self._folder, ports, store_port)
            for n in range(self._count)
        ]
        heartbeats = asyncio.ensure_future(self._send_heartbeats())
        self._stack.callback(heartbeats.cancel)
        return self

    async def start(self) -> None:
        """Start all routers and wait until they are ready."""
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await router.wait_until_ready()

    async def __aexit__(self, *_: object) -> None:
        for router in self.routers:
            await router.stop()
        await self._stack.aclose()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for backend in self.backends:
                self.store.put('servers', backend.name, backend.make_row())

    def write_operator_row(self, key: str, value: dict[str, Any]) -> None:
        """Write a row as the operator; the write is its acknowledgement."""
        self.store.put('op', key, json.dumps(value).encode())

    def configure(self, **fields: Any) -> int:
        """Write the next configuration; return its version."""
        self.version += 1
        limits = {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        }
        value = {'version': self.version, 'limits': limits, **fields}
        self.write_operator_row('config', value)
        return self.version

    def list_runs(self) -> list[Any]:
        """Return what all servers ran, oldest first."""
        runs = [r for b in self.backends for r in b.runs]
        return sorted(runs, key=lambda r: r.at)


def make_route(
    name: str, prefix: str, kind: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout-ms': 1500,
        'target-latency-ms': 125,
        'priority': 2,
        'service': service,
        'max-attempts': 1,
        'auth-exempt': False,
        'sticky-sessions': False,
        'resumable': False,
        **fields,
    }


def make_tenant(name: str, keys: list[str], **fields: Any) -> dict[str, Any]:
    """Return a tenant of a configuration."""
    return {
        'name': name,
        'api-keys': keys,
        'priority': 1,
        'unit': 'token_count',
        'plain-tokens': 200,
        'isolated': False,
        'rate-per-s': 79049,
        'burst': 79049,
        **fields,
    }


class Record:
    """Writes what a case sent, got and saw run, one JSON line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = open(path, 'w', encoding='utf-8')
        self._started_at = time.monotonic()
        self.lines: list[dict[str, Any]] = []

    def write(self, event: str, **fields: Any) -> None:
        """Write a line about an event."""
        at = round(time.monotonic() - self._started_at, 3)
        line = {'at': at, 'event': event, **fields}
        self.lines.append(line)
        self._file.write(json.dumps(line, default=str) + '\n')
        self._file.flush()


def main(case: Any, folder: pathlib.Path, limit_s: float) -> int:
    """Run a case within ``limit_s``; return the exit code of its script.

    ``case`` is a coroutine function that gets the record and whether the
    disruption is left out, and returns whether the rule was broken.
    """
    record = Record(folder / 'record.txt')
    is_calm = os.environ.get('TROUBLE', '1') == '0'
    record.write('begin', trouble=not is_calm)

    async def run() -> bool:
        async with asyncio.timeout(limit_s):
            return bool(await case(record, is_calm))

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        record.write('could_not_run', error=repr(error))
        sys.stderr.write(f'the case could not run: {error!r}\n')
        return 2
    record.write('end', broken=is_broken)
    print('the rule was broken' if is_broken else 'the rule held')
    return 1 if is_broken else 0
