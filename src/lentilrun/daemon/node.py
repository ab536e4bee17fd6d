"""A daemon: all its parts, put together."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from absl import logging

from ..coordination.claims import Claims
from ..coordination.clock import SystemClock
from ..entry.admission import Admission
from ..entry.attempt import Parts as AttemptParts
from ..entry.attempts import Attempts
from ..entry.claimed import ClaimedRuns
from ..entry.learning import Learning
from ..entry.resumption import Resumption
from ..entry.retries import RetryBudget
from ..entry.running import Running
from ..entry.scheduler import Scheduler
from ..entry.service import Parts as ServiceParts
from ..entry.service import Service
from ..entry.suspects import Suspects
from ..fleet.agreement import Agreement
from ..fleet.beats import Beats
from ..fleet.lending import Lending
from ..fleet.roster import Membership
from ..fleet.state import FleetState
from ..fleet.surveys import Surveys
from ..metrics.registry import Metrics
from ..moves.driver import Driver
from ..moves.progress import Moves
from ..moves.tallies import TallyBook
from ..peers.codec import Sender
from ..peers.mesh import Mesh
from ..platform.service import PlatformService
from ..platform.tables import HttpTable
from ..platform.vms import VmList
from ..routing.choice import Chooser
from ..routing.placements import Placements
from ..routing.pool import Pool
from ..usage.records import UsageBook
from ..web.client import Client
from .hints import Hints
from .inbox import Inbox
from .inbox import Parts as InboxParts
from .polling import EventReader
from .polling import LoadPoll
from .polling import TablePoll
from .polling import UsageWriter
from .polling import VmsPoll
from .tasks import Tasks

if TYPE_CHECKING:
    from types import TracebackType

    from ..config.configuration import Configuration
    from ..config.configuration import Target
    from ..config.settings import Settings

_DRAIN = 1.0
_LAST_WORDS = 2.0


class Node:
    """Owns the parts of a daemon; starts them on entry."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.client = Client()
        tables = PlatformService(self.client, settings.platform.tables)
        self.table = HttpTable(tables)
        self.state = FleetState(settings, self.clock, self.table)
        sender = Sender(settings.name, self.state.incarnation)
        self.mesh = Mesh(sender, settings.secrets, self.metrics)
        self._build_fleet()
        self._build_routing()
        self._build_entry()
        self._build_inbox()
        self.tasks = Tasks(self.metrics)
        self._stack = contextlib.AsyncExitStack()
        self._watched: dict[str, Target] = {}
        self.state.on_configuration.append(self._configure)
        self._watch_gauges()

    def _build_fleet(self) -> None:
        self.agreement = Agreement(self.state, self.mesh)
        self.beats = Beats(self.state, self.mesh)
        self.lending = Lending(self.state, self.mesh, self.metrics)
        self.surveys = Surveys(
            self.state, self.mesh, self.table, self.beats, self.metrics
        )
        self.membership = Membership(self.state, self.mesh, self.agreement)

    def _build_routing(self) -> None:
        limits = self.settings.limits
        self.pool = Pool(self.clock)
        self.placements = Placements(limits.remembered_prefixes)
        self.chooser = Chooser(self.pool, self.placements)
        self.moves = Moves()
        self.book = TallyBook(time.time)
        self.scheduler = Scheduler(
            self.state, self.pool, self.chooser, self.moves, self.metrics
        )
        self.driver = Driver(
            self.state,
            self.mesh,
            self.table,
            self.client,
            self.pool,
            self.moves,
            self.book,
            time.time,
        )

    def _build_entry(self) -> None:
        state = self.state
        self.suspects = Suspects(
            self.clock, self.table, self.metrics, state.name
        )
        learning = Learning(self.pool, self.placements, self.book)
        attempts = Attempts(
            AttemptParts(
                self.settings,
                state,
                self.mesh,
                self.client,
                self.pool,
                self.suspects,
                learning,
                self.metrics,
            ),
            self.scheduler,
            RetryBudget(),
        )
        self.admission = Admission(state, self.lending, self.metrics)
        self.running = Running(self.settings.limits)
        self.usage = UsageBook(self.table, state.name, state.incarnation)
        claimed = ClaimedRuns(Claims(self.table), attempts)
        self.service = Service(
            ServiceParts(
                state,
                self.admission,
                attempts,
                claimed,
                self.running,
                self.usage,
                self.metrics,
            )
        )
        self.resumption = Resumption(
            self.settings.secrets,
            state,
            self.admission,
            self.running,
            self.client,
            self.metrics,
        )

    def _build_inbox(self) -> None:
        self.hints = Hints(
            self.mesh, self.placements, self.suspects, self.moves
        )
        self.inbox = Inbox(
            InboxParts(
                self.agreement,
                self.beats,
                self.lending,
                self.surveys,
                self.driver,
                self.hints,
                self.metrics,
            )
        )

    def _watch_gauges(self) -> None:
        metrics = self.metrics
        metrics.watch('generation', self.state.generation)
        metrics.watch('fresh', lambda: float(self.state.is_fresh()))
        metrics.watch('running', lambda: float(len(self.running)))
        metrics.watch('waiting', self.scheduler.count_waiting)
        metrics.watch('placements', lambda: float(len(self.placements)))

    async def __aenter__(self) -> Node:
        self._stack.enter_context(self.client)
        self._stack.enter_context(self.mesh)
        self.mesh.listen(self.settings.listen.peers)
        self.membership.connect(self.state.roster)
        await self._stack.enter_async_context(self.tasks)
        self._start_tasks()
        return self

    def _start_tasks(self) -> None:
        state = self.state
        service = PlatformService(self.client, self.settings.platform.vms)
        vms = VmsPoll(
            VmList(service), self.agreement, self.pool, state, self.metrics
        )
        self._table_poll = TablePoll(state, self.metrics)
        self._usage_writer = UsageWriter(self.usage, self.metrics)
        start = self.tasks.start
        start('receive', lambda: self.mesh.receive(self.inbox.receive))
        start('beats', self.beats.run)
        start('tables', self._table_poll.run)
        start('vms', vms.run)
        start('membership', self.membership.run)
        start('surveys', self.surveys.run)
        start('moves', self.driver.run)
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
        ended = self.running.end_withdrawn(self.admission.is_valid)
        if ended:
            logging.info('ended %d calls of withdrawn keys', ended)
        self._watch_targets(configuration)

    def _watch_targets(self, configuration: Configuration) -> None:
        for name, target in list(self._watched.items()):
            if configuration.targets.get(name) != target:
                self.tasks.stop(f'load/{name}')
                self.tasks.stop(f'events/{name}')
                del self._watched[name]
        for name, target in configuration.targets.items():
            if name in self._watched:
                continue
            self._watched[name] = target
            poll = LoadPoll(
                target,
                self.client,
                self.pool,
                self.placements,
                self.scheduler,
            )
            reader = EventReader(target, self.placements, self.metrics)
            self.tasks.start(f'load/{name}', poll.run)
            if target.events is not None:
                self.tasks.start(f'events/{name}', reader.run)

    async def drain(self) -> None:
        """Announce the stop, and let the balancer notice."""
        self.state.leaving = True
        await asyncio.sleep(_DRAIN)

    async def finish(self) -> None:
        """Hand over to the others, and write the usage."""
        self.tasks.stop('membership')
        try:
            async with asyncio.timeout(_LAST_WORDS):
                await self.membership.leave()
                await self._usage_writer.write()
        except TimeoutError:
            logging.warning('left without the last words to the platform')


__all__ = ['Node']
