"""A deployment in one process: the store, replicas and VMs."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
from typing import Any
from typing import NamedTuple

from lentilrun.config.ini import Address
from lentilrun.gateway.node import Node
from lentilrun.platform.node import Bounds
from lentilrun.platform.node import NodeSettings
from lentilrun.standins.configuration import HOST
from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_rollout_order
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import make_weights_announcement
from lentilrun.standins.configuration import MODEL
from lentilrun.standins.ports import ReservedPorts
from lentilrun.standins import replica
from lentilrun.standins import rowstore
import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application

_LOOPBACK = '127.0.0.1'

BOUNDS = Bounds(
    drain=2.0,
    shutdown_grace=8.0,
    configuration_limit=2.0,
    retry_ratio=0.2,
    retry_slack=56.0,
    retry_window=10.0,
    quota_window=8.0,
    quota_overage=0.1,
    quota_slack=72_000.0,
    lease_gap=0.4,
    stale_weights_limit=8.0,
)


class CallerResponse(NamedTuple):
    """What a caller received; ``is_whole`` if it ended as complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class Deployment:
    """Owns the store, VMs and replicas; the latter start on request."""

    def __init__(self, log_file: int | None = None) -> None:
        """Let VMs log to a file descriptor, which is closed on exit."""
        self.store = rowstore.RowStoreState()
        self.replicas: dict[str, replica.ReplicaState] = {}
        self.addresses: dict[str, str] = {}
        self.software_versions: dict[str, str] = {}
        self.nodes: dict[str, Node] = {}
        self._stack = contextlib.AsyncExitStack()
        self._ports = self._stack.enter_context(ReservedPorts())
        self._ids = itertools.count(1)
        self._servers: dict[str, HTTPServer] = {}
        if log_file is None:
            log_file = os.open(os.devnull, os.O_WRONLY)
        self._log_file = log_file

    async def __aenter__(self) -> Deployment:
        application = rowstore.make_application(self.store)
        self._store_address = self._serve('store', application)
        self.configure(make_configuration(1))
        self.announce_weights(1)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._stack.aclose()
        for server in self._servers.values():
            server.stop()
            await server.close_all_connections()
        os.close(self._log_file)

    def _serve(self, name: str, application: Application) -> Address:
        """Start a server; return its address."""
        address = self._ports.reserve_address()
        server = HTTPServer(application)
        server.listen(address.port, address.host)
        self._servers[name] = server
        return address

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration."""
        value = msgspec.json.encode(configuration)
        self.store.put('op', 'config', value)

    def lengthen_timeouts(self, timeout_ms: int) -> None:
        """Write a configuration whose routes all have a timeout, in ms."""
        configuration = make_configuration(2)
        for route in configuration['routes']:
            route['timeout-ms'] = timeout_ms
            route['target-latency-ms'] = timeout_ms
        self.configure(configuration)

    async def put_in_force(self, configuration: dict[str, Any]) -> None:
        """Write a configuration and wait until all VMs have it."""
        self.configure(configuration)
        version = configuration['version']

        def is_in_force() -> bool:
            in_force = [n.view.configuration for n in self.nodes.values()]
            return all(c and c.version == version for c in in_force)

        await wait_until(is_in_force)

    def announce_weights(self, version: int) -> None:
        """Announce a version of the model's weights."""
        self.store.put(
            'op', f'version/{MODEL}', make_weights_announcement(version)
        )

    def order_rollout(self, service: str, version: str, s: float) -> None:
        """Order a roll-out that is to be complete within ``s`` seconds."""
        value = make_rollout_order(service, version, s)
        self.store.put('op', f'rollout/{service}', value)

    def read_rollout_status(self, service: str) -> dict[str, Any]:
        """Return the status of a roll-out, empty if there is none."""
        row = self.store.rows.get(('status', '', f'rollout/{service}'))
        if row is None or row.value is None:
            return {}
        status: dict[str, Any] = msgspec.json.decode(row.value)
        return status

    def add_replica(
        self,
        name: str,
        service: str,
        software_version: str = 'v1',
        weights_version: int = 1,
    ) -> replica.ReplicaState:
        """Start a replica and register it."""
        models = {MODEL: weights_version} if service == 'llm' else {}
        self.software_versions[name] = software_version
        state = replica.ReplicaState(name, models)
        address = self._serve(name, replica.make_application(state))
        self.replicas[name] = state
        self.addresses[name] = str(address)
        self.register(name, service)
        return state

    def register(self, name: str, service: str, state: str = 'ready') -> None:
        """Write the row of a replica."""
        versions = self.replicas[name].versions
        value = make_target_row(
            service,
            self.addresses[name],
            versions,
            state,
            software_version=self.software_versions[name],
        )
        self.store.put('servers', name, value)

    def list_runs(self, path: str) -> list[str]:
        """Return the IDs of the requests for a path that replicas ran."""
        return [
            run.request_id
            for state in self.replicas.values()
            for run in state.runs
            if run.uri == path
        ]

    async def stop_replica(self, name: str) -> None:
        """Stop a replica without removing its row."""
        server = self._servers.pop(name)
        server.stop()
        await server.close_all_connections()

    async def replace_crashed(self, service: str) -> None:
        """Start each crashed replica again, under a new name."""
        for name, state in list(self.replicas.items()):
            if not state.has_crashed or name not in self._servers:
                continue
            await self.stop_replica(name)
            self.store.put('servers', name, None)
            new_state = self.add_replica(f'{name}-again', service)
            new_state.plan = state.plan

    async def start_node(self, name: str, bounds: Bounds = BOUNDS) -> Node:
        """Start a VM and wait until it is ready."""
        settings = NodeSettings(
            name,
            _LOOPBACK,
            'a',
            1.0,
            self._ports.reserve_address(),
            self._ports.reserve_address(),
            self._ports.reserve(),
            self._store_address,
            bounds,
        )
        node = await self._stack.enter_async_context(
            Node(settings, self._log_file)
        )
        self.nodes[name] = node
        await wait_until(node.is_ready)
        return node

    async def ask(
        self,
        node: Node,
        path: str,
        body: bytes = b'',
        tokens: str = '',
        **headers: str,
    ) -> CallerResponse:
        """Send a request as a caller; return the response."""
        return await ask(
            node.settings.entry, self.make_request(path, body, tokens, headers)
        )

    def make_request(
        self, path: str, body: bytes, tokens: str, headers: dict[str, str]
    ) -> bytes:
        """Return an HTTP request as bytes, with a new request ID."""
        lines = {
            'Host': HOST,
            'X-Request-Id': f'request-{next(self._ids)}',
            'X-Deadline-Ms': '2500',
            'Api-Key': KEY,
        }
        if tokens:
            lines['X-Model'] = MODEL
            lines['X-Token-Usage'] = tokens
            lines['X-Prefix-Hash'] = 'aa:500,bb:300,cc:200'
        lines.update({k.replace('_', '-'): v for k, v in headers.items()})
        lines['Content-Length'] = str(len(body))
        method = 'POST' if body else 'GET'
        head = ''.join(f'{k}: {v}\r\n' for k, v in lines.items())
        return f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body


