"""Calls of the store by whole fleets, and what VMs know without them.

The fleets run on simulated time: 8 VMs in a mesh, and 77 over hubs.
"""

from __future__ import annotations

import asyncio
import collections
from typing import NamedTuple

from deployments import BOUNDS
from lentilrun.standins import timeloop
from modelledfleets import CHANGE_LIMIT_S
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SINGLE_DATA_CENTRE
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
import pytest

# The first byte of datagrams with rows.
_ROWS_KIND = b'r'


def _is_loaded(fleet: ModelledFleet, version: int) -> bool:
    newest = {name: order.version for _, name, order in fleet.engines.orders}
    return set(newest.values()) == {version} and len(newest) == 8


def test_one_vm_at_a_time_takes_the_lease_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If the holder of the lease loses the store, few VMs ask for it.

    All VMs without a hub's role knew only their hubs as earlier ones, read
    the lease within a second and wrote it at the same moment.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, LARGE_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            fleet.announce_weights(2)
            await fleet.wait_until(lambda: _is_loaded(fleet, 2), 6.0)
            holder = fleet.engines.orders[-1][2].holder
            fleet.stores[holder].rejects = True
            await asyncio.sleep(1.0)
            before = fleet.count_calls()
            fleet.announce_weights(3)
            await fleet.wait_until(lambda: _is_loaded(fleet, 3), 8.0)
            calls = fleet.count_calls() - before
            assert calls['read fleet'] <= 6
            assert calls['write lease'] <= 10

    timeloop.run(main)


@pytest.mark.parametrize('data_centres', [SMALL_FLEET, LARGE_FLEET])
def test_two_vms_follow_the_store(
    data_centres: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A target's row changes each second, and the others get it from two.

    Each VM of a small fleet and each hub of a large one followed the store.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            before = {n: s.calls.copy() for n, s in fleet.stores.items()}
            started_at = loop.time()
            for version in range(2, 12):
                fleet.configure(version)
                fleet.register(f'new{version}')
                await fleet.wait_until(
                    lambda v=version: not fleet.list_behind(v), 0.6
                )
                await asyncio.sleep(1.0)
            calls = {
                name: store.calls - before[name]
                for name, store in fleet.stores.items()
            }
            readers = [calls.pop('a000'), calls.pop('b000')]
            # A reader's calls end with each change, and wait a fifth of the
            # time in which one must be in force: others have to know that it
            # still hears from the store.
            wait = 0.2 * CHANGE_LIMIT_S
            most = 20 + (loop.time() - started_at) / wait
            for counts in readers:
                assert counts.keys() == {'follow op', 'follow servers'}
                assert max(counts.values()) <= most
            # One of the others may just have too old a report at a change.
            assert sum(c.total() for c in calls.values()) <= 10
            targets = {frozenset(n.targets.states) for n in fleet}
            assert len(targets) == 1

    timeloop.run(main)


class _Fault(NamedTuple):
    """What befalls some VMs while a new configuration comes into force.

    ``lost_rows`` is the number of datagrams with rows that are lost on the
    way to each of them.
    """

    names: list[str]
    rejects: bool = False
    hangs: bool = False
    stops: bool = False
    lost_rows: int = 0


# The readers of the large fleet are a000 and b000, its hubs also a001, b001.
@pytest.mark.parametrize(
    'data_centres', [SMALL_FLEET, LARGE_FLEET, SINGLE_DATA_CENTRE]
)
@pytest.mark.parametrize(
    'fault',
    [
        _Fault(['a000'], rejects=True),
        _Fault(['a000'], hangs=True),
        _Fault(['a000', 'b000'], rejects=True),
        _Fault(['a000'], stops=True),
        _Fault(['a000', 'b000'], stops=True),
        _Fault(['a000', 'a001'], stops=True),
        _Fault(['a000', 'c000', 'c001', 'd001'], rejects=True),
        # Rows were relayed once: if they were lost, a VM that the store
        # rejected kept the old configuration.
        _Fault(['c000', 'c001', 'b001'], rejects=True, lost_rows=1),
        _Fault(['a001', 'd000'], rejects=True, lost_rows=2),
        _Fault(['c000', 'c005', 'd007'], rejects=True, lost_rows=1),
        _Fault(['a000', 'a005'], rejects=True, lost_rows=1),
    ],
)
def test_changes_arrive_in_time_despite_a_fault(
    data_centres: dict[str, int],
    fault: _Fault,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A configuration is in force on all VMs within the users' limit."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            names = [n for n in fault.names if n in fleet.nodes]
            lost = collections.Counter()

            def loses(sender: str, recipient: str, data: bytes) -> bool:
                if recipient not in names or data[:1] != _ROWS_KIND:
                    return False
                lost[recipient] += 1
                return lost[recipient] <= fault.lost_rows

            fleet.loses = loses
            for name in names:
                fleet.stores[name].rejects = fault.rejects
                fleet.stores[name].hangs = fault.hangs
                if fault.stops:
                    fleet.stop(name)
            fleet.configure(2)
            limit = BOUNDS.configuration_limit
            await fleet.wait_until(lambda: not fleet.list_behind(2), limit)

    timeloop.run(main)


def test_outage_of_the_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """VMs that are no hubs make few calls, and keep rows that expire.

    Each of them called the store about seven times a table.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, LARGE_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            before = fleet.count_calls()
            fleet.state.faults.is_down = True
            await asyncio.sleep(4.5)
            fleet.state.put('servers', 'e0', None)
            fleet.state.put('servers', 'e1', None)
            fleet.state.faults.is_down = False
            await asyncio.sleep(1.5)
            assert all('e0' in n.targets.states for n in fleet)
            fleet.register('e0')
            await asyncio.sleep(2.5)
            assert all('e0' in n.targets.states for n in fleet)
            assert not any('e1' in n.targets.states for n in fleet)
            calls = fleet.count_calls() - before
            assert calls.total() <= 500

    timeloop.run(main)
