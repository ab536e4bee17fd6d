"""No workspace exceeds its rate and burst, summed over all VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import TYPE_CHECKING

from fleets import declare
from fleets import find_excess
from fleets import Fleet
from fleets import Taken
from lentilrun.fleet.state import MEMBERS_TOPIC
from lentilrun.standins import timeloop
import pytest

if TYPE_CHECKING:
    from lentilrun.standins.timeloop import TimeLoop

_RATE_TOKENS_PER_S = 1000.0
_BURST_TOKENS = 2000.0
_REQUEST_TOKENS = 40.0
_LOAD_S = 60.0
_TOLERANCE_TOKENS = 1e-3
_FaultAction = Callable[[Fleet], Awaitable[None]]


class _Load:
    """Sends requests to members, as a load balancer distributes them."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.spent: list[Taken] = []
        self.refused = 0
        self.stale = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, names: list[str], rate: float, seconds: float) -> None:
        """Send requests of ``rate`` tokens per second to members."""
        loop = self.fleet.loop
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(
                self.random.expovariate(rate / _REQUEST_TOKENS)
            )
            name = self.random.choice(names)
            request = self._send(name)
            task = self.fleet.members[name].run(request)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for the requests in flight."""
        while self._tasks:
            await asyncio.sleep(0.1)

    async def _send(self, name: str) -> None:
        member = self.fleet.members[name]
        if not member.state.is_fresh():
            self.stale += 1
            return
        success = await member.lending.spend('solo', _REQUEST_TOKENS)
        # The daemon also checks freshness again right before dispatch.
        if success and member.state.is_fresh():
            now = self.fleet.loop.time()
            self.spent.append(Taken(now, _REQUEST_TOKENS))
        elif not success:
            self.refused += 1

    def excess(self) -> float:
        """Return the largest excess in tokens over any window."""
        return find_excess(self.spent, _RATE_TOKENS_PER_S, _BURST_TOKENS)

    def refused_share(self) -> float:
        """Return the share of requests refused because of the rate."""
        return self.refused / max(1, self.refused + len(self.spent))


async def _start(loop: TimeLoop, count: int, seed: int) -> Fleet:
    fleet = Fleet(loop, count, seed)
    await fleet.settle()
    await fleet.apply(declare(_RATE_TOKENS_PER_S, _BURST_TOKENS))
    await fleet.settle()
    return fleet


async def _do_nothing(fleet: Fleet) -> None:
    await asyncio.sleep(0)


async def _kill(fleet: Fleet) -> None:
    fleet.members['vm2'].kill()


async def _restart(fleet: Fleet) -> None:
    fleet.restart('vm2')


async def _restart_all(fleet: Fleet) -> None:
    for name in fleet.names:
        fleet.restart(name)
        await asyncio.sleep(0.05)


async def _pause(fleet: Fleet) -> None:
    fleet.members['vm2'].gate.pause()
    await asyncio.sleep(50.0)
    fleet.members['vm2'].gate.resume()


async def _cut(fleet: Fleet) -> None:
    fleet.network.partition({'vm2'}, set(fleet.names))
    fleet.set_table(True, ['vm2'])
    await asyncio.sleep(50.0)
    fleet.network.heal()
    fleet.set_table(False)


async def _cut_peers_only(fleet: Fleet) -> None:
    fleet.network.partition({'vm2'}, set(fleet.names))
    await asyncio.sleep(20.0)
    fleet.network.heal()


async def _cut_then_lose_store(fleet: Fleet) -> None:
    # vm2 reads the store until the others are about to remove it.
    fleet.network.partition({'vm2'}, set(fleet.names))
    state = fleet.members['vm1'].state
    while 'vm2' in state.roster.names():
        await asyncio.sleep(0.001)
        if 'vm2' not in state.roster.names():
            break
        pending = state.topics[MEMBERS_TOPIC].newest_pending_generation()
        if pending:
            fleet.set_table(True, ['vm2'])
    await asyncio.sleep(20.0)
    fleet.network.heal()
    fleet.set_table(False)


async def _stop_store(fleet: Fleet) -> None:
    fleet.set_table(True)
    await asyncio.sleep(20.0)
    fleet.restart('vm3')
    await asyncio.sleep(5.0)
    fleet.set_table(False)


async def _lose_messages(fleet: Fleet) -> None:
    fleet.network.loss_share = 0.2
    fleet.network.duplicate_share = 0.2


async def _leave(fleet: Fleet) -> None:
    member = fleet.members['vm2']
    await member.run(member.membership.leave())
    member.kill()

    # Faults that keep shares of the bucket from being spent for some time.


_COSTLY = frozenset(('herd', 'losses', 'store down'))
_FAULTS: dict[str, _FaultAction] = {
    'nothing': _do_nothing,
    'kill': _kill,
    'restart': _restart,
    'herd': _restart_all,
    'pause': _pause,
    'cut': _cut,
    'cut from peers': _cut_peers_only,
    'cut, then no store': _cut_then_lose_store,
    'store down': _stop_store,
    'losses': _lose_messages,
    'leave': _leave,
}


@pytest.mark.parametrize('seed', [1])
@pytest.mark.parametrize('fault', sorted(_FAULTS))
def test_never_above_rate_and_burst(fault: str, seed: int) -> None:
    """At three times the rate, no window exceeds the limit in any fault."""

    async def main(loop: TimeLoop) -> None:
        fleet = await _start(loop, 6, seed)
        load = _Load(fleet, seed)
        sending = asyncio.ensure_future(
            load.run(fleet.names, 3.0 * _RATE_TOKENS_PER_S, _LOAD_S)
        )
        await asyncio.sleep(5.0)
        await _FAULTS[fault](fleet)
        await sending
        await load.finish()
        assert load.excess() <= _TOLERANCE_TOKENS
        # The rate is also used up, except for what the fault makes unusable.
        total = sum(t.amount for t in load.spent)
        min_share = 0.7 if fault in _COSTLY else 0.95
        assert total >= min_share * (
            _RATE_TOKENS_PER_S * _LOAD_S + _BURST_TOKENS
        )

    timeloop.run(main)


@pytest.mark.parametrize('places', ['one', 'all', 'moving'])
@pytest.mark.parametrize('seed', [1, 2])
def test_refused_though_within_rate(places: str, seed: int) -> None:
    """At 80% of the rate, at any VMs, less than 0.1% is refused."""

    async def main(loop: TimeLoop) -> None:
        fleet = await _start(loop, 8, seed)
        load = _Load(fleet, seed)
        names_by_phase = {
            'one': [['vm3']] * 8,
            'all': [fleet.names] * 8,
            'moving': [[name] for name in fleet.names],
        }
        for names in names_by_phase[places]:
            await load.run(names, 0.8 * _RATE_TOKENS_PER_S, 8.0)
        await load.finish()
        assert load.excess() <= _TOLERANCE_TOKENS
        assert load.refused_share() < 0.001

    timeloop.run(main)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('fault', ['kill', 'restart', 'pause', 'leave'])
def test_refused_with_one_vm_lost(fault: str, seed: int) -> None:
    """With one VM lost, less than 2% at the other VMs is refused."""

    async def main(loop: TimeLoop) -> None:
        fleet = await _start(loop, 8, seed)
        load = _Load(fleet, seed)
        others = [n for n in fleet.names if n != 'vm2']
        sending = asyncio.ensure_future(
            load.run(others, 0.8 * _RATE_TOKENS_PER_S, 60.0)
        )
        await asyncio.sleep(5.0)
        await _FAULTS[fault](fleet)
        await sending
        await load.finish()
        assert load.excess() <= _TOLERANCE_TOKENS
        assert load.refused_share() < 0.02

    timeloop.run(main)


@pytest.mark.parametrize('way', ['pause', 'restart'])
def test_a_vm_that_comes_back_is_lent_to(way: str) -> None:
    """A VM without units and recent heartbeats serves from loans."""

    async def main(loop: TimeLoop) -> None:
        fleet = await _start(loop, 4, 1)
        load = _Load(fleet, 1)
        if way == 'pause':
            fleet.members['vm2'].gate.pause()
            await asyncio.sleep(15.0)
            fleet.members['vm2'].gate.resume()
        else:
            fleet.restart('vm2')
            # Its connections to the others take longer than its table reads.
        fleet.network.partition({'vm2'}, set(fleet.names))
        loop.call_later(0.6, fleet.network.heal)
        while not fleet.members['vm2'].state.is_fresh():
            await asyncio.sleep(0.001)
        await load.run(['vm2'], 0.5 * _RATE_TOKENS_PER_S, 5.0)
        await load.finish()
        assert len(load.spent) > 20
        assert load.refused == 0

    timeloop.run(main)


@pytest.mark.parametrize('count', [3, 4, 7, 8])
def test_loans_add_up_to_what_is_needed(count: int) -> None:
    """A VM without units can borrow any amount that its peers have."""

    async def main(loop: TimeLoop) -> None:
        fleet = await _start(loop, count, 1)
        member = fleet.members['vm2']
        member.state.respondent.retire()
        amounts = [1.0, 1013.0, 762.0, 0.1, 0.7, *range(1, 60)]
        for amount in amounts:
            assert await member.lending.spend('solo', float(amount)), amount
            await asyncio.sleep(1.2)

    timeloop.run(main)


def test_a_lowered_rate_holds_everywhere() -> None:
    """No window exceeds a lowered rate once it is in force."""

    async def main(loop: TimeLoop) -> None:
        fleet = await _start(loop, 6, 1)
        load = _Load(fleet, 1)
        sending = asyncio.ensure_future(
            load.run(fleet.names, 3.0 * _RATE_TOKENS_PER_S, 30.0)
        )
        await asyncio.sleep(10.0)
        await fleet.apply(declare(100.0, 200.0))
        await asyncio.sleep(6.0)
        in_force_at = loop.time()
        await sending
        after_change = [t for t in load.spent if t.at >= in_force_at]
        assert find_excess(after_change, 100.0, 200.0) <= _TOLERANCE_TOKENS

    timeloop.run(main)
