"""Reports expire, and are not sent back to where they came from."""

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
    ('max_origin', 'expected'),
    [
        (Origin.OWN, ['own']),
        (Origin.LOCAL, ['own', 'near']),
        (Origin.REMOTE, ['own', 'near', 'far']),
    ],
)
def test_exports_by_origin(max_origin: Origin, expected: list[str]) -> None:
    """No VM is sent back a report that came from it."""
    reports: RecentReports[str] = RecentReports(_Clock())
    reports.add('own', Origin.OWN)
    reports.add('near', Origin.LOCAL)
    reports.add('far', Origin.REMOTE)
    assert reports.export(max_origin) == expected


def test_reports_expire() -> None:
    """A report is exported for a limited time, and may be added again."""
    clock = _Clock()
    reports: RecentReports[str] = RecentReports(clock)
    assert reports.add('part', Origin.OWN)
    assert not reports.add('part', Origin.REMOTE)
    assert reports.export(Origin.OWN) == ['part']
    clock.time += 2.0
    assert not reports.export(Origin.REMOTE)
    assert reports.add('part', Origin.REMOTE)


def test_export_is_bounded() -> None:
    """Of many reports, only the newest are exported."""
    reports: RecentReports[int] = RecentReports(_Clock())
    for number in range(1000):
        reports.add(number, Origin.OWN)
    exported = reports.export(Origin.OWN)
    assert len(exported) < 200
    assert exported[-1] == 999
