"""Rows that are removed while the VMs that read the store restart."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from lentilrun.standins import timeloop
from modelledfleets import CHANGE_LIMIT_S
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SINGLE_DATA_CENTRE
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
import pytest

_SETTLE_S = 1.0


class _Restart(NamedTuple):
    """VMs that are killed, and start ``downtime`` seconds later.

    The row is removed half way. The readers of all fleets are the first VMs
    of two data centres, or the first two VMs of the only one.
    """

    names: list[str]
    downtime: float = 0.1
    is_followed_by_change: bool = False


@pytest.mark.parametrize(
    'data_centres', [SMALL_FLEET, LARGE_FLEET, SINGLE_DATA_CENTRE]
)
@pytest.mark.parametrize(
    'restart',
    [
        _Restart(['a000']),
        _Restart(['a000', 'b000']),
        _Restart(['a000', 'b000'], is_followed_by_change=True),
        _Restart(['a000', 'b000'], downtime=0.6),
        _Restart(['a000', 'a001']),
        _Restart(['a000', 'a001'], downtime=0.6, is_followed_by_change=True),
        _Restart(['a000', 'b000', 'c000', 'd000']),
        _Restart(['a000', 'a001', 'b000', 'b001', 'c000', 'c001', 'd000']),
    ],
)
def test_row_is_removed_while_readers_restart(
    data_centres: dict[str, int],
    restart: _Restart,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A removed target stayed known to VMs whose readers had restarted.

    A process that reads a whole table knows no rows that were removed
    before. Others took its newest row for all that had changed.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            names = [n for n in restart.names if n in fleet.nodes]
            for name in names:
                fleet.stop(name)
            await asyncio.sleep(restart.downtime / 2)
            fleet.state.put('servers', 'e0', None)
            removed_at = loop.time()
            await asyncio.sleep(restart.downtime / 2)
            for name in names:
                fleet.replace(name)
            if restart.is_followed_by_change:
                await asyncio.sleep(restart.downtime)
                fleet.register('new')
            await fleet.wait_until(
                lambda: not any('e0' in n.targets.states for n in fleet),
                removed_at + CHANGE_LIMIT_S - loop.time(),
            )
            await asyncio.sleep(_SETTLE_S)
            known = {frozenset(n.targets.states) for n in fleet}
            assert len(known) == 1

    timeloop.run(main)
