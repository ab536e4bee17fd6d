"""A VM that stood still takes no announcement for younger than it is."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import MODEL
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SINGLE_DATA_CENTRE
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
import pytest

if TYPE_CHECKING:
    from lentilrun.config.ini import Address

# All calls of the feed hang for so long before an announcement, and until
# this long after it.
_BREAK_S = 2.5
_BREAK_END_S = 0.1
_CHECKED_S = 6.0
_SLACK_S = 0.1


class _HeldDatagrams:
    """Holds what is sent to one VM, until it goes on and reads it all."""

    def __init__(self, fleet: ModelledFleet, name: str) -> None:
        self._fleet = fleet
        self._name = name
        self._transmit = fleet.transmit
        self._held: list[tuple[str, bytes, Address]] = []
        fleet.transmit = self._hold  # type: ignore[method-assign]
        fleet.stores[name].hangs = True

    def _hold(self, sender: str, data: bytes, address: Address) -> None:
        if self._fleet.find_vm(address).settings.name == self._name:
            self._held.append((sender, data, address))
        else:
            self._transmit(sender, data, address)

    def release(self) -> None:
        """Deliver what was sent, in its order."""
        self._fleet.transmit = self._transmit  # type: ignore[method-assign]
        for datagram in self._held:
            self._transmit(*datagram)


@pytest.mark.parametrize('pause', [2.0, 3.0])
@pytest.mark.parametrize(
    ('data_centres', 'readers', 'frozen'),
    [
        (SMALL_FLEET, ['a000', 'b000'], 'c001'),
        (LARGE_FLEET, ['a000', 'b000'], 'c000'),
        (LARGE_FLEET, ['a000', 'b000'], 'c005'),
        (LARGE_FLEET, ['a000', 'a001'], 'c005'),
        (SINGLE_DATA_CENTRE, ['a000', 'a001'], 'a005'),
    ],
)
def test_relayed_announcement_was_held(
    data_centres: dict[str, int],
    readers: list[str],
    frozen: str,
    pause: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Rows that a VM reads after a break count as old as the break.

    The readers are lost, so no VM observed when the weights were announced,
    and none corrects what the frozen one assumes.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            for name in readers:
                fleet.stop(name)
            held = _HeldDatagrams(fleet, frozen)
            fleet.announce_weights(2)
            await asyncio.sleep(pause)
            held.release()
            await asyncio.sleep(_CHECKED_S - pause)
            ages = {n.settings.name: n.view.stale_for(MODEL, 1) for n in fleet}
            young = {
                n: round(age, 2)
                for n, age in ages.items()
                if age < _CHECKED_S - _SLACK_S
            }
            assert not young

    timeloop.run(main)


@pytest.mark.parametrize('pause', [2.0, 3.0])
@pytest.mark.parametrize(
    ('data_centres', 'frozen'),
    [
        (SMALL_FLEET, 'c001'),
        (LARGE_FLEET, 'c000'),
        (LARGE_FLEET, 'c005'),
        (SINGLE_DATA_CENTRE, 'a005'),
    ],
)
def test_announcement_was_held_after_all_feeds_broke(
    data_centres: dict[str, int],
    frozen: str,
    pause: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The same where no VM read the announcement without a break."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            for store in fleet.stores.values():
                store.hangs = True
            await asyncio.sleep(_BREAK_S)
            held = _HeldDatagrams(fleet, frozen)
            fleet.announce_weights(2)
            announced_at = loop.time()
            await asyncio.sleep(_BREAK_END_S)
            for name, store in fleet.stores.items():
                store.hangs = name == frozen
            await asyncio.sleep(announced_at + pause - loop.time())
            held.release()
            await asyncio.sleep(announced_at + _CHECKED_S - loop.time())
            ages = {n.settings.name: n.view.stale_for(MODEL, 1) for n in fleet}
            young = {
                n: round(age, 2)
                for n, age in ages.items()
                if age < _CHECKED_S - _SLACK_S
            }
            assert not young

    timeloop.run(main)
