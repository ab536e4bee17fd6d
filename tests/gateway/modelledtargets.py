"""Targets and callers of a modelled fleet, on simulated time."""

from __future__ import annotations

import asyncio
import collections
import itertools
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import HOST
from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import MODEL
from lentilrun.standins.configuration import RESUMABLE_PATH
from lentilrun.standins.configuration import SAFE_PATH
from productionbuild import find_module
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lentilrun.config.ini import Address
    from lentilrun.gateway.node import Node
    from lentilrun.standins.timeloop import TimeLoop
    from lentilrun.web.client import Request
    from lentilrun.web.client import ResponseHandler
    from modelledfleets import ModelledFleet

_NETWORK_S = 0.001
_CONNECT_TIMEOUT_S = 0.4
_EVENT = b'id: 1\ndata: piece\n\n'


class Arrival(NamedTuple):
    """A request that reached a target from a VM; ``at`` in seconds.

    ``source`` is where the target is to fetch KV cache, ``store`` where it is
    to save it, and ``salt`` what keeps it apart; each may be empty.
    """

    at: float
    vm: str
    target: str
    source: str = ''
    store: str = ''
    salt: str = ''


class Ending(NamedTuple):
    """How a call ended, ``held`` seconds after it arrived.

    ``status`` and ``retry_after`` are those of a refusal, 0 without one;
    ``delivered_status`` is that of a response that ended as complete, or 0.
    """

    at: float
    held: float
    status: int
    retry_after: float
    delivered_status: int


class ModelledTargets:
    """Targets that respond after ``response_s`` seconds.

    ``rate_limits`` holds the limits that they state, by name; those in
    ``broken`` close each connection instead of a response. A target in
    ``rooms`` rejects requests beyond so many at a time; ``brittle`` holds
    how many rejections a second they state that they bear. VMs in
    ``cut_off`` reach no target; other VMs reach them.
    """

    def __init__(self, loop: TimeLoop, fleet: ModelledFleet) -> None:
        """Let the targets that are registered respond to all VMs."""
        self._loop = loop
        self._fleet = fleet
        self.response_s = 0.03
        self.rate_limits: dict[str, float] = {}
        self.broken: set[str] = set()
        self.rooms: dict[str, int] = {}
        self.brittle: dict[str, float] = {}
        self.cut_off: set[str] = set()
        self.arrivals: list[Arrival] = []
        self.rejections: list[Arrival] = []
        self._in_flight: collections.Counter[str] = collections.Counter()
        for node in fleet.nodes.values():
            self.connect(node)

    def connect(self, node: Node) -> None:
        """Let a VM send its requests to the targets."""

        async def exchange(
            address: Address,
            request: Request,
            handler: ResponseHandler,
            reuse: bool = True,
        ) -> None:
            await self._exchange(node, address, request, handler)

        async def open_idle(address: Address) -> bool:
            await asyncio.sleep(_NETWORK_S)
            return not await self._is_cut_off(node)

        node.target_client.exchange = exchange  # type: ignore[method-assign]
        node.target_client.open_idle = open_idle  # type: ignore[method-assign]

    async def _is_cut_off(self, node: Node) -> bool:
        """Return whether a VM is cut off, after the time that it takes."""
        if node.settings.name not in self.cut_off:
            return False
        await asyncio.sleep(_CONNECT_TIMEOUT_S)
        return True

    async def _exchange(
        self,
        node: Node,
        address: Address,
        request: Request,
        handler: ResponseHandler,
    ) -> None:
        vm = node.settings.name
        if await self._is_cut_off(node):
            raise find_module(node, 'web.client').NotSentError('no connection')
        target = self._fleet.targets_by_port[address.port]
        await asyncio.sleep(_NETWORK_S)
        arrival = Arrival(
            self._loop.time(),
            vm,
            target,
            request.headers.get('X-Kv-Fetch-From', ''),
            request.headers.get('X-Kv-Save-To', ''),
            request.headers.get('X-Cache-Salt', ''),
        )
        self.arrivals.append(arrival)
        if self._in_flight[target] >= self.rooms.get(target, 1 << 30):
            self.rejections.append(arrival)
            headers = self._make_headers(target, request)
            headers['X-Not-Executed'] = '1'
            await asyncio.sleep(_NETWORK_S)
            handler.receive_head(503, headers)
            return
        self._in_flight[target] += 1
        try:
            await asyncio.sleep(self.response_s)
        finally:
            self._in_flight[target] -= 1
        if target in self.broken:
            client = find_module(node, 'web.client')
            raise client.InterruptedExchangeError('reset')
        headers = self._make_headers(target, request)
        await asyncio.sleep(_NETWORK_S)
        handler.receive_head(200, headers)
        if 'X-Prefix-Hash' in request.headers:
            relaying = handler.receive_chunk(_EVENT)
            if relaying is not None:
                await relaying

    def _make_headers(self, target: str, request: Request) -> HTTPHeaders:
        headers = HTTPHeaders(
            {
                'X-Request-Id': request.headers['X-Request-Id'],
                'X-Instance-Id': target,
                'X-Response-Signature': 's',
                'Transfer-Encoding': 'chunked',
            }
        )
        if 'X-Prefix-Hash' in request.headers:
            headers['Content-Type'] = 'text/event-stream'
        if target in self.brittle:
            headers['Server-Brittle'] = str(self.brittle[target])
        if target in self.rate_limits:
            headers['Server-Limit'] = str(self.rate_limits[target])
        return headers


