"""Runs daemons, targets and the platform as separate processes."""

from __future__ import annotations

import asyncio
import hashlib
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any
from typing import NamedTuple

from lentilrun.config.ini import Address
from lentilrun.standins.ports import ReservedPorts
from lentilrun.web.client import Client
from lentilrun.web.client import Request
from lentilrun.web.client import Response
from lentilrun.web.client import ResponseHandler
import msgspec
import zmq

API_KEYS = {'solo': 'key-of-solo', 'jepara': 'key-of-jepara'}
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 30.0


class VmAddresses(NamedTuple):
    """The addresses of one daemon."""

    name: str
    callers: Address
    operators: Address
    peers: Address


class FleetProcesses:
    """The processes and ports of one test; all are released on exit."""

    def __init__(self, folder: pathlib.Path, vms: int, targets: int) -> None:
        self.folder = folder
        self.ports = ReservedPorts()
        reserve = self.ports.reserve_address
        self.platform = reserve()
        self.vms = [
            VmAddresses(f'vm{i}', reserve(), reserve(), reserve())
            for i in range(1, vms + 1)
        ]
        self.targets = {f't{i}': reserve() for i in range(1, targets + 1)}
        self.service = reserve()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.client = Client()
        _, secret = zmq.curve_keypair()
        self.environment = {
            **os.environ,
            'LENTILRUN_FLEET': secret.decode(),
        }
        self.target_options: dict[str, tuple[str, ...]] = {}

    async def __aenter__(self) -> FleetProcesses:
        self.start_platform()
        for name in self.targets:
            self.start_target(name)
        self.start_service()
        await self.wait_for_port(self.platform)
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            await self.wait_for_port(vm.operators)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(_STOP_TIMEOUT_S)
        self.client.__exit__(None, None, None)
        self.ports.__exit__(None, None, None)

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
        module = 'lentilrun.standins.run'
        self._start('platform', module, 'platform', str(self.platform))

    def start_target(self, name: str) -> None:
        """Start or restart a target."""
        address = str(self.targets[name])
        options = ('--name', name, '--block-bytes', '1024')
        target_options = self.target_options.get(name, ())
        self._start(
            name,
            'lentilrun.standins.run',
            'target',
            address,
            *options,
            *target_options,
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

    def _write_settings(self, vm: VmAddresses) -> pathlib.Path:
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

    def start_vm(self, vm: VmAddresses) -> None:
        """Start or restart a daemon."""
        path = self._write_settings(vm)
        code = 'from lentilrun.daemon.program import main; main()'
        log = (self.folder / f'{vm.name}.log').open('ab')
        self.processes[vm.name] = subprocess.Popen(
            [sys.executable, '-c', code, str(path)],
            stdout=log,
            stderr=log,
            env=self.environment,
        )
        log.close()

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        self.processes[name].kill()
        self.processes[name].wait(_STOP_TIMEOUT_S)

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(signal_number)

    async def wait_for_exit(self, name: str) -> int:
        """Wait for a process to exit; return its exit code."""
        process = self.processes[name]
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(0.05)
        return process.returncode

    async def wait_for_port(self, address: Address) -> None:
        """Wait until an address accepts connections."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(*address)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    def make_declaration(
        self, *extra_sections: str, keys: dict[str, str] | None = None
    ) -> str:
        """Return an operators' file for the fleet's targets.

        ``keys`` replaces the API keys by workspace.
        """
        sections = []
        keys = API_KEYS if keys is None else keys
        for name in API_KEYS:
            sections.append(
                f'[workspace {name}]\nrate = 100000\nburst = 1000000\n'
            )
        for name, secret in keys.items():
            digest = hashlib.sha256(secret.encode()).hexdigest()
            sections.append(
                f'[key {name}-1]\nworkspace = {name}\ndigest = {digest}\n'
            )
        sections.append('[model m]\nblock_bytes = 1024\nslots = 16\n')
        sections.append('[service stock]\nslots = 256\n')
        for name, address in self.targets.items():
            sections.append(
                f'[target {name}]\nmodel = m\naddress = {address}\n'
            )
        sections.append(
            f'[target s]\nmodel = stock\naddress = {self.service}\n'
        )
        sections.append(
            '[route chat]\npath = /v1/chat/completions\nmodel = m\n'
            'idempotent = yes\ndeadline = 20\n'
        )
        sections.append(
            '[route look]\npath = /look/*\nmodel = stock\n'
            'idempotent = yes\ndeadline = 5\naccess = open\n'
        )
        sections.append(
            '[route book]\npath = /book\nmodel = stock\nidempotent = no\n'
            'deadline = 5\n'
        )
        return '\n'.join([*sections, *extra_sections])

    async def send(
        self,
        address: Address,
        method: str,
        path: str,
        body: Any = b'',
        timeout: float = 30.0,
        **headers: str,
    ) -> Response:
        """Send a request; underscores in header names become dashes."""
        data = body
        if not isinstance(body, bytes):
            data = msgspec.json.encode(body)
        header_fields = {k.replace('_', '-'): v for k, v in headers.items()}
        request = Request(method, path, header_fields, data, timeout)
        return await self.client.fetch(address, request, reuse=False)

    async def apply(self, text: str, vm: int = 0) -> Any:
        """Apply an operators' file; return the daemon's response."""
        address = self.vms[vm].operators
        response = await self.send(address, 'POST', '/apply', text.encode())
        result = msgspec.json.decode(response.body)
        assert 'generation' in result, result
        return result

    async def get_report(self, name: str, vm: int = 0) -> Any:
        """Return a daemon's report, such as ``status`` or ``dump``."""
        address = self.vms[vm].operators
        response = await self.send(address, 'GET', f'/{name}')
        return msgspec.json.decode(response.body)

    async def wait_until_settled(self) -> None:
        """Wait until all VMs have joined and all units are assigned."""
        dumps: list[Any] = []
        try:
            await self._poll_dumps(dumps)
        except TimeoutError as error:
            raise AssertionError(dumps[-len(self.vms) :]) from error

    async def _poll_dumps(self, polled_dumps: list[Any]) -> None:
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                dumps = [
                    await self.get_report('dump', i)
                    for i in range(len(self.vms))
                ]
                polled_dumps.extend(dumps)
                totals = [
                    sum(d['units'].get(name, 0) for d in dumps)
                    for name in API_KEYS
                ]
                member_counts = {len(d['status']['members']) for d in dumps}
                are_units_complete = all(s == 1_000_000 for s in totals)
                if are_units_complete and member_counts == {len(self.vms)}:
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
        key = headers.pop('key', API_KEYS[workspace])
        return await self.send(
            self.vms[vm].callers,
            'POST',
            '/v1/chat/completions',
            body,
            Authorization=f'Bearer {key}',
            **headers,
        )

    async def stream_chat(
        self, vm: int, content: str, tokens: int, receiver: ResponseHandler
    ) -> None:
        """Send a chat request and pass the stream to a receiver."""
        body = msgspec.json.encode(
            {
                'model': 'm',
                'stream': True,
                'max_tokens': tokens,
                'messages': [{'role': 'user', 'content': content}],
            }
        )
        headers = {'Authorization': f'Bearer {API_KEYS["solo"]}'}
        request = Request('POST', '/v1/chat/completions', headers, body, 60.0)
        address = self.vms[vm].callers
        await self.client.exchange(address, request, receiver, reuse=False)

    async def get_ledger(self, name: str) -> list[Any]:
        """Return the requests that a target ran, as ledger entries."""
        address = self.targets.get(name, self.service)
        response = await self.send(address, 'GET', '/ledger')
        return msgspec.json.decode(response.body)

    async def inject_fault(
        self, name: str, kind: str, body: Any = b''
    ) -> None:
        """Inject a fault into a target."""
        address = self.targets.get(name, self.service)
        await self.send(address, 'POST', f'/faults/{kind}', body)

    async def inject_platform_fault(self, **fault: Any) -> None:
        """Inject a fault into the platform."""
        await self.send(self.platform, 'POST', '/faults', _to_fault(fault))


def _to_fault(fault: dict[str, Any]) -> list[Any]:
    names = ('service', 'kind', 'seconds', 'delay', 'answers')
    defaults = ('tables', 'outage', 0.0, 0.0, 0)
    pairs = zip(names, defaults, strict=True)
    return [fault.get(name, default) for name, default in pairs]


def is_complete_stream(response: Response, tokens: int) -> bool:
    """Return whether a stream is complete, in order and its request's."""
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
