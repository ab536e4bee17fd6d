"""A VM that missed some announcements counts from the first of them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from deployments import BOUNDS
from deployments import MODEL
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
import pytest

if TYPE_CHECKING:
    from lentilrun.standins.timeloop import TimeLoop

_TOLERANCE_S = 0.15
_VERSIONS = range(2, 8)


@pytest.mark.parametrize('gap', [0.5, 1.0, 1.5, 2.0])
@pytest.mark.parametrize(
    ('data_centres', 'late'), [(SMALL_FLEET, 'c001'), (LARGE_FLEET, 'c005')]
)
def test_first_of_many_missed_announcements_seems_newer(
    data_centres: dict[str, int],
    late: str,
    gap: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A VM without messages for several versions learns of all of them."""

    async def main(loop: TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            announced_at = loop.time()
            until = announced_at + len(_VERSIONS) * gap
            fleet.stores[late].hangs = True
            fleet.loses = lambda _, recipient, __: (
                recipient == late and loop.time() < until
            )
            for version in _VERSIONS:
                fleet.announce_weights(version)
                await asyncio.sleep(gap)
            fleet.stores[late].hangs = False
            await asyncio.sleep(2.0)
            age = loop.time() - announced_at
            ages = [n.view.stale_for(MODEL, 1) for n in fleet]
            # Older than the limit, it makes no difference.
            expected = min(age, BOUNDS.stale_weights_limit)
            assert min(ages) > expected - _TOLERANCE_S

    timeloop.run(main)
