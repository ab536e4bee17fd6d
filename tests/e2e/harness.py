"""Runs daemons, targets and the platform as separate processes."""

from __future__ import annotations

import asyncio
import hashlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Any
from typing import NamedTuple

from lentilrun.config.ini import Address
from lentilrun.web.client import Client
from lentilrun.web.client import Request
from lentilrun.web.client import Response
from lentilrun.web.client import ResponseHandler
import msgspec
import zmq

KEYS = {'solo': 'key-of-solo', 'jepara': 'key-of-jepara'}
_START_TIMEOUT = 30.0
_STOP_TIMEOUT = 30.0
_PORTS_EACH = 1500
# Tests that run beside each other take ports of their own.
_WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0')[2:]) % 8
_FIRST_PORT = 20_000 + _WORKER * _PORTS_EACH
_PORTS = iter(range(_FIRST_PORT, _FIRST_PORT + _PORTS_EACH))


def find_port() -> int:
    """Return a port below the ephemeral range that nobody listens on."""
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port
    raise AssertionError('no port is free')


class Vm(NamedTuple):
    """Addresses of one daemon."""

    name: str
    callers: Address
    operators: Address
    peers: Address


def _local() -> Address:
    return Address('127.0.0.1', find_port())


class Fleet:
    """Processes of one test; all are ended on exit."""

    def __init__(self, folder: pathlib.Path, vms: int, targets: int) -> None:
        self.folder = folder
        self.platform = _local()
        self.vms = [
            Vm(f'vm{i}', _local(), _local(), _local())
            for i in range(1, vms + 1)
        ]
        self.targets = {f't{i}': _local() for i in range(1, targets + 1)}
        self.service = _local()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.client = Client()
        _, secret = zmq.curve_keypair()
        self.environment = {
            **os.environ,
            'LENTILRUN_FLEET': secret.decode(),
        }
        self.extra: dict[str, tuple[str, ...]] = {}

    async def __aenter__(self) -> Fleet:
        self.start_platform()
        for name in self.targets:
            self.start_target(name)
        self.start_service()
        await self.wait_port(self.platform)
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            await self.wait_port(vm.operators)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(_STOP_TIMEOUT)
        self.client.__exit__(None, None, None)

    def _start(self, name: str, *arguments: str) -> None:
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            stdout=log,
            stderr=log,
            env=self.environment,
        )
        log.close()

    def start_platform(self) -> None:
        """Start the stand-in for the platform."""
        standin = 'lentilrun.standins.run'
        self._start('platform', standin, 'platform', str(self.platform))

    def start_target(self, name: str) -> None:
        """Start, or start again, a target."""
        address = str(self.targets[name])
        options = ('--name', name, '--block-bytes', '1024')
        more = self.extra.get(name, ())
        self._start(
            name,
            'lentilrun.standins.run',
            'target',
            address,
            *options,
            *more,
        )

    def start_service(self) -> None:
        """Start the plain service."""
        address = str(self.service)
        self._start(
            'stock',
            'lentilrun.standins.run',
            'target',
            address,
            '--name',
            'stock',
            '--slots',
            '256',
        )

    def _write_settings(self, vm: Vm) -> pathlib.Path:
        peers = '\n'.join(
            f'{other.name} = {other.peers}'
            for other in self.vms
            if other.name != vm.name
        )
        platform = '\n'.join(
            f'{name} = {self.platform}'
            for name in ('tables', 'objects', 'weights', 'vms')
        )
        path = self.folder / f'{vm.name}.ini'
        path.write_text(
            f'[vm]\nname = {vm.name}\ndata_centre = dc1\n'
            f'[listen]\ncallers = {vm.callers}\n'
            f'operators = {vm.operators}\npeers = {vm.peers}\n'
            f'[peers]\n{peers}\n[platform]\n{platform}\n'
            '[secrets]\nfleet = env:LENTILRUN_FLEET\n'
        )
        return path

    def start_vm(self, vm: Vm) -> None:
        """Start, or start again, a daemon."""
        path = self._write_settings(vm)
        code = 'from lentilrun.daemon.run import main; main()'
        log = (self.folder / f'{vm.name}.log').open('ab')
        self.processes[vm.name] = subprocess.Popen(
            [sys.executable, '-c', code, str(path)],
            stdout=log,
            stderr=log,
            env=self.environment,
        )
        log.close()

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes[name].kill()
        self.processes[name].wait(_STOP_TIMEOUT)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    async def wait_exit(self, name: str) -> int:
        """Wait for a process to end; return its exit code."""
        process = self.processes[name]
        async with asyncio.timeout(_STOP_TIMEOUT):
            while process.poll() is None:
                await asyncio.sleep(0.05)
        return process.returncode

    async def wait_port(self, address: Address) -> None:
        """Wait until something listens at an address."""
        async with asyncio.timeout(_START_TIMEOUT):
            while True:
                try:
                    _, writer = await asyncio.open_connection(*address)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    def declare(self, *more: str, keys: dict[str, str] | None = None) -> str:
        """Return an operators' file for the fleet's targets."""
        parts = []
        keys = KEYS if keys is None else keys
        for name in KEYS:
            parts.append(
                f'[workspace {name}]\nrate = 100000\nburst = 1000000\n'
            )
        for name, secret in keys.items():
            digest = hashlib.sha256(secret.encode()).hexdigest()
            parts.append(
                f'[key {name}-1]\nworkspace = {name}\ndigest = {digest}\n'
            )
        parts.append('[model m]\nblock_bytes = 1024\nslots = 16\n')
        parts.append('[service stock]\nslots = 256\n')
        for name, address in self.targets.items():
            parts.append(f'[target {name}]\nmodel = m\naddress = {address}\n')
        parts.append(f'[target s]\nmodel = stock\naddress = {self.service}\n')
        parts.append(
            '[route chat]\npath = /v1/chat/completions\nmodel = m\n'
            'idempotent = yes\ndeadline = 20\n'
        )
        parts.append(
            '[route look]\npath = /look/*\nmodel = stock\n'
            'idempotent = yes\ndeadline = 5\naccess = open\n'
        )
        parts.append(
            '[route book]\npath = /book\nmodel = stock\nidempotent = no\n'
            'deadline = 5\n'
        )
        return '\n'.join([*parts, *more])

    async def send(
        self,
        address: Address,
        method: str,
        path: str,
        body: Any = b'',
        timeout: float = 30.0,
        **headers: str,
    ) -> Response:
        """Send a request; header names have underscores for dashes."""
        data = body
        if not isinstance(body, bytes):
            data = msgspec.json.encode(body)
        named = {k.replace('_', '-'): v for k, v in headers.items()}
        request = Request(method, path, named, data, timeout)
        return await self.client.fetch(address, request, reuse=False)

    async def apply(self, text: str, vm: int = 0) -> Any:
        """Apply an operators' file; return the daemon's answer."""
        address = self.vms[vm].operators
        response = await self.send(address, 'POST', '/apply', text.encode())
        told = msgspec.json.decode(response.body)
        assert 'generation' in told, told
        return told

    async def query(self, name: str, vm: int = 0) -> Any:
        """Return a report of a daemon."""
        address = self.vms[vm].operators
        response = await self.send(address, 'GET', f'/{name}')
        return msgspec.json.decode(response.body)

    async def wait_units(self) -> None:
        """Wait until all VMs joined and all units are given out."""
        dumps: list[Any] = []
        try:
            await self._wait_whole(dumps)
        except TimeoutError as error:
            raise AssertionError(dumps[-len(self.vms) :]) from error

    async def _wait_whole(self, seen: list[Any]) -> None:
        async with asyncio.timeout(_START_TIMEOUT):
            while True:
                dumps = [
                    await self.query('dump', i) for i in range(len(self.vms))
                ]
                seen.extend(dumps)
                sums = [
                    sum(d['units'].get(name, 0) for d in dumps)
                    for name in KEYS
                ]
                joined = {len(d['status']['members']) for d in dumps}
                whole = all(s == 1_000_000 for s in sums)
                if whole and joined == {len(self.vms)}:
                    return
                await asyncio.sleep(0.1)

    async def chat(
        self,
        vm: int,
        content: str,
        workspace: str = 'solo',
        tokens: int = 10,
        stream: bool = True,
        **headers: str,
    ) -> Response:
        """Send a chat request."""
        body = {
            'model': 'm',
            'stream': stream,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': content}],
        }
        key = headers.pop('key', KEYS[workspace])
        return await self.send(
            self.vms[vm].callers,
            'POST',
            '/v1/chat/completions',
            body,
            Authorization=f'Bearer {key}',
            **headers,
        )

    async def open_chat(
        self, vm: int, content: str, tokens: int, receiver: ResponseHandler
    ) -> None:
        """Send a streamed chat request, handing it to a receiver."""
        body = msgspec.json.encode(
            {
                'model': 'm',
                'stream': True,
                'max_tokens': tokens,
                'messages': [{'role': 'user', 'content': content}],
            }
        )
        headers = {'Authorization': f'Bearer {KEYS["solo"]}'}
        request = Request('POST', '/v1/chat/completions', headers, body, 60.0)
        address = self.vms[vm].callers
        await self.client.exchange(address, request, receiver, reuse=False)

    async def read_ledger(self, name: str) -> list[Any]:
        """Return what a target ran."""
        address = self.targets.get(name, self.service)
        response = await self.send(address, 'GET', '/ledger')
        return msgspec.json.decode(response.body)

    async def fault(self, name: str, kind: str, body: Any = b'') -> None:
        """Give a target a fault."""
        address = self.targets.get(name, self.service)
        await self.send(address, 'POST', f'/faults/{kind}', body)

    async def platform_fault(self, **fault: Any) -> None:
        """Give the platform a fault."""
        await self.send(self.platform, 'POST', '/faults', _to_fault(fault))


def _to_fault(fault: dict[str, Any]) -> list[Any]:
    names = ('service', 'kind', 'seconds', 'delay', 'answers')
    defaults = ('tables', 'outage', 0.0, 0.0, 0)
    pairs = zip(names, defaults, strict=True)
    return [fault.get(name, default) for name, default in pairs]


def is_whole(response: Response, tokens: int) -> bool:
    """Return whether a stream is whole and in order, and its own."""
    events = response.body.decode().strip().split('\n\n')
    heads = [e.split('\n')[0] for e in events]
    numbers = [int(h[4:]) for h in heads if h.startswith('id: ')]
    words = [f'w{i} ' in e for i, e in enumerate(events[1:tokens], 1)]
    return (
        response.status == 200
        and numbers == list(range(1, tokens + 3))
        and all(words)
        and events[-1].endswith('[DONE]')
        and response.headers['X-Request-Id'] in events[0]
    )
