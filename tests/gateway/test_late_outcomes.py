"""Outcomes of a new version that are reported late, twice or out of order."""

from __future__ import annotations

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from lentilrun.decisions.rolloutverdict import Fate
from lentilrun.decisions.rolloutverdict import NO_LEVEL
from lentilrun.gateway.messages import OutcomeReport
from lentilrun.gateway.rolloutledger import OutcomeLedger
import msgspec
import pytest

_OVERDUE = OutcomeReport(
    'vm1', 7, 'app', 9, '/a', 'r1', True, Fate.GOOD, 8, NO_LEVEL
)


@pytest.mark.parametrize(
    ('fate', 'first_level', 'rest_level'),
    [
        (Fate.FAILED, NO_LEVEL, NO_LEVEL),
        (Fate.BROKEN, NO_LEVEL, NO_LEVEL),
        (Fate.GOOD, 12, NO_LEVEL),
        (Fate.GOOD, 8, 3),
        (Fate.GOOD, 8, NO_LEVEL),
        (Fate.GOOD, 9, 0),
    ],
)
@given(order=st.lists(st.booleans(), max_size=6))
@example(order=[False])
def test_last_state_of_a_response_counts(
    fate: Fate, first_level: int, rest_level: int, order: list[bool]
) -> None:
    """A response that was reported as overdue has ended, and stays so."""
    final = msgspec.structs.replace(
        _OVERDUE,
        fate=int(fate),
        first_level=first_level,
        rest_level=rest_level,
    )
    ledger = OutcomeLedger(9)
    ledger.add(_OVERDUE, 1.0)
    ledger.add(final, 2.0)
    ledger.has_changed = False
    for number, is_final in enumerate(order):
        ledger.add(final if is_final else _OVERDUE, 3.0 + number)
    [outcome] = ledger.list_new()
    assert outcome.fate is fate
    assert outcome.first_level == first_level
    assert outcome.rest_level == rest_level
    assert outcome.at == 1.0
    assert not ledger.has_changed
