"""A change is accepted once, gets into force everywhere and stays."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fleets import declare
from fleets import Fleet
from lentilrun.errors import Code
from lentilrun.fleet.state import CONFIGURATION_TOPIC
from lentilrun.standins import timeloop
import pytest

if TYPE_CHECKING:
    from lentilrun.standins.timeloop import TimeLoop

_IN_FORCE_S = 6.0


@pytest.mark.parametrize('count', [1, 3, 6, 8])
def test_in_force_everywhere(count: int) -> None:
    """Every member acts on a change within ``_IN_FORCE_S``."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, count)
        await fleet.settle()
        await fleet.apply(declare())
        await fleet.settle(_IN_FORCE_S)
        assert fleet.generations() == [1] * count
        assert all(fleet.fresh().values())

    timeloop.run(main)


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_lost_answers_change_nothing_twice(lost: int) -> None:
    """A write whose response was lost is recognised by reading back."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 3)
        await fleet.settle()
        fleet.members['vm1'].table.lost_responses = lost
        assert await fleet.apply(declare(), operation='once') == 1
        await fleet.settle(_IN_FORCE_S)
        assert fleet.generations() == [1] * 3

    timeloop.run(main)


def test_lost_announcements_are_repeated() -> None:
    """A change is made although half of all messages are lost."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 6)
        await fleet.settle()
        fleet.network.loss_share = 0.5
        for generation in range(1, 11):
            assert await fleet.apply(declare()) == generation
        await fleet.settle(_IN_FORCE_S)
        assert fleet.generations() == [10] * 6

    timeloop.run(main)


@pytest.mark.parametrize('seed', range(8))
def test_racing_operators_end_in_one_conflict(seed: int) -> None:
    """Of two changes to the same generation exactly one is accepted."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 6, seed)
        await fleet.settle()
        codes = await asyncio.gather(
            fleet.try_apply(declare(100.0), 'vm1'),
            fleet.try_apply(declare(200.0), 'vm4'),
        )
        await fleet.settle(_IN_FORCE_S)
        assert sorted(codes) == ['', Code.CONFLICT]
        assert fleet.generations() == [1] * 6
        rates = {
            m.state.configuration.workspaces['solo'].rate
            for m in fleet.members.values()
        }
        assert rates == {100.0 if not codes[0] else 200.0}

    timeloop.run(main)


def test_a_killed_committer_is_not_missed() -> None:
    """All get a change whose author was killed right after the commit."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 6)
        await fleet.settle()
        await fleet.apply(declare(100.0))
        await fleet.settle()
        member = fleet.members['vm1']
        topic = member.state.topics[CONFIGURATION_TOPIC]
        announce = topic.propose('last', topic.value.body)
        await topic.commit('last', announce.value)
        member.kill()
        await fleet.settle(_IN_FORCE_S)
        assert fleet.generations()[1:] == [2] * 5

    timeloop.run(main)


def test_store_lost_right_after_commit() -> None:
    """Peers distribute a commit although the store is lost after it."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 6)
        await fleet.settle()
        fleet.set_table(True, fleet.names[1:])
        await fleet.settle()
        await fleet.apply(declare())
        fleet.set_table(True)
        await fleet.settle(_IN_FORCE_S)
        assert fleet.generations() == [1] * 6
        await fleet.settle(120.0)
        assert all(fleet.fresh().values())
        assert fleet.generations() == [1] * 6

    timeloop.run(main)


def test_a_paused_daemon_wakes_up_stale() -> None:
    """A daemon paused during a change is stale until it has the change."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 6)
        await fleet.settle()
        await fleet.apply(declare(100.0))
        await fleet.settle()
        paused = fleet.members['vm6']
        paused.gate.pause()
        await fleet.settle(4.0)
        await fleet.apply(declare(200.0))
        await fleet.settle(4.0)
        assert not paused.state.is_fresh()
        paused.gate.resume()
        while not paused.state.is_fresh():
            await asyncio.sleep(0.01)
        assert paused.state.configuration_generation() == 2

    timeloop.run(main)


@pytest.mark.parametrize('minority', [1, 2, 3])
def test_a_cut_minority_stops(minority: int) -> None:
    """Members without store and majority stop, the others continue."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 7)
        await fleet.settle()
        await fleet.apply(declare(100.0))
        await fleet.settle()
        minority_names = set(fleet.names[:minority])
        majority_names = set(fleet.names) - minority_names
        fleet.network.partition(minority_names, majority_names)
        fleet.set_table(True, sorted(minority_names))
        await fleet.settle(_IN_FORCE_S)
        fresh = fleet.fresh()
        assert not any(fresh[n] for n in minority_names)
        assert all(fresh[n] for n in majority_names)
        await fleet.apply(declare(200.0), sorted(majority_names)[0])
        fleet.network.heal()
        fleet.set_table(False)
        await fleet.settle(_IN_FORCE_S)
        assert fleet.generations() == [2] * 7
        assert all(fleet.fresh().values())

    timeloop.run(main)


def test_a_change_that_no_majority_hears_is_not_made() -> None:
    """No change without a majority; members without the store continue."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 7)
        await fleet.settle()
        await fleet.apply(declare(100.0))
        await fleet.settle()
        table_readers = {'vm1', 'vm2'}
        others = set(fleet.names) - table_readers
        fleet.network.partition(table_readers, others)
        fleet.set_table(True, sorted(others))
        await fleet.settle(4.0)
        code = await fleet.try_apply(declare(200.0), 'vm1')
        assert code == Code.MAJORITY_MISSING
        await fleet.settle(_IN_FORCE_S)
        assert fleet.generations() == [1] * 7
        assert all(fleet.members[n].state.is_fresh() for n in others)

    timeloop.run(main)


def test_a_change_in_doubt_binds_those_without_the_store() -> None:
    """While a lower rate may be committed, the lower of both applies."""

    async def main(loop: TimeLoop) -> None:
        fleet = Fleet(loop, 3)
        await fleet.settle()
        await fleet.apply(declare(1000.0))
        await fleet.settle()
        fleet.set_table(True, ['vm2', 'vm3'])
        await fleet.settle(4.0)
        member = fleet.members['vm1']
        topic = member.state.topics[CONFIGURATION_TOPIC]
        text = declare(10.0).encode()
        change = fleet.apply(text.decode(), 'vm1')
        task = asyncio.ensure_future(change)
        await asyncio.sleep(0.0025)
        member.kill()
        await fleet.settle(2.0)
        task.cancel()
        for name in ('vm2', 'vm3'):
            limit = fleet.members[name].state.shares.get_limit('solo')
            assert limit is not None
            assert limit.rate == 10.0
        assert topic.value.generation == 1

    timeloop.run(main)
