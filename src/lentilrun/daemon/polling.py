"""Reading of the platform and the targets, over and over."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from absl import logging

from ..config.findings import InvalidFileError
from ..errors import LentilrunError
from ..errors import PlatformError
from ..metrics.registry import Count
from ..routing.placements import BlockHolder
from ..targets import events
from ..targets import loads
from ..web.client import InterruptedExchangeError
from ..web.client import NotSentError

if TYPE_CHECKING:
    from ..config.configuration import Target
    from ..entry.scheduler import Scheduler
    from ..fleet.agreement import Agreement
    from ..fleet.state import FleetState
    from ..metrics.registry import Metrics
    from ..platform.vms import Vm
    from ..platform.vms import VmList
    from ..routing.placements import PlacementMap
    from ..routing.pool import TargetPool
    from ..targets.events import CacheEvent
    from ..usage.records import UsageRecorder
    from ..web.client import Client

_TABLE_PAUSE = 0.5
# Above this many members each reads less often, to spare the table.
_TABLE_CROWD = 128
_TABLE_PAUSE_MAX = 2.0
_VMS_PAUSE = 1.0
_LOAD_PAUSE = 0.5
_IDLE_LOAD_PAUSE = 1.0
_USAGE_PAUSE = 2.0


class TablePoller:
    """Reads the agreed values; each read proves freshness."""

    def __init__(self, state: FleetState, metrics: Metrics) -> None:
        self._state = state
        self._metrics = metrics

    async def refresh(self) -> bool:
        """Read all topics once; return whether that was possible."""
        started = self._state.clock.now()
        try:
            topics = self._state.topics.values()
            await asyncio.gather(*(t.refresh() for t in topics))
        except PlatformError:
            self._metrics.add(Count.PLATFORM_ERRORS, 'tables')
            return False
        except InvalidFileError as error:
            logging.error('an accepted configuration is unreadable: %s', error)
            return False
        self._state.freshness.record_table_read(started)
        self._state.update_rate_limits()
        return True

    async def run(self) -> None:
        """Read for ever."""
        while True:
            await self.refresh()
            members = len(self._state.roster.members)
            crowd = max(1.0, members / _TABLE_CROWD)
            await asyncio.sleep(min(_TABLE_PAUSE_MAX, _TABLE_PAUSE * crowd))


class VmPoller:
    """Reads the list of live and leaving VMs."""

    def __init__(
        self,
        vms: VmList,
        agreement: Agreement,
        pool: TargetPool,
        state: FleetState,
        metrics: Metrics,
    ) -> None:
        self._vms = vms
        self._agreement = agreement
        self._pool = pool
        self._state = state
        self._metrics = metrics
        self._seen: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Read for ever."""
        while True:
            try:
                self.apply(await self._vms.list())
            except PlatformError:
                self._metrics.add(Count.PLATFORM_ERRORS, 'vms')
            await asyncio.sleep(_VMS_PAUSE)

    def apply(self, listed: tuple[Vm, ...]) -> None:
        """Take a list; what was listed once and is no more, is gone."""
        live = {v.name for v in listed}
        addresses = {v.address for v in listed if v.is_leaving}
        leaving = {v.name for v in listed if v.is_leaving}
        gone = self._seen - live
        self._seen |= live
        self._agreement.removed_vms = gone - {self._state.name}
        targets = self._pool.targets
        by_address = {
            name
            for name, state in targets.items()
            if str(state.target.address) in addresses
        }
        self._pool.set_withdrawn_targets(
            frozenset(gone | leaving | by_address)
        )


class LoadPoller:
    """Reads the load of one target."""

    def __init__(
        self,
        target: Target,
        client: Client,
        pool: TargetPool,
        placements: PlacementMap,
        scheduler: Scheduler,
    ) -> None:
        self._target = target
        self._client = client
        self._pool = pool
        self._placements = placements
        self._scheduler = scheduler

    async def run(self) -> None:
        """Read for ever."""
        while True:
            await self._read()
            self._scheduler.assign_waiting(self._target.model)
            state = self._pool.targets.get(self._target.name)
            busy = state is not None and state.estimate_in_flight() > 0
            await asyncio.sleep(_LOAD_PAUSE if busy else _IDLE_LOAD_PAUSE)

    async def _read(self) -> None:
        name = self._target.name
        state = self._pool.targets.get(name)
        own = state.own_in_flight if state is not None else 0
        try:
            load = await loads.read_load(self._client, self._target.address)
        except (NotSentError, InterruptedExchangeError):
            self._pool.mark_unreachable(name)
            return
        if load is None:
            self._pool.expire_backoffs()
            return
        self._pool.apply_report(name, load, own)
        if load.incarnation:
            holder = BlockHolder(load.incarnation, load.weights_version)
            self._placements.set_current_holder(name, holder)


class CacheEventReader:
    """Reads the cache events of one target."""

    def __init__(
        self, target: Target, placements: PlacementMap, metrics: Metrics
    ) -> None:
        self._target = target
        self._placements = placements
        self._metrics = metrics

    async def run(self) -> None:
        """Read for ever."""
        address = self._target.events
        if address is None:
            return
        with events.CacheEventSubscription(address) as subscription:
            while True:
                reading = await subscription.read()
                if reading is None:
                    self._metrics.add(Count.BAD_MESSAGES)
                    continue
                self._metrics.add(Count.CACHE_EVENTS)
                if reading.follows_gap:
                    self._metrics.add(Count.CACHE_GAPS)
                    self._placements.invalidate_target(self._target.name)
                self._take(reading.event)

    def _take(self, event: CacheEvent) -> None:
        name = self._target.name
        holder = BlockHolder(event.incarnation, event.version)
        current = self._placements.current_holder(name)
        if current is not None and current != holder:
            # A late event of an incarnation or version that is past, or
            # the first of a new one: the next report tells.
            return
        for block in event.removed:
            self._placements.remove(block, name)
        for block in event.stored:
            self._placements.add(block, name, holder)


class UsageWriter:
    """Writes this daemon's record of use."""

    def __init__(self, book: UsageRecorder, metrics: Metrics) -> None:
        self._book = book
        self._metrics = metrics

    async def write(self) -> None:
        """Write once, if that can be done."""
        try:
            await self._book.write(time.time())
        except LentilrunError:
            self._metrics.add(Count.PLATFORM_ERRORS, 'usage')

    async def run(self) -> None:
        """Write for ever."""
        while True:
            await self.write()
            await asyncio.sleep(_USAGE_PAUSE)


__all__ = [
    'CacheEventReader',
    'LoadPoller',
    'TablePoller',
    'UsageWriter',
    'VmPoller',
]
