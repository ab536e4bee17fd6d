"""Turns at a target that had room are used again within their period."""

from __future__ import annotations

from lentilrun.decisions.ratelimits import Place
from lentilrun.gateway.ratelimits import TargetRateLimit
import pytest


class _Clock:
    """The only VM of a round robin, whose clock a test sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time

    def find_place(self, offset: int) -> Place:
        return Place(0, 1)


@pytest.mark.parametrize(
    ('sent_at', 'seconds', 'asked_at', 'expected'),
    [
        (100.0, 0.2, 100.2, True),
        (100.3, 0.2, 100.6, True),
        # Another request might not end within the period.
        (100.3, 0.2, 100.61, False),
        (100.0, 0.34, 100.34, False),
        # The turn is another VM's by now.
        (100.0, 0.2, 101.0, False),
        (100.9, 0.2, 101.1, False),
    ],
)
def test_turn_whose_request_was_served(
    sent_at: float, seconds: float, asked_at: float, expected: bool
) -> None:
    """It is used once more if that can end within the period."""
    clock = _Clock()
    limit = TargetRateLimit('a1', clock)
    limit.record_stated(1.0, 0.0)
    clock.time = sent_at
    assert limit.has_turn()
    limit.record_sent()
    assert not limit.has_returned_turn()
    clock.time = sent_at + seconds
    limit.return_turn(seconds)
    clock.time = asked_at
    assert limit.has_returned_turn() is expected


def test_returned_turn_is_used_once() -> None:
    """A request that had no room uses up its turn."""
    clock = _Clock()
    limit = TargetRateLimit('a1', clock)
    limit.record_stated(2.0, 0.0)
    for _ in range(2):
        limit.record_sent()
    assert not limit.has_turn()
    clock.time += 0.1
    limit.return_turn(0.1)
    assert limit.has_returned_turn()
    limit.record_sent()
    assert not limit.has_returned_turn()
    assert not limit.has_turn()
    clock.time = 101.0
    assert limit.has_turn()
