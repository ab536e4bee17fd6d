"""VMs of this build beside those of the build in production.

Both run in one process, on simulated time; each VM is made of the modules
of its own build.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lentilrun.gateway.builds import UNSTATED
from lentilrun.gateway.recent import Origin
from lentilrun.standins import timeloop
from mixedfleets import MixedFleet
from modelledfleets import CHANGE_LIMIT_S
from modelledforwards import ModelledForwards
from modelledtargets import Callers
from modelledtargets import count_most
from modelledtargets import ModelledTargets
from modelledtargets import RESUMABLE_PATH
from modelledtargets import SAFE_PATH
from productionbuild import find_module
import pytest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lentilrun.gateway.node import Node

_SMALL = {'a': 3, 'b': 3, 'c': 2}
_HUBS = dict.fromkeys('abcd', 6)
_STARTED_S = 4.0
# A VM states its build within this time.
_STATED_S = 6.0
_STABLE_S = 2.0
# What the rule for limits allows; it binds after a target first states one.
_LIMIT = 1.0
_NAMED_S = 3.0
_WINDOW_S = 4.0
_MAX_IN_WINDOW = 1.5 * _WINDOW_S * _LIMIT + 5
_TARGETS = 7
_TOKENS = 4000.0
_OUTAGE_S = 2.0


def _is_odd(name: str) -> bool:
    return int(name[1:]) % 2 == 1


def _is_even(name: str) -> bool:
    return int(name[1:]) % 2 == 0


# Hubs are the first VMs of a data centre: of both builds, or of one.
_MIXES = [
    (_SMALL, _is_odd),
    (_SMALL, _is_even),
    (_HUBS, _is_odd),
    (_HUBS, lambda name: int(name[1:]) < 3),
    (_HUBS, lambda name: int(name[1:]) >= 3),
]
_mixes = pytest.mark.parametrize(
    ('vms', 'is_old'),
    _MIXES,
    ids=['odd', 'even', 'odd hubs', 'old hubs', 'new hubs'],
)


def _play(
    monkeypatch: pytest.MonkeyPatch,
    vms: dict[str, int],
    is_old: Callable[[str], bool],
    main: Callable[[MixedFleet, timeloop.TimeLoop], Awaitable[None]],
) -> None:
    async def run(loop: timeloop.TimeLoop) -> None:
        with MixedFleet(loop, monkeypatch, vms, is_old) as fleet:
            for number in range(_TARGETS):
                fleet.register(f'a{number}', service='app')
            fleet.start()
            await asyncio.sleep(_STARTED_S)
            await main(fleet, loop)
            # Neither build sends what the other one can't read or apply.
            assert 'peer_message_unreadable' not in fleet.logged
            assert 'peer_message_failed' not in fleet.logged
            assert 'row_unreadable' not in fleet.logged
            for node in fleet.list_build(is_old=False):
                assert node.peers.unreadable.count == 0

    timeloop.run(run)


def _count_known_use(fleet: MixedFleet) -> set[float]:
    return {
        node.quotas.export_admitted(
            find_module(node, 'gateway.recent').Origin(Origin.REMOTE)
        ).get('workspace', 0.0)
        for node in fleet
    }


@_mixes
def test_quota_counts_the_use_of_both_builds(
    vms: dict[str, int],
    is_old: Callable[[str], bool],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Every VM knows of what all VMs have admitted."""

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        users = [fleet.list_build(is_old=b)[-1] for b in (False, True)]
        for node in users:
            workspace = node.view.configuration.workspaces['workspace']
            node.quotas._add_use(workspace.name, _TOKENS)
        await asyncio.sleep(1.5)
        assert _count_known_use(fleet) == {_TOKENS * len(users)}

    _play(monkeypatch, vms, is_old, main)


