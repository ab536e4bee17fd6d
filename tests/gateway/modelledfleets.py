"""A fleet of up to hundreds of VMs in one process, on simulated time.

The VMs are whole nodes without ports: the store's calls, the datagrams and
the orders to engines are modelled.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import os
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

from deployments import BOUNDS
from lentilrun.config.ini import Address
from lentilrun.decisions.regions import RegionMap
from lentilrun.gateway import node as node_module
from lentilrun.gateway.node import Node
from lentilrun.gateway.peers import Peers
from lentilrun.platform import engines
from lentilrun.platform.engines import EngineReport
from lentilrun.platform.node import NodeSettings
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_evacuation_key
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import make_weights_announcement
from lentilrun.standins.configuration import MODEL
from lentilrun.standins.rowstore import encode_row
from lentilrun.standins.rowstore import RowStoreState
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import Response
import msgspec
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterator
    from collections.abc import Sequence
    from typing import Any

    from lentilrun.decisions.facts import Target
    from lentilrun.platform.engines import WeightsLoadOrder
    from lentilrun.platform.node import Bounds
    from lentilrun.standins.rowstore import StoredRow
    from lentilrun.standins.timeloop import TimeLoop
    from lentilrun.web.client import Request
    import pytest

_OK = 200
_GONE = 410
_CONFLICT = 412
_UNAVAILABLE = 503
_CALL_S = 0.004
_DATAGRAM_S = 0.001
_WEIGHTS_LOAD_S = 0.5
_HOST = '127.0.0.1'
_FIRST_PORT = 2000
_FIRST_TARGET_PORT = 9000


# Fleets by data centre: in a mesh, and over two hubs of each. The first VMs
# of two data centres read the store.
SMALL_FLEET = {'a': 2, 'b': 2, 'c': 2, 'd': 2}
LARGE_FLEET = {'a': 19, 'b': 19, 'c': 19, 'd': 20}
# Its two hubs are its readers.
SINGLE_DATA_CENTRE = {'a': 14}
# After its start, a VM exchanges messages with its hubs only.
STARTED_S = 4.0
# In which any change must be in force, by what the users set.
CHANGE_LIMIT_S = min(BOUNDS.configuration_limit, BOUNDS.drain)


class ModelledStore:
    """The calls of one VM to the store; implements ``Client.fetch``.

    ``calls`` counts them by kind and table. ``rejects`` lets them fail,
    and ``hangs`` lets them go unanswered, those in progress too.
    """

    def __init__(self, state: RowStoreState, loop: TimeLoop) -> None:
        self._state = state
        self._loop = loop
        self.calls: collections.Counter[str] = collections.Counter()
        self.rejects = False
        self.hangs = False

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        """Respond to a call; raises ``InterruptedExchangeError``."""
        try:
            async with asyncio.timeout(request.timeout):
                response = await self._answer(request)
                await self._hang()
                return response
        except TimeoutError as error:
            raise InterruptedExchangeError('no answer') from error

    async def _answer(self, request: Request) -> Response:
        parts = urlsplit(request.path)
        query = dict(parse_qsl(parts.query))
        if parts.path == '/lentilrun/rows-tx':
            return await self._write(msgspec.json.decode(request.body))
        if parts.path == '/lentilrun/rows-get':
            return await self._read(query['table'])
        return await self._follow(
            query['table'], int(query['after']), int(query['wait-ms']) / 1e3
        )

    async def _call(self, kind: str) -> None:
        self.calls[kind] += 1
        await asyncio.sleep(_CALL_S)
        await self._hang()

    async def _hang(self) -> None:
        if self.hangs:
            await asyncio.Event().wait()

    def _is_away(self) -> bool:
        return self.rejects or self._state.faults.is_down

    def _respond(
        self, rows: Sequence[StoredRow], status: int = _OK
    ) -> Response:
        if self._is_away():
            status = _UNAVAILABLE
        state = self._state
        body = {
            'rows': [encode_row(r) for r in rows],
            'row-version': state.version,
            'now-ms': self._loop.time() * 1e3,
        }
        headers = HTTPHeaders({'Store-Era': str(state.era)})
        return Response(status, headers, msgspec.json.encode(body))

    async def _read(self, table: str) -> Response:
        await self._call(f'read {table}')
        rows = [r for r in self._state.rows.values() if r.table == table]
        return self._respond(rows)

    async def _follow(self, table: str, after: int, wait: float) -> Response:
        await self._call(f'follow {table}')
        state = self._state
        era = state.era
        until = self._loop.time() + wait
        while not (rows := state.list_changes(table, after)):
            if self._is_away() or state.era != era:
                break
            time_left = until - self._loop.time()
            if time_left <= 0.0 or not state.has_history(after):
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(time_left, 0.1)):
                    await state.changed.wait()
        if not state.has_history(after):
            return self._respond([], _GONE)
        return self._respond(rows)

    async def _write(self, body: dict[str, Any]) -> Response:
        key = [*body['puts'], *body['remove']][0]['key']
        await self._call(f'write {key.split("/")[0]}')
        if self._is_away():
            return self._respond([])
        is_committed = self._state.commit(body)
        return self._respond([], _OK if is_committed else _CONFLICT)


class _Transport:
    """Sends the datagrams of one VM; implements ``DatagramTransport``."""

    def __init__(self, fleet: ModelledFleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def is_closing(self) -> bool:
        """Return false: it stays open."""
        return False

    def sendto(self, data: bytes, address: Address) -> None:
        """Deliver a datagram after a delay, unless it is lost."""
        self._fleet.transmit(self._name, data, address)


class EngineCall(NamedTuple):
    """A request for a report, or an order, ``at`` a time in seconds."""

    at: float
    engine: str


class ModelledEngines:
    """Engines that load weights, in ``load_s`` seconds from an order.

    ``orders`` holds when and from whom they got them.
    """

    def __init__(self, loop: TimeLoop) -> None:
        self._loop = loop
        self.load_s = _WEIGHTS_LOAD_S
        self._versions: dict[str, int] = collections.defaultdict(lambda: 1)
        self._ready_at: dict[str, float] = collections.defaultdict(float)
        self.orders: list[tuple[float, str, WeightsLoadOrder]] = []
        self.calls: list[EngineCall] = []

    def is_at(self, name: str, version: int) -> bool:
        """Return whether an engine has loaded a version."""
        is_busy = self._loop.time() < self._ready_at[name]
        return not is_busy and self._versions[name] == version

    async def read_report(
        self, client: object, target: Target
    ) -> EngineReport:
        """Return an engine's state."""
        await asyncio.sleep(_CALL_S)
        name = target.incarnation
        self.calls.append(EngineCall(self._loop.time(), name))
        is_busy = self._loop.time() < self._ready_at[name]
        version = self._versions[name] - is_busy
        count = sum(n == name for _, n, _ in self.orders)
        return EngineReport({MODEL: version}, is_busy, count)

    async def send_order(
        self, client: object, target: Target, order: WeightsLoadOrder
    ) -> bool:
        """Accept an order."""
        await asyncio.sleep(_CALL_S)
        name = target.incarnation
        self.calls.append(EngineCall(self._loop.time(), name))
        self.orders.append((self._loop.time(), name, order))
        self._versions[name] = order.version
        self._ready_at[name] = self._loop.time() + self.load_s
        return True


