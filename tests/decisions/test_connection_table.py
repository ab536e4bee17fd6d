"""Which connections are kept, and which are closed first."""

from __future__ import annotations

from lentilrun.decisions.connections import ConnectionTable
from lentilrun.decisions.connections import plan_connections
import pytest


@pytest.mark.parametrize('descriptors', [400, 1024, 4100, 65_536])
def test_plan(descriptors: int) -> None:
    """Connections of callers and targets together leave the reserve."""
    plan = plan_connections(descriptors)
    assert not plan.is_minimal()
    assert plan.forwarding < plan.callers
    calls = plan.callers + plan.forwarding
    assert 2 * calls + 2 * plan.service <= descriptors - 200 - 40


@pytest.mark.parametrize('descriptors', [1, 200, 250])
def test_few_descriptors(descriptors: int) -> None:
    """Some connections are kept whatever the settings say."""
    plan = plan_connections(descriptors)
    assert plan.is_minimal()
    assert plan.callers > 0
    assert plan.forwarding > 0


def test_address_that_holds_most() -> None:
    """Its connection without progress for longest is closed first."""
    table: ConnectionTable[int] = ConnectionTable(6)
    for key in (1, 2, 3, 4):
        table.add(key, 'many', 1.0)
    table.add(5, 'few', 0.5)
    assert not table.is_full()
    table.add(6, 'few', 0.6)
    assert table.is_full()
    assert table.pick_closable(1.1) == 5
    assert table.pick_closable(2.0) == 1
    table.mark_progress(1, 1.8)
    assert table.pick_closable(2.0) == 2
    for key in (1, 2, 3, 4):
        table.mark_busy(key)
    assert not table.is_closable(1)
    assert table.pick_closable(2.0) == 5
    for key in (5, 6):
        table.remove(key)
    assert table.pick_closable(9.0) is None
    table.mark_progress(3, 3.0)
    assert table.pick_closable(3.1) is None
    assert table.pick_closable(9.0) == 3


def test_unknown_connections() -> None:
    """Events of connections that were removed change nothing."""
    table: ConnectionTable[int] = ConnectionTable(1)
    table.add(1, 'a', 1.0)
    table.remove(1)
    table.remove(1)
    table.mark_progress(1, 2.0)
    table.mark_busy(1)
    assert len(table) == 0
    assert table.pick_closable(9.0) is None
