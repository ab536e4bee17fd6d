"""Ages of announcements in messages that were long on their way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import MODEL
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import STARTED_S
import pytest

if TYPE_CHECKING:
    from lentilrun.config.ini import Address

# Messages of a hub wait for so long at its full link.
_DELAY_S = 1.0
_CHECKED_S = (2.0, 4.0)
_SLACK_S = 0.1


class _FullLink:
    """Delays all datagrams of one VM."""

    def __init__(self, fleet: ModelledFleet, name: str) -> None:
        self._name = name
        self._transmit = fleet.transmit
        fleet.transmit = self._delay  # type: ignore[method-assign]

    def _delay(self, sender: str, data: bytes, address: Address) -> None:
        delay = _DELAY_S if sender == self._name else 0.0
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._transmit, sender, data, address)


def test_hub_sends_ages_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """VMs whose hub has a full link count the time on its way too."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, LARGE_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            _FullLink(fleet, 'c000')
            fleet.announce_weights(2)
            announced_at = loop.time()
            young = {}
            for time in _CHECKED_S:
                await asyncio.sleep(announced_at + time - loop.time())
                for node in fleet:
                    age = node.view.stale_for(MODEL, 1)
                    if age < time - _SLACK_S:
                        young[time, node.settings.name] = round(age, 2)
            assert not young

    timeloop.run(main)
