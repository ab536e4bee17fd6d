"""What VMs know when the store comes back from an older copy."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
import pytest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_SMALL = {'a': 3, 'b': 3, 'c': 2}
_HUBS = {'a': 19, 'b': 19, 'c': 19, 'd': 20}
_STARTED_S = 4.0
# The store is away for this long, and its copy is older by some seconds.
_OUTAGE_S = 2.0
_COPY_AGE_S = 7.0
# Writers notice that the store is back, and write again, after this time.
_REWRITE_S = 0.5
# A change is in force on all VMs within this time.
_LIMIT_S = 2.0
# The operators' and targets' tables, by two VMs that read the store.
_MAX_CALLS_PER_S = 40


class _Restoration:
    """Takes a copy of the store, and restores it after an outage."""

    def __init__(self, fleet: ModelledFleet) -> None:
        """Copy the store as it is now."""
        self._fleet = fleet
        self._copy = fleet.state.copy()

    async def run(self) -> None:
        """Let the store be away, and return without what it lost."""
        self._fleet.state.faults.is_down = True
        await asyncio.sleep(_OUTAGE_S)
        self._fleet.state.restore(self._copy)
        self._fleet.state.faults.is_down = False
        await asyncio.sleep(_REWRITE_S)


def _play(
    monkeypatch: pytest.MonkeyPatch,
    vms: dict[str, int],
    main: Callable[[ModelledFleet], Awaitable[None]],
) -> None:
    async def run(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, vms) as fleet:
            fleet.start()
            await asyncio.sleep(_STARTED_S)
            await main(fleet)

    timeloop.run(run)


async def _configure(fleet: ModelledFleet, versions: range) -> None:
    """Write configurations, as long as the copy is older."""
    for version in versions:
        await asyncio.sleep(_COPY_AGE_S / len(versions))
        fleet.configure(version)


def _list_configurations(fleet: ModelledFleet) -> list[int]:
    configurations = [n.view.configuration for n in fleet]
    return [c.version for c in configurations if c is not None]


@pytest.mark.parametrize('vms', [_SMALL, _HUBS])
def test_configurations_after_the_store_was_restored(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """New ones are in force in time, though versions of rows are lower."""

    async def main(fleet: ModelledFleet) -> None:
        fleet.configure(2)
        restoration = _Restoration(fleet)
        await _configure(fleet, range(3, 9))
        await asyncio.sleep(1.0)
        await restoration.run()
        # What was lost is written again, and never replaced by what was there.
        assert set(_list_configurations(fleet)) == {8}
        fleet.configure(8)
        for version in (9, 10):
            fleet.configure(version)
            await fleet.wait_until(
                lambda v=version: not fleet.list_behind(v), _LIMIT_S
            )
            await asyncio.sleep(1.0)

    _play(monkeypatch, vms, main)


@pytest.mark.parametrize('vms', [_SMALL, _HUBS])
def test_vms_without_the_store_learn_that_it_was_restored(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """They get the new rows, and pass on none of the old ones."""

    async def main(fleet: ModelledFleet) -> None:
        restoration = _Restoration(fleet)
        await _configure(fleet, range(2, 8))
        for store in list(fleet.stores.values())[::3]:
            store.rejects = True
        await asyncio.sleep(3.0)
        await restoration.run()
        fleet.configure(8)
        await fleet.wait_until(lambda: not fleet.list_behind(8), 4.0)

    _play(monkeypatch, vms, main)


@pytest.mark.parametrize('vms', [_SMALL, _HUBS])
def test_store_calls_after_it_was_restored(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reads that seem stale do not follow each other without a pause."""

    async def main(fleet: ModelledFleet) -> None:
        restoration = _Restoration(fleet)
        await _configure(fleet, range(2, 8))
        await restoration.run()
        # Each VM reads all rows, or gets them from another one.
        await asyncio.sleep(1.0)
        before = fleet.count_calls()
        await asyncio.sleep(5.0)
        calls = (fleet.count_calls() - before).total()
        assert calls <= 5.0 * _MAX_CALLS_PER_S

    _play(monkeypatch, vms, main)


