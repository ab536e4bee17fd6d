"""Hands each message of a peer to the part that it is for."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..coordination.heartbeat import Heartbeat
from ..coordination.shares import Loan
from ..coordination.shares import LoanRequest
from ..coordination.survey import SurveyAnswer
from ..coordination.survey import SurveyGrants
from ..coordination.survey import SurveyQuestion
from ..coordination.topics import Acknowledge
from ..coordination.topics import Announce
from ..coordination.topics import Commit
from ..coordination.topics import Committed
from ..coordination.topics import Fetch
from ..coordination.topics import Withdraw
from ..metrics.registry import Count
from ..peers.messages import HintsRequest
from ..peers.messages import MoveProgress
from ..peers.messages import PlacementHints
from ..peers.messages import Suspicion
from ..peers.messages import Tallies
from ..peers.messages import Verdict

if TYPE_CHECKING:
    from ..fleet.agreement import Agreement
    from ..fleet.heartbeats import HeartbeatExchange
    from ..fleet.lending import TokenLending
    from ..fleet.surveys import SurveyRunner
    from ..metrics.registry import Metrics
    from ..moves.driver import MoveDriver
    from ..peers.codec import Envelope
    from ..peers.codec import Sender
    from .hints import HintExchange


class InboxDependencies(NamedTuple):
    """The parts that take messages."""

    agreement: Agreement
    heartbeat_exchange: HeartbeatExchange
    lending: TokenLending
    surveys: SurveyRunner
    move_driver: MoveDriver
    hints: HintExchange
    metrics: Metrics


class Inbox:
    """Dispatches on the type of the message."""

    def __init__(self, parts: InboxDependencies) -> None:
        self._parts = parts

    def receive(self, envelope: Envelope) -> None:
        """Take in one message."""
        self._take(envelope.message, envelope.sender)

    @singledispatchmethod
    def _take(self, message: Any, sender: Sender) -> None:
        self._parts.metrics.add(Count.BAD_MESSAGES)

    @_take.register(Heartbeat)
    def _take_beat(self, message: Heartbeat, sender: Sender) -> None:
        self._parts.heartbeat_exchange.receive(message, sender)

    @_take.register(Announce)
    def _take_announce(self, message: Announce, sender: Sender) -> None:
        self._parts.agreement.receive_announce(message, sender)

    @_take.register(Acknowledge)
    def _take_acknowledge(self, message: Acknowledge, sender: Sender) -> None:
        self._parts.agreement.receive_acknowledge(message, sender)

    @_take.register(Withdraw)
    def _take_withdraw(self, message: Withdraw, sender: Sender) -> None:
        self._parts.agreement.receive_withdraw(message, sender)

    @_take.register(Commit)
    def _take_commit(self, message: Commit, sender: Sender) -> None:
        self._parts.agreement.receive_commit(message, sender)

    @_take.register(Committed)
    def _take_committed(self, message: Committed, sender: Sender) -> None:
        self._parts.agreement.receive_committed(message, sender)

    @_take.register(Fetch)
    def _take_fetch(self, message: Fetch, sender: Sender) -> None:
        self._parts.agreement.receive_fetch(message, sender)

    @_take.register(LoanRequest)
    def _take_ask(self, message: LoanRequest, sender: Sender) -> None:
        self._parts.lending.receive_loan_request(message, sender)

    @_take.register(Loan)
    def _take_loan(self, message: Loan, sender: Sender) -> None:
        self._parts.lending.receive_loan(message, sender)

    @_take.register(SurveyQuestion)
    def _take_question(self, message: SurveyQuestion, sender: Sender) -> None:
        self._parts.surveys.receive_question(message, sender)

    @_take.register(SurveyAnswer)
    def _take_answer(self, message: SurveyAnswer, sender: Sender) -> None:
        self._parts.surveys.receive_answer(message, sender)

    @_take.register(SurveyGrants)
    def _take_issue(self, message: SurveyGrants, sender: Sender) -> None:
        self._parts.surveys.receive_grants(message, sender)

    @_take.register(Tallies)
    def _take_tallies(self, message: Tallies, sender: Sender) -> None:
        self._parts.move_driver.receive_tallies(message, sender)

    @_take.register(Verdict)
    def _take_verdict(self, message: Verdict, sender: Sender) -> None:
        self._parts.move_driver.receive_verdict(message, sender)

    @_take.register(MoveProgress)
    def _take_progress(self, message: MoveProgress, sender: Sender) -> None:
        self._parts.move_driver.receive_progress(message, sender)

    @_take.register(Suspicion)
    def _take_suspicion(self, message: Suspicion, sender: Sender) -> None:
        self._parts.hints.receive_suspicion(message, sender)

    @_take.register(HintsRequest)
    def _take_hints_wanted(
        self, message: HintsRequest, sender: Sender
    ) -> None:
        self._parts.hints.receive_request(message, sender)

    @_take.register(PlacementHints)
    def _take_placements(
        self, message: PlacementHints, sender: Sender
    ) -> None:
        self._parts.hints.receive_hints(message, sender)


__all__ = ['Inbox', 'InboxDependencies']
