"""Which engines take new weights next."""

from __future__ import annotations

from lentilrun.decisions.upgrades import compute_drain_timeout
from lentilrun.decisions.upgrades import compute_takeover_delay
from lentilrun.decisions.upgrades import pick_upgrade_round
from lentilrun.decisions.upgrades import UpgradeCandidate
import pytest


def _make(
    version: int, busy_for: float, stale_for: float = 0.1
) -> UpgradeCandidate:
    return UpgradeCandidate('', version, False, busy_for, stale_for)


def _name(engines: list[UpgradeCandidate]) -> list[UpgradeCandidate]:
    return [e._replace(name=str(i)) for i, e in enumerate(engines)]


@pytest.mark.parametrize(
    ('engines', 'expected'),
    [
        # Those that are soon empty go first, at most 45 in 100 at once.
        ([_make(1, t) for t in (0.0, 3.0, 0.4, 0.2, 5.0)], ['0', '3']),
        # While nobody has the weights, long answers are left alone.
        ([_make(1, 3.0)] * 4, []),
        # Later they go all the same.
        ([_make(1, 3.0, 1.5)] * 4, ['0']),
        # Once some engine has the weights, the others follow.
        ([_make(2, 0.0), *[_make(1, 3.0)] * 4], ['1', '2']),
        # An engine that is out counts.
        (
            [
                _make(1, 0.0)._replace(is_out_of_service=True),
                *[_make(1, 0.0)] * 2,
            ],
            [],
        ),
        # The oldest weights go before.
        ([_make(2, 0.0), _make(1, 2.0, 4.0), _make(1, 1.0, 0.1)], ['1']),
        ([_make(2, 0.0)] * 3, []),
    ],
)
def test_wave(engines: list[UpgradeCandidate], expected: list[str]) -> None:
    """Engines go in the order that costs callers least."""
    assert pick_upgrade_round(_name(engines), 2) == expected


@pytest.mark.parametrize(
    ('stale_for', 'expected'), [(0.0, 3.6), (3.0, 0.6), (5.0, 0.0)]
)
def test_patience(stale_for: float, expected: float) -> None:
    """The order goes out in time for the longest answers to end."""
    assert compute_drain_timeout(stale_for, 8.0) == pytest.approx(expected)


def test_turns() -> None:
    """VMs begin one after the other, the first at once."""
    assert compute_takeover_delay('a', ['b', 'c']) == 0.0
    assert (
        compute_takeover_delay('c', ['a', 'b'])
        > compute_takeover_delay('b', ['a', 'c'])
        > 0.0
    )
