"""No VM takes an announcement of weights for younger than it is."""

from __future__ import annotations

import asyncio

from lentilrun.standins.configuration import MODEL
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SINGLE_DATA_CENTRE
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
import pytest

# A VM hears nothing for this long after an announcement.
_SILENCE_S = 2.0
# All calls of the feed hang until this long after an announcement.
_BREAK_END_S = 0.1
# After the announcement, when the ages are compared.
_CHECKED_S = (1.5, 4.0, 8.0)
# Messages between VMs take about this time.
_SLACK_S = 0.1


def _cut_off(fleet: ModelledFleet, name: str, until: float) -> None:
    """Let nothing reach a VM until a time by the loop."""
    loop = asyncio.get_running_loop()
    fleet.stores[name].hangs = True
    fleet.loses = lambda _, recipient, __: (
        recipient == name and loop.time() < until
    )


@pytest.mark.parametrize(
    ('data_centres', 'readers', 'late'),
    [
        (SMALL_FLEET, ['a000', 'b000'], 'c001'),
        (LARGE_FLEET, ['a000', 'b000'], 'c000'),
        (LARGE_FLEET, ['a000', 'b000'], 'c001'),
        (LARGE_FLEET, ['a000', 'b000'], 'c005'),
        (SINGLE_DATA_CENTRE, ['a000', 'a001'], 'a005'),
    ],
)
def test_requested_announcement_counts_from_the_request(
    data_centres: dict[str, int],
    readers: list[str],
    late: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Rows that a VM asks for late count as old as they may be.

    The readers are lost, so the other VMs read the announcement after a
    break and assume its age. The one that asked them for it took it for
    new, and they all believed that.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            for name in readers:
                fleet.stop(name)
            fleet.announce_weights(2)
            announced_at = loop.time()
            _cut_off(fleet, late, announced_at + _SILENCE_S)
            young = {}
            for time in _CHECKED_S:
                await asyncio.sleep(announced_at + time - loop.time())
                for node in fleet:
                    age = node.view.stale_for(MODEL, 1)
                    name = node.settings.name
                    knows = name != late or time > 2.0 * _SILENCE_S
                    if knows and age < time - _SLACK_S:
                        young[time, name] = round(age, 2)
            assert not young

    timeloop.run(main)


@pytest.mark.parametrize('feed_break', [1.0, 2.5])
@pytest.mark.parametrize(
    ('data_centres', 'late'),
    [
        (SMALL_FLEET, 'c001'),
        (LARGE_FLEET, 'c000'),
        (LARGE_FLEET, 'c005'),
        (SINGLE_DATA_CENTRE, 'a005'),
    ],
)
def test_requested_announcement_replaces_assumed_ages(
    data_centres: dict[str, int],
    late: str,
    feed_break: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A VM that asks for rows late does not make them young for all others.

    All feeds were broken for so long that nobody observed the announcement.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            for store in fleet.stores.values():
                store.hangs = True
            await asyncio.sleep(feed_break)
            fleet.announce_weights(2)
            announced_at = loop.time()
            _cut_off(fleet, late, announced_at + _SILENCE_S)
            await asyncio.sleep(_BREAK_END_S)
            for name, store in fleet.stores.items():
                store.hangs = name == late
            young = {}
            for time in _CHECKED_S[1:]:
                await asyncio.sleep(announced_at + time - loop.time())
                for node in fleet:
                    age = node.view.stale_for(MODEL, 1)
                    name = node.settings.name
                    knows = name != late or time > 2.0 * _SILENCE_S
                    if knows and age < time - _SLACK_S:
                        young[time, name] = round(age, 2)
            assert not young

    timeloop.run(main)
