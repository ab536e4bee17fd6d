"""The rows of announcements are read late, as the store answers slowly."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from deployments import BOUNDS
from deployments import MODEL
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
import pytest

if TYPE_CHECKING:
    from modelledfleets import ModelledStore

# Of a response to a read of the fleet's rows, until the VM applies it.
_DELAY_S = 1.2
_SEEN_S = 3.0
_DOWN_S = 0.5


def _delay_fleet_reads(store: ModelledStore) -> None:
    answer = store._answer

    async def answer_late(request: Any) -> Any:
        response = await answer(request)
        if 'table=fleet' in request.path:
            await asyncio.sleep(_DELAY_S)
        return response

    store._answer = answer_late  # type: ignore[method-assign]


def test_announcement_seems_newer_if_its_row_is_read_slowly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The way of the response with the row counts in the age."""

    async def main(loop: timeloop.TimeLoop) -> None:
        bounds = BOUNDS._replace(
            stale_weights_limit=10.0, undisturbed_time=4.0
        )
        with ModelledFleet(
            loop, monkeypatch, SMALL_FLEET, bounds=bounds
        ) as fleet:
            fleet.start()
            await asyncio.sleep(5.0)
            announced_at = loop.time()
            fleet.announce_weights(2)
            await asyncio.sleep(_SEEN_S)
            names = list(fleet.nodes)
            for name in names:
                fleet.stop(name)
            await asyncio.sleep(_DOWN_S)
            for name in names:
                fleet._add(name, fleet.nodes[name].settings.data_centre)
                _delay_fleet_reads(fleet.stores[name])
                fleet.start(name)
            await asyncio.sleep(4.0)
            age = loop.time() - announced_at
            ages = [n.view.stale_for(MODEL, 1) for n in fleet]
            assert min(ages) >= age - 0.1

    timeloop.run(main)
