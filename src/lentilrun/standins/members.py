"""Fleet members in one process: daemons without network ports."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from ..config.ini import Address
from ..config.settings import Limits
from ..config.settings import ListenAddresses
from ..config.settings import PlatformAddresses
from ..config.settings import Secrets
from ..config.settings import Settings
from ..daemon.inbox import Inbox
from ..daemon.inbox import InboxDependencies
from ..daemon.polling import TablePoller
from ..errors import PlatformError
from ..fleet.agreement import Agreement
from ..fleet.heartbeats import HeartbeatExchange
from ..fleet.lending import TokenLending
from ..fleet.membership import MembershipManager
from ..fleet.state import FleetState
from ..fleet.surveys import SurveyRunner
from ..metrics.registry import Metrics
from ..peers.codec import Sender
from .network import SimulatedMesh
from .timeloop import Gate

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from ..coordination.table import MemoryTable
    from ..coordination.table import Row
    from .network import SimulatedNetwork
    from .timeloop import TimeLoop

_TABLE_DELAY_S = 0.002
_UNUSED_ADDRESS = Address('127.0.0.1', 1)
_LIMITS = Limits(2**20, 1000, 2**28, 1000)


class SimulatedTable:
    """One member's access to a shared table, with injectable faults.

    ``lost_answers`` is the number of writes to carry out without
    returning their result.
    """

    def __init__(self, shared: MemoryTable) -> None:
        self._shared = shared
        self.is_down = False
        self.delay = _TABLE_DELAY_S
        self.lost_responses = 0
        self.reads = 0
        self.writes = 0

    async def _delay_call(self) -> None:
        await asyncio.sleep(self.delay)
        if self.is_down:
            raise PlatformError('the table is unreachable')

    async def read(self, key: str) -> Row:
        """Return a row."""
        self.reads += 1
        await self._delay_call()
        return await self._shared.read(key)

    async def read_newer(self, key: str, version: int) -> Row | None:
        """Return a row if its version differs."""
        self.reads += 1
        await self._delay_call()
        return await self._shared.read_newer(key, version)

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows with a prefix."""
        self.reads += 1
        await self._delay_call()
        return await self._shared.scan(prefix)

    async def write(self, key: str, value: bytes, version: int) -> int:
        """Write a row; raises after the write if its result is lost."""
        self.writes += 1
        await self._delay_call()
        row_version = await self._shared.write(key, value, version)
        if self.lost_responses:
            self.lost_responses -= 1
            raise PlatformError('the response was lost')
        return row_version


def make_settings(name: str, names: list[str]) -> Settings:
    """Return the settings of member ``name`` of a fleet of ``names``."""
    index = names.index(name)
    listen = Address('127.0.0.1', 2 + index)
    peers = {
        n: Address('127.0.0.1', 2 + i)
        for i, n in enumerate(names)
        if n != name
    }
    return Settings(
        name,
        'dc1',
        ListenAddresses(_UNUSED_ADDRESS, _UNUSED_ADDRESS, listen),
        peers,
        PlatformAddresses(
            _UNUSED_ADDRESS, _UNUSED_ADDRESS, _UNUSED_ADDRESS, _UNUSED_ADDRESS
        ),
        Secrets(b'', b'', b'secret', ''),
        None,
        _LIMITS,
    )


class SimulatedMember:
    """One incarnation of a member; ``kill`` cancels its tasks."""

    def __init__(
        self,
        loop: TimeLoop,
        network: SimulatedNetwork,
        shared: MemoryTable,
        settings: Settings,
    ) -> None:
        self.name = settings.name
        self.gate = Gate()
        self.table = SimulatedTable(shared)
        self.metrics = Metrics()
        self._network = network
        # Drawn from the seeded generator, so that runs are reproducible.
        incarnation = f'{network.random.getrandbits(64):016x}'
        self.state = FleetState(settings, loop, self.table, incarnation)
        sender = Sender(settings.name, self.state.incarnation)
        mesh: Any = SimulatedMesh(sender, network, self.metrics)
        self.mesh = mesh
        self.agreement = Agreement(self.state, mesh)
        self.beats = HeartbeatExchange(self.state, mesh)
        self.lending = TokenLending(self.state, mesh, self.metrics)
        self.surveys = SurveyRunner(
            self.state, mesh, self.table, self.beats, self.metrics
        )
        self.membership = MembershipManager(self.state, mesh, self.agreement)
        self._tasks: set[asyncio.Task[Any]] = set()
        self.attach(None)
        self._start()

    def attach(self, driver: Any) -> None:
        """Receive messages; ``driver`` handles those about moves."""
        no_hints: Any = None
        inbox = Inbox(
            InboxDependencies(
                self.agreement,
                self.beats,
                self.lending,
                self.surveys,
                driver,
                no_hints,
                self.metrics,
            )
        )
        self._network.attach(self.name, inbox.receive, self.gate)

    def _start(self) -> None:
        self.membership.connect_members(self.state.roster)
        poll = TablePoller(self.state, self.metrics)
        self.run(self.beats.run())
        self.run(poll.run())
        self.run(self.membership.run())
        self.run(self.surveys.run())

    def run(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a task of this member's process."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.gate.run(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def kill(self) -> None:
        """Stop the member immediately, without a graceful shutdown."""
        self._network.detach(self.name)
        for task in self._tasks:
            task.cancel()


__all__ = ['make_settings', 'SimulatedMember', 'SimulatedTable']
