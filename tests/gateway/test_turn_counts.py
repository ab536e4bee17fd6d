"""Turns of a rate limit are counted once, also if the clock goes back."""

from __future__ import annotations

import collections

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from lentilrun.decisions.ratelimits import compute_period
from lentilrun.decisions.ratelimits import count_turns
from lentilrun.decisions.ratelimits import Place
from lentilrun.gateway.ratelimits import TargetRateLimit

_PLACE = Place(1, 3)
_LIMIT_PER_S = 6.0


class _UnsteadyRoundRobin:
    """A place among three VMs, and a clock that tests set."""

    def __init__(self) -> None:
        self.time = 5000.0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.time

    def find_place(self, offset: int) -> Place:
        """Return the place of this VM."""
        return _PLACE


@given(st.lists(st.sampled_from([-0.6, -0.1, 0.1, 0.6, 1.3]), max_size=40))
@example([0.6, 0.6, -0.6, 0.6])
def test_no_turn_is_taken_twice(steps: list[float]) -> None:
    """In a period, a VM sends no more than its turns."""
    round_robin = _UnsteadyRoundRobin()
    limit = TargetRateLimit('r1', round_robin)
    limit.record_stated(_LIMIT_PER_S, 0.0)
    sent: collections.Counter[int] = collections.Counter()
    newest = 0
    for step in steps:
        # By half a second at most, the clock is behind its newest time.
        round_robin.time += step
        newest = max(newest, compute_period(round_robin.time))
        round_robin.time = max(round_robin.time, newest - 0.5)
        period = compute_period(round_robin.time)
        for _ in range(9):
            if limit.has_turn():
                limit.record_sent()
                sent[period] += 1
    for period, count in sent.items():
        assert count <= count_turns(_LIMIT_PER_S, _PLACE, period)
    if steps:
        round_robin.time = newest + 1.0
        assert limit.has_turn()
