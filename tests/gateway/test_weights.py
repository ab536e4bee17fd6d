"""The age of weights counts from the first newer version."""

from __future__ import annotations

from lentilrun.gateway.view import AnnouncedVersion
from lentilrun.gateway.view import AnnouncedWeights
import pytest


@pytest.mark.parametrize(
    ('version', 'expected'), [(1, 10.0), (2, 14.0), (3, 20.0), (5, None)]
)
def test_replaced_at(version: int, expected: float | None) -> None:
    """A third version does not make the first one young again."""
    wanted = AnnouncedWeights(AnnouncedVersion(1, 0.0))
    assert wanted.add(AnnouncedVersion(2, 10.0))
    assert wanted.add(AnnouncedVersion(3, 14.0))
    assert wanted.add(AnnouncedVersion(5, 20.0))
    assert not wanted.add(AnnouncedVersion(4, 21.0))
    assert wanted.replaced_at(version) == expected
