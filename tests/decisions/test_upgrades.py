"""Which engines load new weights next."""

from __future__ import annotations

import itertools

from lentilrun.decisions.upgrades import compute_drain_timeout
from lentilrun.decisions.upgrades import compute_takeover_delay
from lentilrun.decisions.upgrades import pick_upgrade_round
from lentilrun.decisions.upgrades import UpgradeCandidate
import pytest


def _make(
    version: int, busy_for: float, stale_for: float = 0.1
) -> UpgradeCandidate:
    return UpgradeCandidate('', version, False, busy_for, stale_for)


def _set_names(engines: list[UpgradeCandidate]) -> list[UpgradeCandidate]:
    return [e._replace(name=str(i)) for i, e in enumerate(engines)]


@pytest.mark.parametrize(
    ('engines', 'expected'),
    [
        # Those that will soon be idle are first, at most 45 in 100 at once.
        ([_make(1, t) for t in (0.0, 3.0, 0.4, 0.2, 5.0)], ['0', '3']),
        # Without the weights on any engine, busy engines are not upgraded.
        ([_make(1, 3.0)] * 4, []),
        # Busy engines are upgraded once their weights are stale for longer.
        ([_make(1, 3.0, 1.5)] * 4, ['0']),
        # After the first engine has the weights, busy ones are upgraded.
        ([_make(2, 0.0), *[_make(1, 3.0)] * 4], ['1', '2']),
        # Engines that are out of service count towards the limit.
        (
            [
                _make(1, 0.0)._replace(is_out_of_service=True),
                *[_make(1, 0.0)] * 2,
            ],
            [],
        ),
        # Engines with the oldest weights are first.
        ([_make(2, 0.0), _make(1, 2.0, 4.0), _make(1, 1.0, 0.1)], ['1']),
        ([_make(2, 0.0)] * 3, []),
        # Overdue engines do not wait for those that are out of service.
        (
            [
                _make(1, 5.0)._replace(is_out_of_service=True),
                _make(1, 0.0, 2.0),
                *[_make(1, 9.0, 7.0)._replace(is_overdue=True)] * 2,
            ],
            ['2', '3'],
        ),
    ],
)
def test_upgrade_round(
    engines: list[UpgradeCandidate], expected: list[str]
) -> None:
    """Engines are upgraded in the order with the least cost for callers."""
    assert pick_upgrade_round(_set_names(engines), 2) == expected


@pytest.mark.parametrize(
    ('stale_for', 'expected'), [(0.0, 3.6), (3.0, 0.6), (5.0, 0.0)]
)
def test_drain_timeout(stale_for: float, expected: float) -> None:
    """The order is sent early enough for the longest responses to end."""
    assert compute_drain_timeout(stale_for, 8.0) == pytest.approx(expected)


def test_takeover_delay() -> None:
    """Candidates start in their order, then the others by their names."""
    candidates = ['c', 'a', 'b']
    order = ['c', 'a', 'b', 'd', 'e']
    delays = [compute_takeover_delay(n, candidates, order) for n in order]
    assert delays[0] == 0.0
    gaps = [b - a for a, b in itertools.pairwise(delays)]
    assert gaps == pytest.approx([0.8, 0.8, 4.4, 0.8])
