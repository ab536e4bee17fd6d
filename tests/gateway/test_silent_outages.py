"""Calls that were sent shortly before the end of a silent outage."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lentilrun.standins import timeloop
from modelledfleets import CHANGE_LIMIT_S
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
import pytest

if TYPE_CHECKING:
    from collections.abc import Callable

_OUTAGE_S = 3.3
# After the stable window changes must be in force in time again.
_STABLE_WINDOW_S = 3.0
# Moments within the interval of the calls to the feed.
_PHASES_S = (0.0, 0.3, 0.7, 1.1, 1.6)
_CHANGES = 3


async def _fall_silent(fleet: ModelledFleet) -> None:
    """Let no call be answered for a time, nor any that is sent in it."""
    for store in fleet.stores.values():
        store.hangs = True
    await asyncio.sleep(_OUTAGE_S)
    for store in fleet.stores.values():
        store.hangs = False


def _drain(fleet: ModelledFleet, name: str) -> Callable[[], bool]:
    """Let a target leave; return whether all VMs know it."""
    fleet.register(name, 'draining')

    def is_known() -> bool:
        states = [n.targets.states.get(name) for n in fleet]
        return all(s is None or s.target.is_draining for s in states)

    return is_known


@pytest.mark.parametrize('vms', [SMALL_FLEET, LARGE_FLEET])
@pytest.mark.parametrize('phase', _PHASES_S)
def test_changes_after_a_silent_outage(
    phase: float, vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls of the outage that delay what comes after it."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, vms) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S + phase)
            await _fall_silent(fleet)
            await asyncio.sleep(_STABLE_WINDOW_S)
            for change in range(_CHANGES):
                version = 2 + change
                fleet.configure(version)
                await fleet.wait_until(
                    lambda v=version: not fleet.list_behind(v),
                    CHANGE_LIMIT_S,
                )
                is_known = _drain(fleet, f'e{change}')
                await fleet.wait_until(is_known, CHANGE_LIMIT_S)

    timeloop.run(main)
