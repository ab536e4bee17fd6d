"""Streams of the soak's replica processes have the faults that are drawn."""

from __future__ import annotations

import random

import pytest
from soak.eventstreams import draw_form
from soak.eventstreams import FaultLevel
from soak.eventstreams import list_numbers
from soak.eventstreams import StreamFault

_DRAWS = 400
_OF_ANSWERS = {
    False: {StreamFault.GAP, StreamFault.BACK, StreamFault.TWICE},
    True: {
        StreamFault.ANEW,
        StreamFault.ANEW_WITH_GAP,
        StreamFault.AHEAD,
        StreamFault.REJECTED,
    },
}
_OF_PROCESSES = {
    StreamFault.KILLED,
    StreamFault.KILLED_WITHIN_EVENT,
    StreamFault.KILLED_WITH_RESET,
    StreamFault.TORN,
}


@pytest.mark.parametrize('first', [1, 3])
@pytest.mark.parametrize('level', list(FaultLevel))
def test_faults_are_drawn(first: int, level: FaultLevel) -> None:
    """All faults of a level occur, and no others."""
    rng = random.Random(1)
    forms = [draw_form(rng, 'p0.1', first, 5, level) for _ in range(_DRAWS)]
    expected = {StreamFault.NONE}
    if level is not FaultLevel.NONE:
        expected |= _OF_PROCESSES
        if first > 1:
            expected.add(StreamFault.EMPTY_AND_KILLED)
    if level is FaultLevel.ANSWERS:
        expected |= _OF_ANSWERS[first > 1]
    assert {f.fault for f in forms} == expected


@pytest.mark.parametrize(
    ('fault', 'first', 'numbers'),
    [
        (StreamFault.NONE, 1, [1, 2, 3, 4]),
        (StreamFault.NONE, 3, [3, 4]),
        (StreamFault.GAP, 1, [1, 2, 4]),
        (StreamFault.TWICE, 1, [1, 2, 2, 3, 4]),
        (StreamFault.BACK, 1, [1, 2, 2, 3, 4]),
        (StreamFault.ANEW, 3, [1, 2, 3, 4]),
        (StreamFault.ANEW_WITH_GAP, 3, [1, 2, 4]),
        (StreamFault.AHEAD, 3, [4]),
        (StreamFault.KILLED, 1, [1, 2, 3, 4]),
    ],
)
def test_numbers_of_a_run(
    fault: StreamFault, first: int, numbers: list[int]
) -> None:
    """A run begins after the last event, but for its fault."""
    form = draw_form(random.Random(1), 'p0.1', first, 4, FaultLevel.NONE)
    form = form._replace(fault=fault, fault_after=2)
    assert list_numbers(form) == numbers