@pytest.mark.parametrize('vms', [_SMALL, _HUBS])
def test_targets_that_leave_after_the_store_was_restored(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A target that reports that it leaves gets nothing more in time."""

    async def main(fleet: ModelledFleet) -> None:
        restoration = _Restoration(fleet)
        for number in range(6):
            await asyncio.sleep(_COPY_AGE_S / 6.0)
            fleet.register(f'new{number}')
        await restoration.run()
        for number in range(6):
            fleet.register(f'new{number}')
        await asyncio.sleep(1.0)
        fleet.register('e1', 'draining')
        await fleet.wait_until(
            lambda: all(
                n.targets.states['e1'].target.is_draining for n in fleet
            ),
            _LIMIT_S,
        )
        names = {f'new{n}' for n in range(6)}
        assert all(names <= set(n.targets.states) for n in fleet)

    _play(monkeypatch, vms, main)


@pytest.mark.parametrize('vms', [_SMALL, _HUBS])
def test_targets_that_left_before_the_store_was_restored(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The copy shows them as they were; they get no requests again."""

    async def main(fleet: ModelledFleet) -> None:
        restoration = _Restoration(fleet)
        await asyncio.sleep(1.0)
        fleet.register('e1', 'draining')
        fleet.state.put('servers', 'e2', None)
        await asyncio.sleep(3.0)
        before = [set(n.targets.states) for n in fleet]
        assert all('e2' not in names for names in before)
        await restoration.run()
        for _ in range(20):
            await asyncio.sleep(0.1)
            for node in fleet:
                usable = node.targets.list_usable('llm')
                names = {s.target.incarnation for s in usable}
                assert not names & {'e1', 'e2'}

    _play(monkeypatch, vms, main)


@pytest.mark.parametrize('vms', [_SMALL, _HUBS])
def test_orders_after_the_store_was_restored(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """No token falls, and no two VMs order within the gap of the lease."""

    async def main(fleet: ModelledFleet) -> None:
        restoration = _Restoration(fleet)
        for version in (2, 3, 4):
            fleet.announce_weights(version)
            await asyncio.sleep(_COPY_AGE_S / 3.0)
        fleet.announce_weights(5)
        await asyncio.sleep(0.3)
        await restoration.run()
        fleet.announce_weights(5)
        fleet.announce_weights(6)
        await fleet.wait_until(
            lambda: all(fleet.engines.is_at(f'e{n}', 6) for n in range(8)),
            9.0,
        )
        orders = fleet.engines.orders
        fences = [order.fence for _, _, order in orders]
        assert fences == sorted(fences)
        for engine in range(8):
            own = [o for o in orders if o[1] == f'e{engine}']
            for before, after in itertools.pairwise(own):
                if before[2].holder != after[2].holder:
                    assert after[0] - before[0] > 0.4
                    assert after[2].fence > before[2].fence

    _play(monkeypatch, vms, main)


def _has_rows(fleet: ModelledFleet) -> bool:
    keys = {key for table, _, key in fleet.state.rows if table == 'fleet'}
    return {f'vm/{name}' for name in fleet.nodes} <= keys


@pytest.mark.parametrize('vms', [_SMALL, _HUBS])
def test_rows_of_vms_that_were_lost(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """VMs that joined after the copy was made write their rows again."""

    async def run(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, vms) as fleet:
            restoration = _Restoration(fleet)
            fleet.start()
            await asyncio.sleep(_STARTED_S)
            assert _has_rows(fleet)
            await restoration.run()
            await fleet.wait_until(lambda: _has_rows(fleet), 5.0)

    timeloop.run(run)


@pytest.mark.parametrize('vms', [_SMALL, _HUBS])
def test_orders_long_after_the_store_was_restored(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The lease is free again, also for VMs that did not read the store."""

    async def main(fleet: ModelledFleet) -> None:
        fleet.announce_weights(2)
        await asyncio.sleep(3.0)
        restoration = _Restoration(fleet)
        await asyncio.sleep(3.0)
        await restoration.run()
        await asyncio.sleep(8.0)
        fleet.announce_weights(3)
        await fleet.wait_until(
            lambda: all(fleet.engines.is_at(f'e{n}', 3) for n in range(8)),
            4.0,
        )

    _play(monkeypatch, vms, main)
