"""Dispatch of messages from peers to the components that handle them."""

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
    """The components that handle messages."""

    agreement: Agreement
    heartbeat_exchange: HeartbeatExchange
    lending: TokenLending
    surveys: SurveyRunner
    move_driver: MoveDriver
    hints: HintExchange
    metrics: Metrics


class Inbox:
    """Passes each message to its handler by the message's type."""

    def __init__(self, dependencies: InboxDependencies) -> None:
        self._dependencies = dependencies

    def receive(self, envelope: Envelope) -> None:
        """Handle a message; a message of an unknown type is counted as bad."""
        self._handle(envelope.message, envelope.sender)

    @singledispatchmethod
    def _handle(self, message: Any, sender: Sender) -> None:
        self._dependencies.metrics.add(Count.BAD_MESSAGES)

    @_handle.register(Heartbeat)
    def _handle_heartbeat(self, message: Heartbeat, sender: Sender) -> None:
        self._dependencies.heartbeat_exchange.receive(message, sender)

    @_handle.register(Announce)
    def _handle_announce(self, message: Announce, sender: Sender) -> None:
        self._dependencies.agreement.receive_announce(message, sender)

    @_handle.register(Acknowledge)
    def _handle_acknowledge(
        self, message: Acknowledge, sender: Sender
    ) -> None:
        self._dependencies.agreement.receive_acknowledge(message, sender)

    @_handle.register(Withdraw)
    def _handle_withdraw(self, message: Withdraw, sender: Sender) -> None:
        self._dependencies.agreement.receive_withdraw(message, sender)

    @_handle.register(Commit)
    def _handle_commit(self, message: Commit, sender: Sender) -> None:
        self._dependencies.agreement.receive_commit(message, sender)

    @_handle.register(Committed)
    def _handle_committed(self, message: Committed, sender: Sender) -> None:
        self._dependencies.agreement.receive_committed(message, sender)

    @_handle.register(Fetch)
    def _handle_fetch(self, message: Fetch, sender: Sender) -> None:
        self._dependencies.agreement.receive_fetch(message, sender)

    @_handle.register(LoanRequest)
    def _handle_loan_request(
        self, message: LoanRequest, sender: Sender
    ) -> None:
        self._dependencies.lending.receive_loan_request(message, sender)

    @_handle.register(Loan)
    def _handle_loan(self, message: Loan, sender: Sender) -> None:
        self._dependencies.lending.receive_loan(message, sender)

    @_handle.register(SurveyQuestion)
    def _handle_question(
        self, message: SurveyQuestion, sender: Sender
    ) -> None:
        self._dependencies.surveys.receive_question(message, sender)

    @_handle.register(SurveyAnswer)
    def _handle_answer(self, message: SurveyAnswer, sender: Sender) -> None:
        self._dependencies.surveys.receive_answer(message, sender)

    @_handle.register(SurveyGrants)
    def _handle_grants(self, message: SurveyGrants, sender: Sender) -> None:
        self._dependencies.surveys.receive_grants(message, sender)

    @_handle.register(Tallies)
    def _handle_tallies(self, message: Tallies, sender: Sender) -> None:
        self._dependencies.move_driver.receive_tallies(message, sender)

    @_handle.register(Verdict)
    def _handle_verdict(self, message: Verdict, sender: Sender) -> None:
        self._dependencies.move_driver.receive_verdict(message, sender)

    @_handle.register(MoveProgress)
    def _handle_progress(self, message: MoveProgress, sender: Sender) -> None:
        self._dependencies.move_driver.receive_progress(message, sender)

    @_handle.register(Suspicion)
    def _handle_suspicion(self, message: Suspicion, sender: Sender) -> None:
        self._dependencies.hints.receive_suspicion(message, sender)

    @_handle.register(HintsRequest)
    def _handle_hints_request(
        self, message: HintsRequest, sender: Sender
    ) -> None:
        self._dependencies.hints.receive_request(message, sender)

    @_handle.register(PlacementHints)
    def _handle_hints(self, message: PlacementHints, sender: Sender) -> None:
        self._dependencies.hints.receive_hints(message, sender)


__all__ = ['Inbox', 'InboxDependencies']