def count_most(times: Sequence[float], window: float) -> int:
    """Return the largest number of sorted times in any ``window`` s."""
    most = 0
    recent: collections.deque[float] = collections.deque()
    for time in times:
        recent.append(time)
        while recent[0] <= time - window:
            recent.popleft()
        most = max(most, len(recent))
    return most


class _Writer:
    """Receives the response to a call; implements ``ResponseWriter``.

    ``delivered_status`` is its status once it is complete.
    """

    def __init__(self) -> None:
        self._status = 0
        self.delivered_status = 0

    async def begin(
        self, status: int, headers: HTTPHeaders, data: bytes = b''
    ) -> None:
        """Receive the head of a streamed response and its first data."""
        self._status = status

    async def write(self, data: bytes) -> None:
        """Receive data of a streamed response."""

    async def finish(self) -> None:
        """Receive the end of a streamed response."""
        self.delivered_status = self._status

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Receive a whole response."""
        self.delivered_status = status

    def abort(self) -> None:
        """Receive the end of a response that broke off."""


class Callers:
    """Callers that send requests to the VMs in turn.

    They wait ``deadline_s`` seconds for each response. Their prompts are
    alike, or have nothing in common if they are ``distinct``.
    """

    def __init__(self, loop: TimeLoop) -> None:
        self._loop = loop
        self.deadline_s = 5.0
        self.distinct = False
        self._ids = itertools.count(1)
        self.endings: list[Ending] = []

    async def send(
        self, nodes: Sequence[Node], rate: float, seconds: float, path: str
    ) -> None:
        """Send ``rate`` requests per second; wait until all have ended."""
        tasks = []
        for number in range(int(rate * seconds)):
            node = nodes[number % len(nodes)]
            tasks.append(asyncio.ensure_future(self._call(node, path)))
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*tasks)

    async def _call(self, node: Node, path: str) -> None:
        now = self._loop.time()
        headers = HTTPHeaders(
            {
                'Host': HOST,
                'X-Request-Id': f'request-{next(self._ids)}',
                'X-Deadline-Ms': str(round(self.deadline_s * 1e3)),
                'Api-Key': KEY,
            }
        )
        if path == RESUMABLE_PATH:
            headers['X-Model'] = MODEL
            headers['X-Token-Usage'] = '700,20'
            headers['X-Prefix-Hash'] = self._make_prefix()
        build = find_module(node, 'gateway.call')
        incoming = build.IncomingRequest('GET', path, headers, b'', now)
        status, retry_after = 0, 0.0
        writer = _Writer()
        try:
            call = node.admission.admit(incoming)
            await node.dispatcher.run(call, writer)
        except build.Refusal as refusal:
            status = refusal.status
            retry_after = refusal.retry_after or 0.0
        ended_at = self._loop.time()
        self.endings.append(
            Ending(
                ended_at,
                ended_at - now,
                status,
                retry_after,
                writer.delivered_status,
            )
        )

    def _make_prefix(self) -> str:
        if self.distinct:
            return f'{next(self._ids):x}:700'
        return 'aa:500,bb:200'


__all__ = [
    'Arrival',
    'Callers',
    'count_most',
    'Ending',
    'ModelledTargets',
    'RESUMABLE_PATH',
    'SAFE_PATH',
]
