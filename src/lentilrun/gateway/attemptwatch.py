"""Measures attempts for the verdict on a software version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.rolloutverdict import compute_level
from ..decisions.rolloutverdict import Fate
from ..decisions.rolloutverdict import NO_LEVEL
from ..decisions.rolloutverdict import Outcome
from .attemptoutcome import AttemptOutcome
from .timers import Timer

if TYPE_CHECKING:
    from types import TracebackType

    from ..coordination.clock import Clock
    from .attempt import Attempt
    from .attempt import AttemptResult
    from .choice import Assignment
    from .rollouts import Rollouts

# An attempt at a new version that has not begun to respond after so many
# times the expected time is reported before it ends.
_OVERDUE_FACTOR = 4.0
_MIN_OVERDUE_S = 0.2
# Times between events are compared if there are at least so many.
_MIN_EVENTS = 3
_EVENT_UNIT_S = 1e-3
_CLIENT_ERROR = 400


class AttemptWatch:
    """A context manager around an attempt; ``finish`` records its result."""

    def __init__(
        self,
        rollouts: Rollouts,
        clock: Clock,
        route: str,
        assignment: Assignment,
        attempt: Attempt,
    ) -> None:
        self._rollouts = rollouts
        self._clock = clock
        self._route = route
        self._state = assignment.state
        self._expected = assignment.choice.expected_time
        self._attempt = attempt
        self._number = rollouts.outcomes.reporter.next_number()
        self._timer = Timer(self._report_overdue)

    def __enter__(self) -> AttemptWatch:
        self._rollouts.selection.record_sent(self._state, self._route)
        if self._rollouts.outcomes.is_trial_target(self._state):
            self._timer.start(
                max(_MIN_OVERDUE_S, _OVERDUE_FACTOR * self._expected)
            )
        return self

    def _report_overdue(self) -> None:
        if self._attempt.first_event_at is None:
            self._record(Fate.GOOD, self._compute_first_level())

    def finish(self, result: AttemptResult, events: int) -> None:
        """Record the result of the attempt, with its number of events."""
        fate = _find_fate(result)
        if fate is None:
            return
        if fate is not Fate.GOOD:
            self._record(fate)
            return
        self._record(
            fate, self._compute_first_level(), self._compute_rest_level(events)
        )

    def _compute_first_level(self) -> int:
        until = self._attempt.first_event_at
        if until is None:
            until = self._clock.now()
        return compute_level(until - self._attempt.started_at, self._expected)

    def _compute_rest_level(self, events: int) -> int:
        first_event_at = self._attempt.first_event_at
        if first_event_at is None or events < _MIN_EVENTS:
            return NO_LEVEL
        seconds = self._clock.now() - first_event_at
        return compute_level(seconds / (events - 1), _EVENT_UNIT_S)

    def _record(
        self,
        fate: Fate,
        first_level: int = NO_LEVEL,
        rest_level: int = NO_LEVEL,
    ) -> None:
        self._rollouts.outcomes.record(
            self._state,
            self._number,
            Outcome(
                self._clock.now(),
                self._route,
                self._state.target.incarnation,
                fate,
                first_level,
                rest_level,
            ),
        )

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._timer.cancel()


def _find_fate(result: AttemptResult) -> Fate | None:
    """Return how a response ended, or nothing if there was none."""
    if result.outcome is AttemptOutcome.DELIVERED:
        head = result.receiver.head
        if head is not None and head.status >= _CLIENT_ERROR:
            return Fate.FAILED
        return Fate.GOOD
    if result.outcome is AttemptOutcome.FAILED:
        return Fate.FAILED
    if result.outcome is AttemptOutcome.BROKEN:
        return Fate.BROKEN
    return None


__all__ = ['AttemptWatch']
