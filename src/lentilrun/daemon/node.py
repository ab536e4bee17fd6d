"""Assembly of a daemon from its components."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from absl import logging

from ..coordination.claims import Claims
from ..coordination.clock import SystemClock
from ..entry.admission import Admission
from ..entry.attempt import AttemptDependencies
from ..entry.attemptrunner import AttemptRunner
from ..entry.claimedcalls import ClaimedCallRunner
from ..entry.feedback import Feedback
from ..entry.inflight import InFlightCalls
from ..entry.resumption import Resumption
from ..entry.retries import RetryBudget
from ..entry.scheduler import Scheduler
from ..entry.service import Service
from ..entry.service import ServiceDependencies
from ..entry.suspects import SuspectTracker
from ..fleet.agreement import Agreement
from ..fleet.heartbeats import HeartbeatExchange
from ..fleet.lending import TokenLending
from ..fleet.membership import MembershipManager
from ..fleet.state import FleetState
from ..fleet.surveys import SurveyRunner
from ..metrics.registry import Metrics
from ..moves.driver import MoveDriver
from ..moves.progress import MoveTracker
from ..moves.tallies import TallyBook
from ..peers.codec import Sender
from ..peers.mesh import Mesh
from ..platform.service import PlatformService
from ..platform.tables import HttpTable
from ..platform.vms import VmList
from ..routing.placements import PlacementMap
from ..routing.pool import TargetPool
from ..routing.selection import PlacementSelector
from ..usage.records import UsageRecorder
from ..web.client import Client
from .hints import HintExchange
from .inbox import Inbox
from .inbox import InboxDependencies
from .polling import CacheEventReader
from .polling import LoadPoller
from .polling import TablePoller
from .polling import UsageWriter
from .polling import VmPoller
from .tasks import TaskSupervisor

if TYPE_CHECKING:
    from types import TracebackType

    from ..config.configuration import Configuration
    from ..config.configuration import Target
    from ..config.settings import Settings

_DRAIN_S = 1.0
_LEAVE_TIMEOUT_S = 2.0


class Node:
    """Owns a daemon's components; as a context manager, runs its tasks."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.client = Client()
        self.platform_client = Client(responds_once=True)
        tables = PlatformService(
            self.platform_client, settings.platform.tables
        )
        self.table = HttpTable(tables)
        self.state = FleetState(settings, self.clock, self.table)
        sender = Sender(settings.name, self.state.incarnation)
        self.mesh = Mesh(sender, settings.secrets, self.metrics)
        self._build_fleet()
        self._build_routing()
        self._build_entry()
        self._build_inbox()
        self.tasks = TaskSupervisor(self.metrics)
        self._stack = contextlib.AsyncExitStack()
        self._polled_targets: dict[str, Target] = {}
        self.state.configuration_callbacks.append(self._configure)
        self._add_gauges()

    def _build_fleet(self) -> None:
        self.agreement = Agreement(self.state, self.mesh)
        self.heartbeat_exchange = HeartbeatExchange(self.state, self.mesh)
        self.lending = TokenLending(self.state, self.mesh, self.metrics)
        self.surveys = SurveyRunner(
            self.state,
            self.mesh,
            self.table,
            self.heartbeat_exchange,
            self.metrics,
        )
        self.membership = MembershipManager(
            self.state, self.mesh, self.agreement
        )

    def _build_routing(self) -> None:
        limits = self.settings.limits
        self.pool = TargetPool(self.clock)
        self.placements = PlacementMap(limits.remembered_prefixes)
        self.placement_selector = PlacementSelector(self.pool, self.placements)
        self.moves = MoveTracker()
        self.tally_book = TallyBook(time.time)
        self.scheduler = Scheduler(
            self.state,
            self.pool,
            self.placement_selector,
            self.moves,
            self.metrics,
        )
        self.move_driver = MoveDriver(
            self.state,
            self.mesh,
            self.table,
            self.client,
            self.pool,
            self.moves,
            self.tally_book,
            time.time,
        )

    def _build_entry(self) -> None:
        state = self.state
        self.suspects = SuspectTracker(
            self.clock, self.table, self.metrics, state.name
        )
        feedback = Feedback(self.pool, self.placements, self.tally_book)
        attempts = AttemptRunner(
            AttemptDependencies(
                self.settings,
                state,
                self.mesh,
                self.client,
                self.pool,
                self.suspects,
                feedback,
                self.metrics,
            ),
            self.scheduler,
            RetryBudget(),
        )
        self.admission = Admission(state, self.lending, self.metrics)
        self.in_flight = InFlightCalls(self.settings.limits)
        self.usage = UsageRecorder(self.table, state.name, state.incarnation)
        claimed_calls = ClaimedCallRunner(Claims(self.table), attempts)
        self.service = Service(
            ServiceDependencies(
                state,
                self.admission,
                attempts,
                claimed_calls,
                self.in_flight,
                self.usage,
                self.metrics,
            )
        )
        self.resumption = Resumption(
            self.settings.secrets,
            state,
            self.admission,
            self.in_flight,
            self.client,
            self.metrics,
        )

    def _build_inbox(self) -> None:
        self.hints = HintExchange(
            self.mesh, self.placements, self.suspects, self.moves
        )
        self.inbox = Inbox(
            InboxDependencies(
                self.agreement,
                self.heartbeat_exchange,
                self.lending,
                self.surveys,
                self.move_driver,
                self.hints,
                self.metrics,
            )
        )

    def _add_gauges(self) -> None:
        metrics = self.metrics
        metrics.add_gauge('generation', self.state.configuration_generation)
        metrics.add_gauge('fresh', lambda: float(self.state.is_fresh()))
        metrics.add_gauge('running', lambda: float(len(self.in_flight)))
        metrics.add_gauge('waiting', self.scheduler.count_waiting)
        metrics.add_gauge('placements', lambda: float(len(self.placements)))

    async def __aenter__(self) -> Node:
        self._stack.enter_context(self.client)
        self._stack.enter_context(self.platform_client)
        self._stack.enter_context(self.mesh)
        self.mesh.listen(self.settings.listen.peers)
        self.membership.connect_members(self.state.roster)
        await self._stack.enter_async_context(self.tasks)
        self._start_tasks()
        return self

    def _start_tasks(self) -> None:
        state = self.state
        service = PlatformService(
            self.platform_client, self.settings.platform.vms
        )
        vm_poller = VmPoller(
            VmList(service), self.agreement, self.pool, state, self.metrics
        )
        self._table_poller = TablePoller(state, self.metrics)
        self._usage_writer = UsageWriter(self.usage, self.metrics)
        start = self.tasks.start
        start('receive', lambda: self.mesh.receive(self.inbox.receive))
        start('beats', self.heartbeat_exchange.run)
        start('tables', self._table_poller.run)
        start('vms', vm_poller.run)
        start('membership', self.membership.run)
        start('surveys', self.surveys.run)
        start('moves', self.move_driver.run)
        start('usage', self._usage_writer.run)
        start('hints', self.hints.run)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def _configure(self, configuration: Configuration) -> None:
        self.pool.configure(configuration)
        self.moves.configure(configuration)
        cancelled = self.in_flight.cancel_withdrawn(
            self.admission.is_key_valid
        )
        if cancelled:
            logging.info('cancelled %d calls of withdrawn keys', cancelled)
        self._update_pollers(configuration)

    def _update_pollers(self, configuration: Configuration) -> None:
        for name, target in list(self._polled_targets.items()):
            if configuration.targets.get(name) != target:
                self.tasks.stop(f'load/{name}')
                self.tasks.stop(f'events/{name}')
                del self._polled_targets[name]
        for name, target in configuration.targets.items():
            if name in self._polled_targets:
                continue
            self._polled_targets[name] = target
            poller = LoadPoller(
                target,
                self.client,
                self.pool,
                self.placements,
                self.scheduler,
            )
            reader = CacheEventReader(target, self.placements, self.metrics)
            self.tasks.start(f'load/{name}', poller.run)
            if target.events is not None:
                self.tasks.start(f'events/{name}', reader.run)

    def find_longest_deadline(self) -> float:
        """Return how long a call may last, in seconds.

        Calls may have begun before the configuration was changed.
        """
        routes = self.state.configuration.routes
        longest = max((r.timeout for r in routes), default=0.0)
        last = self.in_flight.find_last_deadline()
        return max(longest, last - self.clock.now())

    async def drain(self) -> None:
        """Mark this VM as leaving; wait for load balancers to notice."""
        self.state.leaving = True
        await asyncio.sleep(_DRAIN_S)

    async def finish_calls(self, ends_at: float) -> None:
        """Wait for the calls in flight, at most until a time."""
        try:
            async with asyncio.timeout(max(0.0, ends_at - self.clock.now())):
                await self.in_flight.wait_idle()
        except TimeoutError:
            logging.warning(
                '%d calls are open at the end', len(self.in_flight)
            )

    async def leave_fleet(self) -> None:
        """Give up bucket units, leave the membership and write the usage.

        Stops waiting after ``_LEAVE_TIMEOUT_S``.
        """
        self.tasks.stop('membership')
        try:
            async with asyncio.timeout(_LEAVE_TIMEOUT_S):
                await self.membership.leave()
                await self._usage_writer.write()
        except TimeoutError:
            logging.warning(
                'timed out leaving the membership or writing the usage'
            )


__all__ = ['Node']
