"""When requests may still begin on weights that were replaced."""

from __future__ import annotations

from lentilrun.decisions.weightsage import compute_withdrawal_delay
from lentilrun.decisions.weightsage import may_begin_in_time
import pytest


@pytest.mark.parametrize(
    ('stale_for', 'estimated_wait', 'expected'),
    [
        # The newest weights are never too old, however long the queue is.
        (0.0, 30.0, True),
        (1.0, 0.1, True),
        (6.7, 0.1, True),
        (6.9, 0.1, False),
        # A burst of long prompts is queued at the engine.
        (4.0, 3.5, True),
        (5.0, 3.5, False),
        (9.0, 0.0, False),
    ],
)
def test_may_begin_in_time(
    stale_for: float, estimated_wait: float, expected: bool
) -> None:
    """A request is sent only if it is expected to begin within 8 s."""
    assert may_begin_in_time(stale_for, 8.0, estimated_wait) is expected


@pytest.mark.parametrize(
    ('stale_for', 'expected'), [(0.0, 7.6), (7.0, 0.6), (7.9, 0.0)]
)
def test_withdrawal_delay(stale_for: float, expected: float) -> None:
    """A request that waits is taken back before the limit of 8 s."""
    delay = compute_withdrawal_delay(stale_for, 8.0)
    assert delay == pytest.approx(expected)
