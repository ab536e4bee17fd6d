"""Whether a target counts as cold, and what all VMs may send it then."""

from __future__ import annotations

import math
import random

from lentilrun.decisions.coldtargets import Coldness
from lentilrun.decisions.coldtargets import ColdReason
from lentilrun.decisions.coldtargets import ColdTimes
from lentilrun.decisions.coldtargets import ColdTolerance
from lentilrun.decisions.coldtargets import compute_slot_rate
from lentilrun.decisions.coldtargets import find_coldness
from lentilrun.decisions.ratelimits import compute_period
from lentilrun.decisions.ratelimits import count_turns
from lentilrun.decisions.ratelimits import is_early
from lentilrun.decisions.ratelimits import Place
from modelledtargets import count_most
import pytest

_NEVER = float('-inf')
_TOLERANCE = ColdTolerance(1.5, 5.0)
# The longest time from a turn to the request's arrival: a new connection.
_MAX_DELAY_S = 0.4


@pytest.mark.parametrize(
    ('per_s', 'tolerance', 'rate'),
    [
        (8.0, _TOLERANCE, 8.0),
        (1.0, _TOLERANCE, 1.0),
        # 50 x 1.5 + 5 = 80: two periods of 40 each.
        (50.0, _TOLERANCE, 40.0),
        # Of a bound of 7.5, no more than 7 in two periods.
        (5.0, ColdTolerance(1.5, 0.0), 3.5),
        (0.0, _TOLERANCE, None),
        (8.0, ColdTolerance(), None),
    ],
)
def test_slot_rate(
    per_s: float, tolerance: ColdTolerance, rate: float | None
) -> None:
    """Guards against two periods that exceed the bound of one second."""
    assert compute_slot_rate(per_s, tolerance) == rate


@pytest.mark.parametrize(
    ('times', 'now', 'coldness'),
    [
        (ColdTimes(_NEVER, _NEVER, _NEVER), 0.0, None),
        (ColdTimes(7.0, _NEVER, _NEVER), 6.9, Coldness(7.0, ColdReason.ROW)),
        (ColdTimes(7.0, _NEVER, _NEVER), 7.0, None),
        (ColdTimes(_NEVER, 5.0, _NEVER), 6.0, Coldness(20, ColdReason.START)),
        (ColdTimes(_NEVER, _NEVER, 5.0), 6.0, Coldness(20, ColdReason.RETURN)),
        (ColdTimes(9.0, 1.0, 5.0), 6.0, Coldness(20, ColdReason.RETURN)),
        (ColdTimes(30.0, 1.0, 5.0), 6.0, Coldness(30, ColdReason.ROW)),
    ],
)
def test_end_of_coldness(
    times: ColdTimes, now: float, coldness: Coldness | None
) -> None:
    """Guards against a reason that ends the limit of another one."""
    assert find_coldness(times, 15.0, now) == coldness


@pytest.mark.parametrize('per_s', [1.0, 8.0, 3.7, 60.0])
@pytest.mark.parametrize('members', [1, 8, 85, 200])
def test_turns_of_all_vms_in_a_second(members: int, per_s: float) -> None:
    """Guards against slots that add up with those of other periods.

    Each VM uses all its turns, at random times, and connects late.
    """
    rate = compute_slot_rate(per_s, _TOLERANCE)
    assert rate is not None
    rng = random.Random(members)
    arrivals = []
    for rank in range(members):
        sent: dict[int, int] = {}
        for tick in range(30 * 50):
            now = 1000.0 + tick / 50 + rng.random() / 50
            period = compute_period(now)
            turns = count_turns(rate, Place(rank, members), period)
            while is_early(now) and sent.get(period, 0) < turns:
                sent[period] = sent.get(period, 0) + 1
                arrivals.append(now + rng.choice((0.0, 1.0)) * _MAX_DELAY_S)
    most = count_most(sorted(arrivals), 1.0)
    assert most <= math.floor(per_s * 1.5 + 5.0)
    assert len(arrivals) >= 29 * math.floor(rate)
