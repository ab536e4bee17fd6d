"""Members of a fleet in one process: all of a daemon but its ports."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from ..config.ini import Address
from ..config.settings import Limits
from ..config.settings import Listen
from ..config.settings import PlatformAddresses
from ..config.settings import Secrets
from ..config.settings import Settings
from ..daemon.inbox import Inbox
from ..daemon.inbox import Parts
from ..daemon.polling import TablePoll
from ..errors import PlatformError
from ..fleet.agreement import Agreement
from ..fleet.beats import Beats
from ..fleet.lending import Lending
from ..fleet.roster import Membership
from ..fleet.state import FleetState
from ..fleet.surveys import Surveys
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

_TABLE_DELAY = 0.002
_NOWHERE = Address('127.0.0.1', 1)
_LIMITS = Limits(2**20, 1000, 2**28, 1000)


class SimulatedTable:
    """One member's way to a shared table, with faults of its own."""

    def __init__(self, shared: MemoryTable) -> None:
        self._shared = shared
        self.is_down = False
        self.delay = _TABLE_DELAY
        self.lost_answers = 0
        self.reads = 0
        self.writes = 0

    async def _pass(self) -> None:
        await asyncio.sleep(self.delay)
        if self.is_down:
            raise PlatformError('the table is out of reach')

    async def read(self, key: str) -> Row:
        """Return a row."""
        self.reads += 1
        await self._pass()
        return await self._shared.read(key)

    async def read_newer(self, key: str, version: int) -> Row | None:
        """Return a row if its version differs."""
        self.reads += 1
        await self._pass()
        return await self._shared.read_newer(key, version)

    async def scan(self, prefix: str) -> list[Row]:
        """Return rows."""
        self.reads += 1
        await self._pass()
        return await self._shared.scan(prefix)

    async def write(self, key: str, value: bytes, version: int) -> int:
        """Write a row; the answer may be set to be lost."""
        self.writes += 1
        await self._pass()
        made = await self._shared.write(key, value, version)
        if self.lost_answers:
            self.lost_answers -= 1
            raise PlatformError('the answer was lost')
        return made


def make_settings(name: str, names: list[str]) -> Settings:
    """Return settings of a member that knows the others by name."""
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
        Listen(_NOWHERE, _NOWHERE, listen),
        peers,
        PlatformAddresses(_NOWHERE, _NOWHERE, _NOWHERE, _NOWHERE),
        Secrets(b'', b'', b'secret', ''),
        None,
        _LIMITS,
    )


class SimulatedMember:
    """One incarnation of one member; its tasks end on ``kill``."""

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
        # From the seeded source, so that a run repeats.
        incarnation = f'{network.random.getrandbits(64):016x}'
        self.state = FleetState(settings, loop, self.table, incarnation)
        sender = Sender(settings.name, self.state.incarnation)
        mesh: Any = SimulatedMesh(sender, network, self.metrics)
        self.mesh = mesh
        self.agreement = Agreement(self.state, mesh)
        self.beats = Beats(self.state, mesh)
        self.lending = Lending(self.state, mesh, self.metrics)
        self.surveys = Surveys(
            self.state, mesh, self.table, self.beats, self.metrics
        )
        self.membership = Membership(self.state, mesh, self.agreement)
        self._tasks: set[asyncio.Task[Any]] = set()
        self.attach(None)
        self._start()

    def attach(self, driver: Any) -> None:
        """Take messages, those about moves with ``driver``."""
        nobody: Any = None
        inbox = Inbox(
            Parts(
                self.agreement,
                self.beats,
                self.lending,
                self.surveys,
                driver,
                nobody,
                self.metrics,
            )
        )
        self._network.attach(self.name, inbox.receive, self.gate)

    def _start(self) -> None:
        self.membership.connect(self.state.roster)
        poll = TablePoll(self.state, self.metrics)
        self.run(self.beats.run())
        self.run(poll.run())
        self.run(self.membership.run())
        self.run(self.surveys.run())

    def run(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a part of this member's process."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.gate.run(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def kill(self) -> None:
        """End the process at once."""
        self._network.detach(self.name)
        for task in self._tasks:
            task.cancel()


__all__ = ['make_settings', 'SimulatedMember', 'SimulatedTable']
