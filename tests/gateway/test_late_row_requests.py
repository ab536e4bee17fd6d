"""Rows that a VM asks another one for are older than the other's last read."""

from __future__ import annotations

import asyncio
import random

from deployments import BOUNDS
from deployments import MODEL
from lentilrun.decisions.weightsage import compute_withdrawal_delay
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
import pytest

_LIMIT_S = 10.0
_UNDISTURBED_S = 4.0
_FROZEN_S = 9.0
# One VM goes on this much later than the others. What was sent to it until
# then is lost, as its socket's buffer is full.
_LATER_S = 1.0


async def _hold_up(fleet: ModelledFleet, name: str) -> None:
    """Let a VM hear nothing for a time; its calls in progress time out."""
    fleet.stores[name].hangs = True
    fleet.loses = lambda _, recipient, __: recipient == name
    await asyncio.sleep(_LATER_S)
    fleet.stores[name].hangs = False
    fleet.loses = lambda *_: False


@pytest.mark.parametrize('data_centres', [SMALL_FLEET, LARGE_FLEET])
@pytest.mark.parametrize('seed', range(4))
def test_all_vms_stood_still_and_one_asks_for_an_announcement(
    seed: int,
    data_centres: dict[str, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The age that a VM states with requested rows is that of the rows.

    Otherwise all VMs take the delay of its last read for an observation, in
    place of the time for which none of them had read anything.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        bounds = BOUNDS._replace(
            stale_weights_limit=_LIMIT_S, undisturbed_time=_UNDISTURBED_S
        )
        with ModelledFleet(
            loop, monkeypatch, data_centres, bounds=bounds
        ) as fleet:
            fleet.start()
            await asyncio.sleep(8.0)
            fleet.announce_weights(2)
            announced_at = loop.time()
            # All processes stand still for this time.
            loop._advance(_FROZEN_S)
            await _hold_up(fleet, list(fleet.nodes)[-1])
            await asyncio.sleep(_UNDISTURBED_S)
            assert loop.time() - announced_at > _LIMIT_S
            delays = [
                compute_withdrawal_delay(n.view.stale_for(MODEL, 1), _LIMIT_S)
                for n in fleet
            ]
            assert max(delays) == 0.0

    random.seed(seed)
    timeloop.run(main)
