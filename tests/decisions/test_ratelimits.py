"""The turns of all VMs at a target that limits its requests."""

from __future__ import annotations

import itertools
import math

from lentilrun.decisions.ratelimits import count_spare_turns
from lentilrun.decisions.ratelimits import count_turns
from lentilrun.decisions.ratelimits import find_turn
from lentilrun.decisions.ratelimits import list_turn_starts
from lentilrun.decisions.ratelimits import Place
from lentilrun.decisions.ratelimits import Room
import pytest

_START = 1_777_838
_PERIODS = 800


def _count(limit: float, members: int) -> list[list[int]]:
    """Return the turns of each VM by period."""
    return [
        [
            count_turns(limit, Place(rank, members), _START + period)
            for period in range(_PERIODS)
        ]
        for rank in range(members)
    ]


@pytest.mark.parametrize('members', [1, 8, 195])
@pytest.mark.parametrize('limit', [0.25, 1.0, 1.1, 7.5, 500.0])
def test_turns_add_up_to_the_limit(limit: float, members: int) -> None:
    """In each second as well as over all of them, fairly among the VMs."""
    turns = _count(limit, members)
    in_periods = [sum(of_vm[p] for of_vm in turns) for p in range(_PERIODS)]
    assert max(in_periods) <= math.ceil(limit)
    assert abs(sum(in_periods) - limit * _PERIODS) <= 1.0
    of_vms = [sum(of_vm) for of_vm in turns]
    assert max(of_vms) - min(of_vms) <= 1


@pytest.mark.parametrize('members', [77, 195])
@pytest.mark.parametrize('slots', [4, 8, 33])
@pytest.mark.parametrize('limit', [0.0, 0.5, 1.0, 2.0, 2.7, 30.0, 500.0])
def test_turns_that_meet_at_a_boundary(
    limit: float, slots: int, members: int
) -> None:
    """Those beyond the slots are no more than a target may reject."""
    room = Room(slots, 0, 0, 0, 0.0)
    spare = count_spare_turns(room, members, limit)
    assert spare is not None
    if not spare:
        # Each turn is one rejection at most.
        assert limit >= slots
        return
    turns = _count(limit + spare, members)
    in_periods = [sum(of_vm[p] for of_vm in turns) for p in range(_PERIODS)]
    meeting = max(map(sum, itertools.pairwise(in_periods)))
    assert meeting - slots <= limit


@pytest.mark.parametrize('limit', [0.0, 0.01])
def test_tiny_limits(limit: float) -> None:
    """A request every ten seconds shows whether the limit has ended."""
    total = sum(sum(of_vm) for of_vm in _count(limit, 8))
    assert abs(total - _PERIODS / 10.0) <= 1.0


@pytest.mark.parametrize('limit', [0.0, 0.25, 1.0, 1.1, 7.5])
@pytest.mark.parametrize('rank', [0, 5])
def test_turn_starts(limit: float, rank: int) -> None:
    """They are the starts of the periods in which the VM has turns."""
    place = Place(rank, 8)
    starts = itertools.takewhile(
        lambda s: s < _START + _PERIODS, list_turn_starts(limit, place, _START)
    )
    expected = [
        float(period)
        for period in range(_START + 1, _START + _PERIODS)
        for _ in range(count_turns(limit, place, period))
    ]
    assert list(starts) == expected


@pytest.mark.parametrize(
    ('starts', 'number', 'expected'),
    [
        ([], 0, math.inf),
        ([[2.0, 4.0]], 0, 2.0),
        ([[2.0, 4.0], [3.0, 9.0]], 2, 4.0),
        ([[2.0]], 1, math.inf),
    ],
)
def test_turns_of_waiting_calls(
    starts: list[list[float]], number: int, expected: float
) -> None:
    """Calls that wait before take the first turns of all targets."""
    assert find_turn(starts, number) == expected
