"""Calls of the store in a fleet of 77 VMs over hubs, on simulated time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fleets import ModelledFleet
from lentilrun.standins import timeloop

if TYPE_CHECKING:
    import pytest

_LARGE_FLEET = {'a': 19, 'b': 19, 'c': 19, 'd': 20}
# After its start, a VM exchanges messages with its hubs only.
_STARTED_S = 4.0


def _is_loaded(fleet: ModelledFleet, version: int) -> bool:
    newest = {name: order.version for _, name, order in fleet.engines.orders}
    return set(newest.values()) == {version} and len(newest) == 8


def test_one_vm_at_a_time_takes_the_lease_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If the holder of the lease loses the store, few VMs ask for it.

    All VMs without a hub's role knew only their hubs as earlier ones, read
    the lease within a second and wrote it at the same moment.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, _LARGE_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(_STARTED_S)
            fleet.announce_weights(2)
            await fleet.wait_until(lambda: _is_loaded(fleet, 2), 6.0)
            holder = fleet.engines.orders[-1][2].holder
            fleet.stores[holder].rejects = True
            await asyncio.sleep(1.0)
            before = fleet.count_calls()
            fleet.announce_weights(3)
            await fleet.wait_until(lambda: _is_loaded(fleet, 3), 8.0)
            calls = fleet.count_calls() - before
            assert calls['read fleet'] <= 6
            assert calls['write lease'] <= 10

    timeloop.run(main)
