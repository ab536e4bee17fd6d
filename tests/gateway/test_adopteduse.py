"""What VMs count after they took over each other's use."""

from __future__ import annotations

from typing import cast
from typing import TYPE_CHECKING

from lentilrun.decisions.quota import QuotaTolerance
from lentilrun.gateway.quotas import Quotas
import pytest

if TYPE_CHECKING:
    from lentilrun.gateway.peers import Peers

_TOLERANCE = QuotaTolerance(8.0, 0.1, 72_000.0)
_NAME = 'workspace'


class _Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


def _make(clock: _Clock) -> Quotas:
    quotas = Quotas(clock, cast('Peers', None), _TOLERANCE)
    quotas._window(_NAME)
    return quotas


def _count(quotas: Quotas) -> float:
    return sum(quotas.export().get(_NAME, []))


@pytest.mark.parametrize('vms', [2, 3, 8])
@pytest.mark.parametrize('interval', [0.05, 0.1, 0.25, 0.7])
def test_use_adopted_in_turn_neither_ages_nor_grows(
    vms: int, interval: float
) -> None:
    """Each VM admits once, and adopts the use of the VM before it.

    Each time, all use was counted one second earlier, until it was lost.
    """
    clock = _Clock()
    fleet = [_make(clock) for _ in range(vms)]
    used = 0.0
    started_at = clock.time
    turn = 0
    while clock.time < started_at + 6.5:
        first = turn % vms
        fleet[first]._add_use(_NAME, 1000.0)
        used += 1000.0
        for number in range(first, first + vms - 1):
            use = fleet[number % vms].export()
            fleet[(number + 1) % vms].adopt(use)
        assert [_count(q) for q in fleet] == [used] * vms
        clock.time += interval
        turn += 1
    # The times are stated by the second, and expire by the slot.
    clock.time += 8.0 + 1.0 + 0.5
    assert [_count(q) for q in fleet] == [0.0] * vms


def test_adopted_use_replaces_older_use() -> None:
    """The same tokens, which another VM counted later, count once."""
    clock = _Clock()
    first, second = _make(clock), _make(clock)
    first._add_use(_NAME, 500.0)
    clock.time += 4.0
    second._add_use(_NAME, 800.0)
    first.adopt(second.export())
    assert first.export() == {_NAME: [800]}
