"""Members join, leave, fail and return; all units get assigned again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fleets import declare
from fleets import Fleet
from lentilrun.coordination.shares import UNITS_PER_BUCKET
from lentilrun.standins import timeloop
import pytest

if TYPE_CHECKING:
    from lentilrun.standins.timeloop import TimeLoop


def _is_settled(fleet: Fleet, names: list[str]) -> bool:
    members = [fleet.members[n] for n in names]
    rosters = {m.state.roster.names() for m in members}
    held = sum(m.state.shares.count_units().get('solo', 0) for m in members)
    return rosters == {frozenset(names)} and held == UNITS_PER_BUCKET


async def _wait_until_settled(
    fleet: Fleet, names: list[str], seconds: float
) -> bool:
    ends_at = fleet.loop.time() + seconds
    while fleet.loop.time() < ends_at:
        if _is_settled(fleet, names):
            return True
        await asyncio.sleep(0.1)
    return False


@pytest.mark.parametrize('count', [2, 3, 8])
@pytest.mark.parametrize('seed', range(10))
def test_all_join_at_once(seed: int, count: int) -> None:
    """All join in 10 s, whatever the timing of starts and first change."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 0, seed)
        fleet.names = [f'vm{i}' for i in range(1, count + 1)]
        for name in fleet.names:
            fleet.start(name)
            await asyncio.sleep(fleet.network.random.random() * 0.2)
        await asyncio.sleep(fleet.network.random.random() * 0.5)
        while await fleet.try_apply(declare()):
            await asyncio.sleep(0.05)
        assert await _wait_until_settled(fleet, fleet.names, 10.0)

    timeloop.run(main)


@pytest.mark.parametrize(
    ('down', 'stagger', 'serves'),
    [
        (False, 0.0, True),
        (False, 0.1, True),
        # Each gets the state from members that have not restarted yet.
        (True, 0.1, True),
        # One running member is no majority, and the others can't vouch.
        (True, 0.0, False),
    ],
)
def test_a_herd_restarts(down: bool, stagger: float, serves: bool) -> None:
    """All members but one restart, with and without the store."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 8)
        await fleet.settle()
        await fleet.apply(declare())
        await fleet.settle()
        fleet.set_table(down)
        for name in fleet.names[1:]:
            fleet.restart(name)
            fleet.members[name].table.is_down = down
            await asyncio.sleep(stagger)
        await fleet.settle(10.0)
        assert set(fleet.fresh().values()) == {serves}
        fleet.set_table(False)
        await fleet.settle(3.0)
        assert all(fleet.fresh().values())
        assert await _wait_until_settled(fleet, fleet.names, 7.0)
        assert fleet.generations() == [1] * 8

    timeloop.run(main)


@pytest.mark.parametrize('count', [3, 8])
def test_restarts_one_by_one_without_the_store(count: int) -> None:
    """VMs restart in turn while the store is down; all stay fresh."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, count)
        await fleet.settle()
        await fleet.apply(declare())
        await fleet.settle()
        fleet.set_table(True)
        await fleet.settle()
        for name in fleet.names:
            fleet.restart(name)
            fleet.members[name].table.is_down = True
            await fleet.settle(4.0)
            assert all(fleet.fresh().values()), name
        assert await _wait_until_settled(fleet, fleet.names, 10.0)

    timeloop.run(main)


def test_the_dead_are_removed_and_come_back() -> None:
    """Units of a failed member go to others, and back when it returns."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 6)
        await fleet.settle()
        await fleet.apply(declare())
        await fleet.settle()
        fleet.members['vm3'].kill()
        others = [n for n in fleet.names if n != 'vm3']
        assert await _wait_until_settled(fleet, others, 15.0)
        fleet.restart('vm3')
        assert await _wait_until_settled(fleet, fleet.names, 15.0)

    timeloop.run(main)


def test_a_graceful_leave_hands_over_at_once() -> None:
    """Units of a leaving member are granted without the removal wait."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 6)
        await fleet.settle()
        await fleet.apply(declare())
        await fleet.settle()
        member = fleet.members['vm3']
        await member.run(member.membership.leave())
        member.kill()
        others = [n for n in fleet.names if n != 'vm3']
        assert await _wait_until_settled(fleet, others, 6.0)

    timeloop.run(main)
