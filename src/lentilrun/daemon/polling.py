"""Periodic reads of the platform and of targets, and writes of usage."""

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
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError

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

_TABLE_INTERVAL_S = 0.5
# Above this number of members the interval grows in proportion to it, to
# limit the load on the table.
_FULL_RATE_MEMBERS = 128
_MAX_TABLE_INTERVAL_S = 2.0
_VMS_INTERVAL_S = 1.0
_BUSY_LOAD_INTERVAL_S = 0.5
_IDLE_LOAD_INTERVAL_S = 1.0
_USAGE_INTERVAL_S = 2.0


class TablePoller:
    """Reads the committed values of topics; each read proves freshness."""

    def __init__(self, state: FleetState, metrics: Metrics) -> None:
        self._state = state
        self._metrics = metrics

    async def refresh(self) -> bool:
        """Read all topics once; return whether all could be read."""
        started_at = self._state.clock.now()
        try:
            topics = self._state.topics.values()
            await asyncio.gather(*(t.refresh() for t in topics))
        except PlatformError:
            self._metrics.add(Count.PLATFORM_ERRORS, 'tables')
            return False
        except InvalidFileError as error:
            logging.error('the committed configuration is invalid: %s', error)
            return False
        self._state.freshness.record_table_read(started_at)
        self._state.update_rate_limits()
        return True

    async def run(self) -> None:
        """Read periodically until cancelled."""
        while True:
            await self.refresh()
            members = len(self._state.roster.members)
            factor = max(1.0, members / _FULL_RATE_MEMBERS)
            await asyncio.sleep(
                min(_MAX_TABLE_INTERVAL_S, _TABLE_INTERVAL_S * factor)
            )


class VmPoller:
    """Reads the platform's list of VMs."""

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
        self._listed_before: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Read periodically until cancelled."""
        while True:
            try:
                self.apply(await self._vms.list())
            except PlatformError:
                self._metrics.add(Count.PLATFORM_ERRORS, 'vms')
            await asyncio.sleep(_VMS_INTERVAL_S)

    def apply(self, listed: tuple[Vm, ...]) -> None:
        """Apply a list; a VM only in earlier lists counts as removed."""
        names = {v.name for v in listed}
        leaving_addresses = {v.address for v in listed if v.is_leaving}
        leaving = {v.name for v in listed if v.is_leaving}
        removed = self._listed_before - names
        self._listed_before |= names
        self._agreement.removed_vms = removed - {self._state.name}
        targets = self._pool.targets
        at_leaving_vms = {
            name
            for name, state in targets.items()
            if str(state.target.address) in leaving_addresses
        }
        self._pool.set_withdrawn_targets(
            frozenset(removed | leaving | at_leaving_vms)
        )


class LoadPoller:
    """Reads load reports of one target."""

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
        """Read periodically until cancelled."""
        while True:
            await self._read()
            self._scheduler.assign_waiting(self._target.model)
            state = self._pool.targets.get(self._target.name)
            is_busy = state is not None and state.estimate_in_flight() > 0
            await asyncio.sleep(
                _BUSY_LOAD_INTERVAL_S if is_busy else _IDLE_LOAD_INTERVAL_S
            )

    async def _read(self) -> None:
        name = self._target.name
        state = self._pool.targets.get(name)
        own_in_flight = state.own_in_flight if state is not None else 0
        try:
            report = await loads.read_load(self._client, self._target.address)
        except (NotSentError, InterruptedExchangeError):
            self._pool.mark_unreachable(name)
            return
        if report is None:
            self._pool.expire_backoffs()
            return
        self._pool.apply_report(name, report, own_in_flight)
        if report.incarnation:
            holder = BlockHolder(report.incarnation, report.weights_version)
            self._placements.set_current_holder(name, holder)


class CacheEventReader:
    """Reads cache events of one target."""

    def __init__(
        self, target: Target, placements: PlacementMap, metrics: Metrics
    ) -> None:
        self._target = target
        self._placements = placements
        self._metrics = metrics

    async def run(self) -> None:
        """Read until cancelled; return at once without an event address."""
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
                self._apply(reading.event)

    def _apply(self, event: CacheEvent) -> None:
        name = self._target.name
        holder = BlockHolder(event.incarnation, event.version)
        current = self._placements.current_holder(name)
        if current is not None and current != holder:
            # A late event of an earlier incarnation or version, or the first
            # one of a new holder, which the next load report will set.
            return
        for block in event.removed:
            self._placements.remove(block, name)
        for block in event.stored:
            self._placements.add(block, name, holder)


class UsageWriter:
    """Writes this daemon's usage record."""

    def __init__(self, recorder: UsageRecorder, metrics: Metrics) -> None:
        self._recorder = recorder
        self._metrics = metrics

    async def write(self) -> None:
        """Write the record once; an error is counted, and not raised."""
        try:
            await self._recorder.write(time.time())
        except LentilrunError:
            self._metrics.add(Count.PLATFORM_ERRORS, 'usage')

    async def run(self) -> None:
        """Write periodically until cancelled."""
        while True:
            await self.write()
            await asyncio.sleep(_USAGE_INTERVAL_S)


__all__ = [
    'CacheEventReader',
    'LoadPoller',
    'TablePoller',
    'UsageWriter',
    'VmPoller',
]