@_mixes
def test_builds_are_counted(
    vms: dict[str, int],
    is_old: Callable[[str], bool],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """New VMs see both builds; one that is replaced changes sides."""

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        await asyncio.sleep(_STATED_S)
        new = fleet.list_build(is_old=False)
        own = new[0].build.build
        for node in new:
            known = {n.settings.name for n in new} - {node.settings.name}
            heard = set(node.peers.list_responsive())
            counts = node.builds.count_by_build()
            assert counts[own] == 1 + len(heard & known)
            assert counts.get(UNSTATED, 0.0) == len(heard - known)
        first = fleet.list_build(is_old=True)[0].settings.name
        fleet.stop(first)
        fleet.is_old = lambda name: is_old(name) and name != first
        fleet.replace(first)
        await asyncio.sleep(_STATED_S)
        stated = [
            n.builds.by_peer[first].build
            for n in fleet.list_build(is_old=False)
            if first in n.builds.by_peer
        ]
        assert stated
        assert set(stated) == {own}

    _play(monkeypatch, vms, is_old, main)


@pytest.mark.parametrize('path', [SAFE_PATH, RESUMABLE_PATH])
@pytest.mark.parametrize('is_old', [_is_odd, _is_even])
def test_stated_limit_holds_over_both_builds(
    path: str,
    is_old: Callable[[str], bool],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The VMs of both builds take turns at a target that names a limit."""

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        targets = ModelledTargets(loop, fleet)
        callers = Callers(loop)
        limited = 'a0' if path == SAFE_PATH else 'e0'
        targets.rate_limits[limited] = _LIMIT
        named_at = loop.time()
        await callers.send(list(fleet), 36.0, 20.0, path)
        times = [
            a.at
            for a in targets.arrivals
            if a.target == limited and a.at > named_at + _NAMED_S
        ]
        assert 0 < count_most(times, _WINDOW_S) <= _MAX_IN_WINDOW
        assert {e.status for e in callers.endings} == {0}

    _play(monkeypatch, _SMALL, is_old, main)


@_mixes
def test_crashes_count_over_both_builds(
    vms: dict[str, int],
    is_old: Callable[[str], bool],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Three crashes, of VMs of both builds, quarantine at all VMs."""

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        old, new = (fleet.list_build(is_old=b) for b in (True, False))
        for number, node in enumerate([old[-1], new[-1], old[0]]):
            target = node.targets.states['a1'].target
            node.crashes.record_crash(
                [_make_poison(node)],
                target._replace(started_at_ms=number),
                0.0,
            )
        await fleet.wait_until(
            lambda: all(_is_quarantined(n) for n in fleet), 2.0
        )
        target = new[0].targets.states['a1'].target
        new[0].crashes.record_response([_make_poison(new[0])], target, 0.0)
        await fleet.wait_until(
            lambda: not any(_is_quarantined(n) for n in fleet), 2.0
        )

    _play(monkeypatch, vms, is_old, main)


def _make_poison(node: Node) -> object:
    quarantine = find_module(node, 'decisions.quarantine')
    return quarantine.Suspect(quarantine.SuspectKind.SEGMENT, 'dead')


def _is_quarantined(node: Node) -> bool:
    return node.crashes.is_quarantined([_make_poison(node)])


@pytest.mark.parametrize('is_old', [_is_odd, _is_even])
def test_lease_is_handed_over(
    is_old: Callable[[str], bool], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other build orders weights next, with a larger fencing token."""

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        fleet.announce_weights(2)
        await fleet.wait_until(lambda: _have_all_loaded(fleet, 2), 8.0)
        holder = fleet.engines.orders[-1][2].holder
        assert {o.holder for _, _, o in fleet.engines.orders} == {holder}
        fence = fleet.engines.orders[-1][2].fence
        fleet.stop(holder)
        fleet.announce_weights(3)
        await fleet.wait_until(lambda: _have_all_loaded(fleet, 3), 12.0)
        later = [o for _, _, o in fleet.engines.orders if o.version == 3]
        assert {is_old(o.holder) for o in later} == {not is_old(holder)}
        assert min(o.fence for o in later) > fence

    _play(monkeypatch, {'a': 2}, is_old, main)


def _have_all_loaded(fleet: MixedFleet, version: int) -> bool:
    return all(fleet.engines.is_at(f'e{n}', version) for n in range(8))


@_mixes
def test_store_that_was_restored(
    vms: dict[str, int],
    is_old: Callable[[str], bool],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both builds follow it into its new era, and none goes back."""

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        fleet.configure(2)
        await asyncio.sleep(1.0)
        copy = fleet.state.copy()
        for version in range(3, 9):
            await asyncio.sleep(1.0)
            fleet.configure(version)
        await asyncio.sleep(1.0)
        fleet.state.faults.is_down = True
        await asyncio.sleep(_OUTAGE_S)
        fleet.state.restore(copy)
        fleet.state.faults.is_down = False
        await asyncio.sleep(0.5)
        assert not fleet.list_behind(8)
        fleet.configure(8)
        fleet.configure(9)
        await fleet.wait_until(lambda: not fleet.list_behind(9), _STABLE_S)

    _play(monkeypatch, vms, is_old, main)


@_mixes
def test_rows_removed_while_readers_restart(
    vms: dict[str, int],
    is_old: Callable[[str], bool],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """VMs of this build rely on no reader that does not say what it knows."""

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        readers = ['a000', 'b000']
        for name in readers:
            fleet.stop(name)
        await asyncio.sleep(0.05)
        fleet.state.put('servers', 'a1', None)
        await asyncio.sleep(0.05)
        for name in readers:
            fleet.replace(name)
        fleet.configure(2)
        new = fleet.list_build(is_old=False)
        await fleet.wait_until(
            lambda: (
                not any('a1' in n.targets.states for n in new)
                and all(n.view.configuration.version == 2 for n in new)
            ),
            CHANGE_LIMIT_S,
        )

    _play(monkeypatch, vms, is_old, main)


@_mixes
def test_vms_are_replaced_one_after_the_other(
    vms: dict[str, int],
    is_old: Callable[[str], bool],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Configurations are in force meanwhile, and no use is lost."""

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        before = {n.settings.name for n in fleet.list_build(is_old=True)}
        replaced: set[str] = set()
        fleet.is_old = lambda name: is_old(name) and name not in replaced
        user = fleet.list_build(is_old=False)[-1]
        user.quotas._add_use('workspace', _TOKENS)
        for version, name in enumerate(sorted(before)[:8], start=2):
            fleet.stop(name)
            replaced.add(name)
            fleet.replace(name)
            fleet.configure(version)
            await fleet.wait_until(
                lambda v=version: not fleet.list_behind(v), 5.0
            )
        await asyncio.sleep(1.0)
        for node in fleet:
            workspace = node.view.configuration.workspaces['workspace']
            assert node.quotas.used_tokens(workspace) >= _TOKENS

    _play(monkeypatch, vms, is_old, main)


@pytest.mark.parametrize('path', [SAFE_PATH, RESUMABLE_PATH])
@pytest.mark.parametrize(
    ('cut_off', 'helpers'),
    [
        (('a000', 'b000'), {True, False}),
        # Helpers of the same data centre are asked first.
        (('a001', 'b001'), {False}),
        (('a000', 'a001', 'a002'), {True, False}),
    ],
)
def test_calls_are_forwarded_between_builds(
    cut_off: tuple[str, ...],
    helpers: set[bool],
    path: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """VMs that reach no target let those of both builds pass calls on.

    Some of the others have no port for calls: they are asked in vain.
    """

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        targets = ModelledTargets(loop, fleet)
        forwards = ModelledForwards(loop, fleet)
        forwards.portless = {'c000'}
        callers = Callers(loop)
        targets.cut_off = set(cut_off)
        cut = [fleet.nodes[n] for n in cut_off]
        await callers.send(list(fleet), 40.0, 3.0, path)
        callers.endings.clear()
        forwards.received.clear()
        await callers.send(cut, 40.0, 3.0, path)
        assert {e.status for e in callers.endings} == {0}
        assert {_is_odd(n) for n in forwards.received} == helpers
        assert not forwards.received.keys() & {*cut_off, 'c000'}

    _play(monkeypatch, _SMALL, _is_odd, main)


@pytest.mark.parametrize(
    ('shortened', 'statuses'),
    [
        # This build refuses for a reason for which others are asked.
        (('a002', 'b002'), {0}),
        # The build in production refuses for one that ends the call.
        (('a001', 'b001'), {0, 503}),
    ],
)
def test_calls_with_a_header_that_is_not_understood(
    shortened: tuple[str, ...],
    statuses: set[int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They go elsewhere, or are refused as not run, which is true."""

    async def main(fleet: MixedFleet, loop: timeloop.TimeLoop) -> None:
        targets = ModelledTargets(loop, fleet)
        forwards = ModelledForwards(loop, fleet)
        forwards.shortened = set(shortened)
        callers = Callers(loop)
        targets.cut_off = {'a000', 'b000'}
        cut = [fleet.nodes[n] for n in sorted(targets.cut_off)]
        await callers.send(cut, 40.0, 3.0, SAFE_PATH)
        callers.endings.clear()
        targets.arrivals.clear()
        await callers.send(cut, 40.0, 3.0, SAFE_PATH)
        assert {e.status for e in callers.endings} == statuses
        served = [e for e in callers.endings if not e.status]
        assert len(targets.arrivals) == len(served)

    _play(monkeypatch, _SMALL, _is_odd, main)
