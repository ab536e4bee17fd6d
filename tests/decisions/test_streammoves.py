"""Which streams leave an engine that goes out of service."""

from __future__ import annotations

from typing import Any

from lentilrun.decisions.streammoves import compute_move_delay
from lentilrun.decisions.streammoves import may_move
from lentilrun.decisions.streammoves import RunningStream
import pytest

_STREAM = RunningStream(True, 1, 2, 10.0, 4)


@pytest.mark.parametrize(
    ('changes', 'newest_usable_version', 'expected'),
    [
        ({}, 5, True),
        # It may run only once.
        ({'is_resumable': False}, 5, False),
        # It was sent to as many targets as its route allows.
        ({'possible_runs': 2}, 5, False),
        ({'possible_runs': 2, 'max_attempts': 3}, 5, True),
        # Its caller stops waiting soon.
        ({'time_left': 0.2}, 5, False),
        # No engine in service has newer weights, or none is in service.
        ({}, 4, False),
        ({}, 0, False),
    ],
)
def test_may_move(
    changes: dict[str, Any], newest_usable_version: int, expected: bool
) -> None:
    """A stream moves if another engine may continue it for good."""
    stream = _STREAM._replace(**changes)
    assert may_move(stream, newest_usable_version) is expected


def test_moves_are_spread() -> None:
    """Streams that end at once do not move, and the others not together."""
    delays = [compute_move_delay(n / 10) for n in range(11)]
    assert delays[0] > 0.0
    assert delays == sorted(delays)
    assert delays[-1] - delays[0] > 0.3