class ModelledFleet:
    """VMs on a modelled network, store and engines.

    ``loses`` decides which datagrams are lost, by sender, recipient and
    content.
    """

    def __init__(
        self,
        loop: TimeLoop,
        monkeypatch: pytest.MonkeyPatch,
        data_centres: dict[str, int],
        engine_count: int = 8,
        bounds: Bounds = BOUNDS,
        log_file: int | None = None,
        regions: dict[str, str] | None = None,
    ) -> None:
        """Build a number of VMs by data centre.

        They log to a file descriptor, which is closed on exit. ``regions``
        holds the region of each data centre.
        """
        monkeypatch.setattr(node_module, 'SystemClock', lambda: loop)
        self._loop = loop
        if log_file is None:
            log_file = os.open(os.devnull, os.O_WRONLY)
        self._log_file = log_file
        self._bounds = bounds
        self._regions = regions or {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self.state = RowStoreState()
        self.engines = ModelledEngines(loop)
        monkeypatch.setattr(engines, 'read_report', self.engines.read_report)
        monkeypatch.setattr(
            engines, 'send_weights_load_order', self.engines.send_order
        )
        self.stores: dict[str, ModelledStore] = {}
        self.nodes: dict[str, Node] = {}
        self.targets_by_port: dict[int, str] = {}
        self.loses: Callable[[str, str, bytes], bool] = lambda *_: False
        self.configure(1)
        self.announce_weights(1)
        for number in range(engine_count):
            self.register(f'e{number}')
        for data_centre, count in data_centres.items():
            for number in range(count):
                self._add(f'{data_centre}{number:03}', data_centre)

    def __enter__(self) -> ModelledFleet:
        return self

    def __exit__(self, *exception: object) -> None:
        os.close(self._log_file)

    def __iter__(self) -> Iterator[Node]:
        """Return the running VMs."""
        return iter([self.nodes[name] for name in self._tasks])

    def _add(
        self, name: str, data_centre: str, is_first_start: bool = True
    ) -> None:
        names = [*self.nodes, name]
        port = _FIRST_PORT + names.index(name)
        address = Address(_HOST, port)
        settings = NodeSettings(
            name,
            _HOST,
            data_centre,
            1.0,
            address,
            address,
            port,
            address,
            self._bounds,
            regions=RegionMap(
                self._regions, self._regions.get(data_centre, '')
            ),
            is_first_start=is_first_start,
        )
        node = self._make_node(settings)
        store = ModelledStore(self.state, self._loop)
        node.store_client.fetch = store.fetch  # type: ignore[method-assign]
        node.peers._transport = _Transport(self, name)
        self.nodes[name] = node
        self.stores[name] = store

    def _make_node(self, settings: NodeSettings) -> Node:
        return Node(settings, self._log_file)

    def start(self, *names: str) -> None:
        """Start VMs, all without names."""
        for name in names or self.nodes:
            node = self.nodes[name]
            components: list[Coroutine[Any, Any, None]] = [
                node.operator_rows.run(),
                node.target_rows.run(),
                node.discovery.run(),
                node.peers.run(),
                node.upgrades.run(),
                node.usage_checkpointer.run(),
                node.reachability.run(),
                *self._list_more(node),
            ]
            self._tasks[name] = [asyncio.ensure_future(c) for c in components]

    def _list_more(self, node: Node) -> list[Coroutine[Any, Any, None]]:
        """Return what not every build of a VM runs."""
        return [
            node.builds.run(),
            node.announcement_rows.run(),
            node.crash_rows.run(),
            node.rollout_driver.run(),
        ]

    def stop(self, name: str) -> None:
        """Stop a VM without an announcement."""
        for task in self._tasks.pop(name):
            task.cancel()

    def find_vm(self, address: Address) -> Node:
        """Return the VM whose messages arrive at an address."""
        return list(self.nodes.values())[address.port - _FIRST_PORT]

    def replace(self, name: str) -> None:
        """Build a new process of a VM that was stopped, and start it."""
        data_centre = self.nodes[name].settings.data_centre
        self._add(name, data_centre, is_first_start=False)
        self.start(name)

    def transmit(self, sender: str, data: bytes, address: Address) -> None:
        """Deliver a datagram to the VM at an address."""
        recipient = list(self.nodes)[address.port - _FIRST_PORT]
        if self.loses(sender, recipient, data):
            return
        self._loop.call_later(_DATAGRAM_S, self._deliver, recipient, data)

    def _deliver(self, name: str, data: bytes) -> None:
        if name in self._tasks:
            self.nodes[name].peers._receive_datagram(data)

    def peers(self, name: str) -> Peers:
        """Return the peers of a VM."""
        return self.nodes[name].peers

    def configure(self, version: int, **overrides: Any) -> None:
        """Write a configuration; ``overrides`` replace top-level keys."""
        configuration = make_configuration(version, **overrides)
        self.state.put('op', 'config', msgspec.json.encode(configuration))

    def evacuate(self, data_centre: str, body: bytes = b'{}') -> None:
        """Write the row that evacuates a data centre."""
        self.state.put('op', make_evacuation_key(data_centre), body)

    def end_evacuation(self, data_centre: str) -> None:
        """Delete the row that evacuates a data centre."""
        self.state.put('op', make_evacuation_key(data_centre), None)

    def announce_weights(self, version: int) -> None:
        """Announce a version of the model's weights."""
        value = make_weights_announcement(version)
        self.state.put('op', f'version/{MODEL}', value)

    def register(
        self,
        name: str,
        state: str = 'ready',
        service: str = 'llm',
        **row: Any,
    ) -> None:
        """Write the row of a target, an engine unless stated otherwise."""
        ports = {n: p for p, n in self.targets_by_port.items()}
        port = ports.get(name, _FIRST_TARGET_PORT + len(ports))
        self.targets_by_port[port] = name
        versions = {MODEL: 1} if service == 'llm' else {}
        value = make_target_row(
            service, f'{_HOST}:{port}', versions, state, **row
        )
        self.state.put('servers', name, value)

    def count_calls(self) -> collections.Counter[str]:
        """Return the calls of the store so far, by kind and table."""
        return sum(
            (s.calls for s in self.stores.values()), collections.Counter()
        )

    def list_behind(self, version: int) -> list[str]:
        """Return the running VMs without a version of the configuration."""
        return [
            name
            for name in self._tasks
            if (configuration := self.nodes[name].view.configuration) is None
            or configuration.version < version
        ]

    async def wait_until(
        self, condition: Callable[[], bool], timeout: float
    ) -> float:
        """Wait for a condition; return the time that it took, in seconds.

        Raises ``TimeoutError``.
        """
        started_at = self._loop.time()
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.01)
        return self._loop.time() - started_at


__all__ = [
    'CHANGE_LIMIT_S',
    'LARGE_FLEET',
    'ModelledFleet',
    'ModelledStore',
    'SINGLE_DATA_CENTRE',
    'SMALL_FLEET',
    'STARTED_S',
]
