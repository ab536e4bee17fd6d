"""Changes while the VMs that read the store for others have lost it."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from lentilrun.standins import timeloop
from modelledfleets import CHANGE_LIMIT_S
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SINGLE_DATA_CENTRE
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
import pytest

_LARGEST_FLEET = dict.fromkeys('abc', 65)
# What all VMs of a fleet of this size may ask the store a second, at least.
_READS_PER_S = 6000
_FIRST_HUBS = ['a000', 'b000', 'c000', 'd000']
_ALL_HUBS = [*_FIRST_HUBS, 'a001', 'b001', 'c001', 'd001']


class _Cut(NamedTuple):
    """VMs that lose the store ``after`` seconds from a first change.

    Their calls hang, those in progress too, unless the store rejects them;
    a second change comes just after.
    """

    names: list[str]
    after: float = 0.4
    rejects: bool = False


_cuts = pytest.mark.parametrize(
    'cut',
    [
        _Cut(['a000', 'b000']),
        # Their calls to the feed have just begun, or are about to end.
        _Cut(['a000', 'b000'], after=0.25),
        _Cut(['a000', 'b000'], after=0.6),
        _Cut(['a000', 'b000'], after=1.9),
        _Cut(['a000', 'b000'], rejects=True),
        _Cut(['a000', 'a001']),
        _Cut(_FIRST_HUBS),
        _Cut(_ALL_HUBS),
        _Cut(_ALL_HUBS, rejects=True),
    ],
)
_fleets = pytest.mark.parametrize(
    'data_centres', [SMALL_FLEET, LARGE_FLEET, SINGLE_DATA_CENTRE]
)


def _cut(fleet: ModelledFleet, cut: _Cut) -> list[str]:
    names = [n for n in cut.names if n in fleet.nodes]
    for name in names:
        fleet.stores[name].rejects = cut.rejects
        fleet.stores[name].hangs = not cut.rejects
    return names


@_cuts
@_fleets
def test_change_arrives_though_all_readers_are_cut_off(
    data_centres: dict[str, int],
    cut: _Cut,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """VMs kept an old configuration, as their readers' calls just hung.

    Nothing told them that these heard no longer from the store.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            fleet.configure(2)
            fleet.register('new')
            await asyncio.sleep(cut.after)
            names = _cut(fleet, cut)
            await asyncio.sleep(0.02)
            fleet.configure(3)
            fleet.register('e0', 'draining')

            def list_late() -> list[str]:
                late = set(fleet.list_behind(3)).difference(names)
                late |= {
                    n.settings.name
                    for n in fleet
                    if n.settings.name not in names
                    and not n.targets.states['e0'].target.is_draining
                }
                return sorted(late)

            await fleet.wait_until(lambda: not list_late(), CHANGE_LIMIT_S)

    timeloop.run(main)


def test_store_is_not_overrun_as_all_readers_are_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The VMs of a large fleet read for themselves, at different times."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, _LARGEST_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            _cut(fleet, _Cut(_ALL_HUBS))
            most = 0
            before = fleet.count_calls().total()
            for _ in range(60):
                await asyncio.sleep(0.1)
                calls = fleet.count_calls().total()
                most = max(most, calls - before)
                before = calls
            assert most <= _READS_PER_S * 0.1

    timeloop.run(main)


def test_readers_call_seldom_enough(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without changes only the readers call the store."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, LARGE_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            before = fleet.count_calls()
            await asyncio.sleep(10.0)
            calls = fleet.count_calls() - before
            assert calls.keys() == {'follow op', 'follow servers'}
            # A fifth of the time in which a change must be in force.
            waits = 10.0 / (0.2 * CHANGE_LIMIT_S)
            assert calls.total() <= 2 * 2 * (waits + 1)

    timeloop.run(main)


@_cuts
@_fleets
def test_removal_is_believed_though_all_readers_are_cut_off(
    data_centres: dict[str, int],
    cut: _Cut,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """VMs took the loss of their hubs for an outage, and kept what was gone.

    After an outage of the store they wait for rows that expired meanwhile.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            fleet.register('new')
            await asyncio.sleep(cut.after)
            names = _cut(fleet, cut)
            await asyncio.sleep(0.02)
            for number in range(8):
                gone = f'e{number}'
                fleet.state.put('servers', gone, None)
                await fleet.wait_until(
                    lambda gone=gone: (
                        not any(
                            gone in n.targets.states
                            for n in fleet
                            if n.settings.name not in names
                        )
                    ),
                    CHANGE_LIMIT_S,
                )
                await asyncio.sleep(0.5)

    timeloop.run(main)
