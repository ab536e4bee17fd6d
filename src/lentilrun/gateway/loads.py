"""The load of a call on a target during an attempt, and its progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.placement import LONG_RESPONSE_S
from .targetstate import Expectation

if TYPE_CHECKING:
    from types import TracebackType

    from ..coordination.clock import Clock
    from ..decisions.speeds import SpeedEstimator
    from .choice import Assignment


class LoadReservation:
    """A context manager that adds a call's load to a target's state.

    It compares the progress of the attempt with what was expected, which
    gives the target's pace and the speeds of its service.
    """

    def __init__(
        self,
        assignment: Assignment,
        urgency: int,
        estimator: SpeedEstimator,
        clock: Clock,
    ) -> None:
        demand = assignment.demand
        plan = assignment.choice.prefill_plan
        speeds = estimator.speeds()
        response_time = speeds.response_time(demand.output_tokens)
        self._state = assignment.state
        self._choice = assignment.choice
        self._output_tokens = demand.output_tokens
        self._urgency = urgency
        self._estimator = estimator
        self._clock = clock
        self._service_time = speeds.service_time
        self._memory_tokens = float(demand.input_tokens + demand.output_tokens)
        self._prefill_tokens = plan.prefill_tokens(demand.input_tokens)
        self._is_long = response_time > LONG_RESPONSE_S
        self._started_at = clock.now()
        self._first_event_at: float | None = None
        self._expected_end = (
            self._started_at
            + speeds.prefill_time(self._prefill_tokens)
            + response_time
        )

    def __enter__(self) -> LoadReservation:
        state = self._state
        state.in_flight += 1
        state.long_in_flight += self._is_long
        state.memory_tokens_used += self._memory_tokens
        state.add_prefill(self._urgency, self._prefill_tokens)
        state.expected_ends[id(self)] = self._expected_end
        if self._estimator.is_settled():
            state.waiting[id(self)] = Expectation(
                self._started_at, self._choice.expected_time
            )
        return self

    def record_first_event(self) -> None:
        """Record that the target has prefilled the prompt."""
        if self._first_event_at is not None:
            return
        self._first_event_at = self._clock.now()
        self._end_prefill()
        seconds = self._first_event_at - self._started_at
        self._record_pace(seconds)
        self._estimator.record_first_token(
            self._choice.prefill_tokens, seconds
        )

    def record_response(self) -> None:
        """Record that the whole response has arrived."""
        now = self._clock.now()
        if self._first_event_at is not None:
            self._estimator.record_response(
                self._output_tokens, now - self._first_event_at
            )
        elif not self._output_tokens:
            seconds = now - self._started_at
            self._record_pace(seconds)
            self._estimator.record_service(
                self._choice.expected_time / self._service_time, seconds
            )

    def _record_pace(self, seconds: float) -> None:
        expectation = self._state.waiting.pop(id(self), None)
        if expectation is not None:
            self._state.record_pace(
                self._clock.now(), seconds, expectation.duration
            )

    def _end_prefill(self) -> None:
        self._state.add_prefill(self._urgency, -self._prefill_tokens)
        self._prefill_tokens = 0.0

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._end_prefill()
        state = self._state
        state.in_flight -= 1
        state.long_in_flight -= self._is_long
        state.memory_tokens_used -= self._memory_tokens
        state.waiting.pop(id(self), None)
        del state.expected_ends[id(self)]


__all__ = [
    'LoadReservation',
]
