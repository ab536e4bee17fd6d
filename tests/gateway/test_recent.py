"""News is told for a moment, and by hubs to those who can't have it."""

from __future__ import annotations

from lentilrun.gateway.recent import Origin
from lentilrun.gateway.recent import RecentReports
import pytest


class _Clock:
    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


@pytest.mark.parametrize(
    ('furthest', 'told'),
    [
        (Origin.OWN, ['own']),
        (Origin.LOCAL, ['own', 'near']),
        (Origin.REMOTE, ['own', 'near', 'far']),
    ],
)
def test_what_is_told(furthest: Origin, told: list[str]) -> None:
    """Nobody tells a VM what that VM told it."""
    news: RecentReports[str] = RecentReports(_Clock())
    news.add('own', Origin.OWN)
    news.add('near', Origin.LOCAL)
    news.add('far', Origin.REMOTE)
    assert news.export(furthest) == told


def test_news_ends() -> None:
    """News goes into some messages only, and may come again later."""
    clock = _Clock()
    news: RecentReports[str] = RecentReports(clock)
    assert news.add('part', Origin.OWN)
    assert not news.add('part', Origin.REMOTE)
    assert news.export(Origin.OWN) == ['part']
    clock.time += 2.0
    assert not news.export(Origin.REMOTE)
    assert news.add('part', Origin.REMOTE)


def test_a_message_stays_small() -> None:
    """Under many requests the newest are told of."""
    news: RecentReports[int] = RecentReports(_Clock())
    for number in range(1000):
        news.add(number, Origin.OWN)
    found = news.export(Origin.OWN)
    assert len(found) < 200
    assert found[-1] == 999
