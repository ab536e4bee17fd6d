"""The time since a version was replaced, after several newer ones."""

from __future__ import annotations

from lentilrun.gateway.view import AnnouncedVersion
from lentilrun.gateway.view import AnnouncedWeights
import pytest


@pytest.mark.parametrize(
    ('version', 'expected'), [(1, 10.0), (2, 14.0), (3, 20.0), (5, None)]
)
def test_replaced_at(version: int, expected: float | None) -> None:
    """A third version does not change when the first was replaced."""
    weights = AnnouncedWeights(AnnouncedVersion(1, 0.0))
    assert weights.add(AnnouncedVersion(2, 10.0))
    assert weights.add(AnnouncedVersion(3, 14.0))
    assert weights.add(AnnouncedVersion(5, 20.0))
    assert not weights.add(AnnouncedVersion(4, 21.0))
    assert weights.replaced_at(version) == expected
