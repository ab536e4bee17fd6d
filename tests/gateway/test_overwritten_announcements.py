"""The age of weights counts though the row of an announcement is gone."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from deployments import BOUNDS
from deployments import MODEL
from lentilrun.decisions.weightsage import compute_withdrawal_delay
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
import pytest

if TYPE_CHECKING:
    from lentilrun.standins.timeloop import TimeLoop

_LIMIT_S = 10.0
_UNDISTURBED_S = 4.0


@pytest.mark.parametrize('data_centres', [SMALL_FLEET, LARGE_FLEET])
@pytest.mark.parametrize('started_later', ['d001', 'a000'])
def test_vm_that_starts_after_a_second_announcement_misses_the_first(
    data_centres: dict[str, int],
    started_later: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A dated version says nothing about the versions before it.

    Version 2 is announced while all VMs are down, version 3 when all but one
    have started again. The one that starts last reads version 3 only.
    """

    async def main(loop: TimeLoop) -> None:
        bounds = BOUNDS._replace(
            stale_weights_limit=_LIMIT_S, undisturbed_time=_UNDISTURBED_S
        )
        with ModelledFleet(
            loop, monkeypatch, data_centres, bounds=bounds
        ) as fleet:
            fleet.start()
            await asyncio.sleep(5.0)
            names = list(fleet.nodes)
            for name in names:
                fleet.stop(name)
            announced_at = loop.time()
            fleet.announce_weights(2)
            await asyncio.sleep(1.0)
            for name in names:
                if name != started_later:
                    fleet.replace(name)
            await asyncio.sleep(5.0)
            fleet.announce_weights(3)
            await asyncio.sleep(1.0)
            fleet.replace(started_later)
            await asyncio.sleep(_UNDISTURBED_S)
            assert loop.time() - announced_at > _LIMIT_S
            delays = {
                n.settings.name: compute_withdrawal_delay(
                    n.view.stale_for(MODEL, 1), _LIMIT_S
                )
                for n in fleet
            }
            assert {n: d for n, d in delays.items() if d > 0.0} == {}

    timeloop.run(main)
