"""Which data centres' targets may get requests."""

from __future__ import annotations

from lentilrun.decisions.places import Places
import pytest

_A = frozenset('a')
_AB = frozenset('ab')


@pytest.mark.parametrize(
    ('places', 'included'),
    [
        (Places(), 'abc'),
        (Places(_A), 'bc'),
        (Places(frozenset('abc')), ''),
        (Places(allowed=_AB), 'ab'),
        (Places(_A, _AB), 'b'),
        (Places(allowed=frozenset()), ''),
    ],
)
def test_included_data_centres(places: Places, included: str) -> None:
    """Guards against a rule that lifts another one."""
    assert ''.join(filter(places.includes, 'abc')) == included
    assert places.has_any('abc') is bool(included)


@pytest.mark.parametrize(
    ('places', 'is_left'),
    [(Places(), True), (Places(_A), False), (Places(allowed=_A), False)],
)
def test_service_without_targets(places: Places, is_left: bool) -> None:
    """Guards against refusals at once where nothing is excluded."""
    assert places.has_any('') is is_left
