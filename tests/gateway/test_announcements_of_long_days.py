"""VMs learn of new weights however many versions were announced before."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from deployments import MODEL
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
import pytest

if TYPE_CHECKING:
    from lentilrun.standins.timeloop import TimeLoop

# More versions than a VM and the store keep.
_VERSIONS = 70
_INTERVAL_S = 1.0


@pytest.mark.parametrize('restarted_at', [None, 40])
def test_no_announcement_is_learned_after_many_versions(
    restarted_at: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Times of versions that a VM no longer keeps change nothing.

    All VMs know the newest version within a second, also after a restart.
    """

    async def main(loop: TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, SMALL_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(5.0)
            for version in range(2, _VERSIONS):
                fleet.announce_weights(version)
                await asyncio.sleep(_INTERVAL_S)
                newest = {
                    n.view.announced[MODEL].newest_version for n in fleet
                }
                assert newest == {version}
                if version == restarted_at:
                    names = list(fleet.nodes)
                    for name in names:
                        fleet.stop(name)
                    for name in names:
                        fleet.replace(name)
                    await asyncio.sleep(_INTERVAL_S)

    timeloop.run(main)
