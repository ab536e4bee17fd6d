"""Runs surveys so that units nobody holds are given out again."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from ..coordination.freshness import FRESHNESS_LIMIT_S
from ..coordination.shares import UNITS_PER_BUCKET
from ..coordination.survey import Survey
from ..coordination.survey import SurveyAnswer
from ..coordination.survey import SurveyGrants
from ..coordination.survey import SurveyQuestion
from ..errors import ConflictError
from ..errors import PlatformError
from ..metrics.registry import Count
from .state import MEMBERS_TOPIC

if TYPE_CHECKING:
    from ..coordination.table import Table
    from ..metrics.registry import Metrics
    from ..peers.codec import Sender
    from ..peers.mesh import Mesh
    from .heartbeats import HeartbeatExchange
    from .state import FleetState

_PAUSE = 0.25
_TIMEOUT = 1.0
_IDLE_PAUSE = 5.0
# A removed member stops within the freshness limit; the rest is a margin
# for clocks.
_REMOVAL_WAIT = FRESHNESS_LIMIT_S + 1.0


class SurveyRunner:
    """Runs surveys while this daemon is the first live member."""

    def __init__(
        self,
        state: FleetState,
        mesh: Mesh,
        table: Table,
        beats: HeartbeatExchange,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._mesh = mesh
        self._table = table
        self._beats = beats
        self._metrics = metrics
        self._survey: Survey | None = None
        self._complete = asyncio.Event()
        self._marked: set[str] = set()
        self._settled: tuple[int, int] = (-1, -1)
        self._last = float('-inf')

    async def run(self) -> None:
        """Survey whenever something changed, for ever."""
        while True:
            await asyncio.sleep(_PAUSE)
            if self._is_first() and self._is_due():
                await self._survey_once()

    def _is_first(self) -> bool:
        state = self._state
        names = state.roster.names()
        if state.name not in names or not state.is_fresh():
            return False
        heartbeats = state.heartbeats
        lower = [n for n in names if n < state.name]
        return all(heartbeats.is_unresponsive(n) for n in lower)

    def _stamp(self) -> tuple[int, int]:
        state = self._state
        members = state.topics[MEMBERS_TOPIC].value.generation
        return (state.configuration_generation(), members)

    def _is_due(self) -> bool:
        now = self._state.clock.now()
        if now - self._state.member_removed_at < _REMOVAL_WAIT:
            return False
        if self._stamp() != self._settled or self._beats.restarted_peers:
            return True
        return now - self._last >= _IDLE_PAUSE

    async def _survey_once(self) -> None:
        state = self._state
        stamp = self._stamp()
        restarted = set(self._beats.restarted_peers)
        buckets = tuple(sorted(state.configuration.workspaces))
        name = f'{state.name}/{secrets.token_hex(8)}'
        members = tuple(sorted(state.roster.names()))
        survey = Survey(name, members, buckets)
        self._survey = survey
        self._complete.clear()
        question = SurveyQuestion(name, stamp[1])
        self._mesh.broadcast(question)
        survey.add_answer(state.name, state.respondent.answer(question))
        if not survey.is_complete() and not await self._wait():
            return
        self._metrics.add(Count.SURVEYS)
        new = await self._mark_new(survey)
        issues = survey.plan_grants(new, frozenset(self._marked))
        self._survey = None
        self._last = state.clock.now()
        self._hand_out(issues)
        if not issues and stamp == self._stamp():
            self._settled = stamp
            self._beats.restarted_peers -= restarted

    async def _wait(self) -> bool:
        try:
            async with asyncio.timeout(_TIMEOUT):
                await self._complete.wait()
        except TimeoutError:
            return False
        return True

    def _hand_out(self, issues: dict[str, SurveyGrants]) -> None:
        for member, issue in issues.items():
            if member == self._state.name:
                self._state.respondent.accept(issue)
            else:
                self._mesh.send(member, issue)

    async def _mark_new(self, survey: Survey) -> frozenset[str]:
        """Return the buckets that were surely never issued before.

        A bucket that some member does not know yet waits for the next
        survey, so that all its units start full.
        """
        new = set()
        unheld = survey.count_unassigned_units()
        for bucket in survey.list_known_buckets() - self._marked:
            if unheld[bucket] < UNITS_PER_BUCKET:
                self._marked.add(bucket)
                continue
            try:
                await self._table.write(f'buckets/{bucket}', b'issued', 0)
                new.add(bucket)
                self._marked.add(bucket)
            except ConflictError:
                self._marked.add(bucket)
            except PlatformError:
                continue
        return frozenset(new)

    def receive_question(
        self, question: SurveyQuestion, sender: Sender
    ) -> None:
        """Answer a survey of the members as this daemon knows them."""
        if question.members_generation != self._stamp()[1]:
            return
        answer = self._state.respondent.answer(question)
        self._mesh.send(sender.name, answer)

    def receive_answer(self, answer: SurveyAnswer, sender: Sender) -> None:
        """Take in an answer to our survey."""
        if self._survey is not None:
            self._survey.add_answer(sender.name, answer)
            if self._survey.is_complete():
                self._complete.set()

    def receive_grants(self, issue: SurveyGrants, sender: Sender) -> None:
        """Take the units that a survey gives."""
        self._state.respondent.accept(issue)


__all__ = ['SurveyRunner']
