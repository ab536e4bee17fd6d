"""What all VMs know of each other's use after they started together."""

from __future__ import annotations

import asyncio

from deployments import BOUNDS
from lentilrun.gateway import peers
from lentilrun.gateway.recent import Origin
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
import pytest

_FLEET = dict.fromkeys('abcd', 19)
_TOKENS = 4000.0


def _count_known_use(fleet: ModelledFleet) -> set[float]:
    return {
        node.quotas.export_admitted(Origin.REMOTE).get('workspace', 0.0)
        for node in fleet
    }


@pytest.mark.parametrize('users', [['a005', 'c005'], ['a000', 'b001', 'd007']])
def test_use_is_known_while_all_vms_start(
    users: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """After all VMs restart, each data centre knows of the others' use.

    For three seconds hubs sent no sums, so that each data centre admitted
    a workspace's whole quota.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, _FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(1.2)
            for name in users:
                node = fleet.nodes[name]
                workspace = node.view.configuration.workspaces['workspace']
                node.quotas._add_use(workspace.name, _TOKENS)
            await asyncio.sleep(1.0)
            assert node.peers.is_starting()
            assert _count_known_use(fleet) == {_TOKENS * len(users)}
            # It counts once when the usual messages follow.
            await asyncio.sleep(peers.STARTING_S)
            assert _count_known_use(fleet) == {_TOKENS * len(users)}

    timeloop.run(main)


_USERS = ('a005', 'b007', 'c005', 'd003')
_USE_INTERVAL_S = 0.1
_USE_TOKENS = 1200.0


async def _use_quota(
    fleet: ModelledFleet, seconds: float, factor: float = 1.0
) -> float:
    """Let some VMs admit tokens at a steady rate; return their sum."""
    rounds = round(seconds / _USE_INTERVAL_S)
    for _ in range(rounds):
        for name in _USERS:
            fleet.nodes[name].quotas._add_use(
                'workspace', factor * _USE_TOKENS
            )
        await asyncio.sleep(_USE_INTERVAL_S)
    return rounds * len(_USERS) * factor * _USE_TOKENS


def _list_used(fleet: ModelledFleet) -> list[float]:
    return [
        n.quotas.used_tokens(n.view.configuration.workspaces['workspace'])
        for n in fleet
    ]


def test_all_use_counts_while_all_vms_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No VM counts less than what all VMs have admitted since the start."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, _FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(1.2)
            used = await _use_quota(fleet, 4.5)
            await asyncio.sleep(1.0)
            assert min(_list_used(fleet)) >= used

    timeloop.run(main)


async def _start_one_by_one(fleet: ModelledFleet, pause: float) -> None:
    """Start all VMs, with a pause between them; let them find each other."""
    for name in list(fleet.nodes):
        fleet.start(name)
        await asyncio.sleep(pause)
    await asyncio.sleep(1.2)


@pytest.mark.parametrize('pause', [0.0003, 0.0007, 0.0011, 0.0033])
def test_all_use_counts_as_vms_start_one_after_the_other(
    pause: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It does too if some VMs start a few milliseconds later."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, _FLEET) as fleet:
            await _start_one_by_one(fleet, pause)
            used = await _use_quota(fleet, 4.5)
            await asyncio.sleep(1.0)
            assert min(_list_used(fleet)) >= used

    timeloop.run(main)


def test_use_up_to_a_restart_of_all_vms_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What was admitted after the last checkpoint is assumed.

    The use in a checkpoint of a hub lags what the other VMs admitted.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, _FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(10.0)
            used = await _use_quota(fleet, 7.0)
            for name in fleet.nodes:
                fleet.stop(name)
            await asyncio.sleep(0.3)
            for name in fleet.nodes:
                fleet.replace(name)
            await asyncio.sleep(0.5)
            assert min(_list_used(fleet)) >= used
            assert max(_list_used(fleet)) <= 1.25 * used

    timeloop.run(main)


async def _restart(fleet: ModelledFleet, pause: float) -> None:
    """Stop all VMs at once, and start new processes after a pause."""
    for name in fleet.nodes:
        fleet.stop(name)
    await asyncio.sleep(pause)
    for name in fleet.nodes:
        fleet.stores[name].hangs = False
        fleet.replace(name)
    await asyncio.sleep(0.5)


@pytest.mark.parametrize('burst', [0.4, 0.7, 1.0, 1.3])
@pytest.mark.parametrize(('pause', 'is_writer_cut'), [(0.3, 0), (1.2, 1)])
def test_use_after_an_old_checkpoint_counts(
    burst: float,
    pause: float,
    is_writer_cut: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A workspace got more than its quota as all VMs restarted.

    Of its last second, the writer of the checkpoint knew a part only, and
    what ran after it was assumed at that rate, for 1.2 s at most.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, _FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(10.0)
            used = await _use_quota(fleet, 5.6)
            used += await _use_quota(fleet, 0.4, 3.0)
            if is_writer_cut:
                writer = fleet.peers('a000').list_lease_candidates()[0]
                fleet.stores[writer].hangs = True
            used += await _use_quota(fleet, burst, 3.0)
            await _restart(fleet, pause)
            allowed = fleet.nodes['a000'].quotas._window('workspace')
            assert min(_list_used(fleet)) >= min(used, allowed.count_allowed())

    timeloop.run(main)


# Of the use that is assumed before a start, the last two seconds' share is
# in the window still.
_ASSUMED_SECONDS = 2


@pytest.mark.parametrize('pause', [0.0, 0.0003, 0.0033])
def test_use_counts_once_while_all_vms_start(
    pause: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All VMs count the same use, and none of it twice."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, _FLEET) as fleet:
            await _start_one_by_one(fleet, pause)
            window = fleet.nodes['a000'].quotas._windows['workspace']
            share = _ASSUMED_SECONDS / BOUNDS.quota_window
            assumed = 0.5 * window.entitlement() * share
            used = await _use_quota(fleet, 4.5)
            await asyncio.sleep(1.0)
            assert min(_list_used(fleet)) >= used
            assert max(_list_used(fleet)) <= used + assumed

    timeloop.run(main)


@pytest.mark.parametrize('name', ['a000', 'a001', 'b008', 'd018'])
def test_use_counts_for_a_vm_that_restarts(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A VM that restarts alone counts what the others admit meanwhile."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, _FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(10.0)
            used = await _use_quota(fleet, 2.0)
            fleet.stop(name)
            used += await _use_quota(fleet, 0.3)
            fleet.replace(name)
            used += await _use_quota(fleet, 4.0)
            await asyncio.sleep(1.0)
            assert min(_list_used(fleet)) >= used
            assert max(_list_used(fleet)) <= 1.25 * used

    timeloop.run(main)
