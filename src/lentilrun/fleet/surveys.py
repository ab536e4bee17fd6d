"""Runs surveys, so that units that no member holds are assigned again."""

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

_CHECK_INTERVAL_S = 0.25
_ANSWER_TIMEOUT_S = 1.0
_IDLE_INTERVAL_S = 5.0
# A removed member stops spending within the freshness limit; the other
# second is a margin for clocks.
_REMOVAL_WAIT_S = FRESHNESS_LIMIT_S + 1.0


class SurveyRunner:
    """Runs surveys while this daemon is the first responsive member."""

    def __init__(
        self,
        state: FleetState,
        mesh: Mesh,
        table: Table,
        heartbeat_exchange: HeartbeatExchange,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._mesh = mesh
        self._table = table
        self._heartbeat_exchange = heartbeat_exchange
        self._metrics = metrics
        self._survey: Survey | None = None
        self._complete = asyncio.Event()
        self._issued_buckets: set[str] = set()
        # The configuration and members generations at the last survey that
        # granted nothing.
        self._settled_generations: tuple[int, int] = (-1, -1)
        self._last_survey_at = float('-inf')

    async def run(self) -> None:
        """Run a survey whenever one is due, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self._is_coordinator() and self._is_due():
                await self._run_survey()

    def _is_coordinator(self) -> bool:
        state = self._state
        names = state.roster.names()
        if state.name not in names or not state.is_fresh():
            return False
        heartbeats = state.heartbeats
        earlier = [n for n in names if n < state.name]
        return all(heartbeats.is_unresponsive(n) for n in earlier)

    def _generations(self) -> tuple[int, int]:
        state = self._state
        members = state.topics[MEMBERS_TOPIC].value.generation
        return (state.configuration_generation(), members)

    def _is_due(self) -> bool:
        now = self._state.clock.now()
        if now - self._state.member_removed_at < _REMOVAL_WAIT_S:
            return False
        if (
            self._generations() != self._settled_generations
            or self._heartbeat_exchange.restarted_peers
        ):
            return True
        return now - self._last_survey_at >= _IDLE_INTERVAL_S

    async def _run_survey(self) -> None:
        state = self._state
        generations = self._generations()
        restarted = set(self._heartbeat_exchange.restarted_peers)
        buckets = tuple(sorted(state.configuration.workspaces))
        name = f'{state.name}/{secrets.token_hex(8)}'
        members = tuple(sorted(state.roster.names()))
        survey = Survey(name, members, buckets)
        self._survey = survey
        self._complete.clear()
        question = SurveyQuestion(name, generations[1])
        self._mesh.broadcast(question)
        survey.add_answer(state.name, state.respondent.answer(question))
        if not survey.is_complete() and not await self._wait_for_answers():
            return
        self._metrics.add(Count.SURVEYS)
        new_buckets = await self._mark_new_buckets(survey)
        grants = survey.plan_grants(
            new_buckets, frozenset(self._issued_buckets)
        )
        self._survey = None
        self._last_survey_at = state.clock.now()
        self._send_grants(grants)
        if not grants and generations == self._generations():
            self._settled_generations = generations
            self._heartbeat_exchange.restarted_peers -= restarted

    async def _wait_for_answers(self) -> bool:
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await self._complete.wait()
        except TimeoutError:
            return False
        return True

    def _send_grants(self, grants: dict[str, SurveyGrants]) -> None:
        for member, survey_grants in grants.items():
            if member == self._state.name:
                self._state.respondent.accept(survey_grants)
            else:
                self._mesh.send(member, survey_grants)

    async def _mark_new_buckets(self, survey: Survey) -> frozenset[str]:
        """Return the buckets of which no unit was ever granted before.

        Those are marked as issued in the table and in this runner, buckets
        that were issued earlier in this runner only. A bucket that some
        member does not know yet is left to the next survey, so that all
        its units start full.
        """
        new_buckets = set()
        unassigned = survey.count_unassigned_units()
        for bucket in survey.list_known_buckets() - self._issued_buckets:
            if unassigned[bucket] < UNITS_PER_BUCKET:
                self._issued_buckets.add(bucket)
                continue
            try:
                await self._table.write(f'buckets/{bucket}', b'issued', 0)
                new_buckets.add(bucket)
                self._issued_buckets.add(bucket)
            except ConflictError:
                self._issued_buckets.add(bucket)
            except PlatformError:
                continue
        return frozenset(new_buckets)

    def receive_question(
        self, question: SurveyQuestion, sender: Sender
    ) -> None:
        """Answer a survey that has the same generation of the roster."""
        if question.members_generation != self._generations()[1]:
            return
        answer = self._state.respondent.answer(question)
        self._mesh.send(sender.name, answer)

    def receive_answer(self, answer: SurveyAnswer, sender: Sender) -> None:
        """Record an answer to the survey run by this daemon."""
        if self._survey is not None:
            self._survey.add_answer(sender.name, answer)
            if self._survey.is_complete():
                self._complete.set()

    def receive_grants(
        self, survey_grants: SurveyGrants, sender: Sender
    ) -> None:
        """Apply the grants of a survey to the units of this daemon."""
        self._state.respondent.accept(survey_grants)


__all__ = ['SurveyRunner']