def plan_fault(deployment: Deployment, fault: str, times: int) -> None:
    """Let each replica fail its next requests; -1 ``times`` is no limit."""
    plan = replica.ReplicaPlan()
    plan.fault = fault
    plan.fault_count = times
    for state in deployment.replicas.values():
        state.plan = plan


async def wait_until(condition: Any, timeout: float = 5.0) -> None:
    """Wait until a condition holds; raises ``TimeoutError``."""
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.01)


async def ask(address: Address, request: bytes) -> CallerResponse:
    """Send bytes over a new connection; return the response."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Read one response, which may break off."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *fields = head.strip().split('\r\n')
    headers = {}
    for field in fields:
        name, _, value = field.partition(': ')
        headers[name] = value
    status = int(line.split()[1])
    if 'Content-Length' in headers:
        body = await reader.readexactly(int(headers['Content-Length']))
        return CallerResponse(status, headers, body, True)
    chunks = []
    while True:
        try:
            size = int(await reader.readuntil(b'\r\n'), 16)
            chunk = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError:
            return CallerResponse(status, headers, b''.join(chunks), False)
        if not size:
            return CallerResponse(status, headers, b''.join(chunks), True)
        chunks.append(chunk[:-2])


__all__ = [
    'ask',
    'CallerResponse',
    'Deployment',
    'make_configuration',
    'plan_fault',
    'read_response',
    'wait_until',
]
