"""Requests that crash targets stay known when all VMs restart."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.decisions.quarantine import Suspect
from lentilrun.decisions.quarantine import SuspectKind
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
import pytest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
_SUSPECTS = [Suspect(SuspectKind.REQUEST, 'fingerprint')]
_FIRST, _SECOND = 'a000', 'b000'
_RESTART_S = 0.5
_SAVED_S = 0.5
_TAKEOVER_S = 2.5
_QUARANTINE_S = 300.0


class _Play(NamedTuple):
    """A running fleet, with ``crash`` and ``respond`` as a target does."""

    loop: timeloop.TimeLoop
    fleet: ModelledFleet

    def crash(self, vm: str, *targets: str) -> None:
        """Let targets crash under the request that a VM sent to them."""
        node = self.fleet.nodes[vm]
        for target in targets:
            state = node.targets.states[target]
            node.crashes.record_crash(
                _SUSPECTS, state.target, self.loop.time()
            )

    def respond(self, vm: str, target: str, suspects: list[Suspect]) -> None:
        """Let a target respond to a request that a VM sends now."""
        node = self.fleet.nodes[vm]
        node.crashes.record_response(
            suspects, node.targets.states[target].target, self.loop.time()
        )

    async def restart_all(self) -> None:
        """Kill all VMs at one moment and start them again."""
        names = [n.settings.name for n in self.fleet]
        for name in names:
            self.fleet.stop(name)
        await asyncio.sleep(_RESTART_S)
        for name in names:
            self.fleet.replace(name)
        await asyncio.sleep(STARTED_S)

    def count_refusing(self) -> int:
        """Return how many VMs refuse the request."""
        return sum(n.crashes.is_quarantined(_SUSPECTS) for n in self.fleet)

    def list_rows(self) -> list[str]:
        """Return the keys of the rows in the store."""
        rows = self.fleet.state.rows.values()
        return [
            r.key for r in rows if r.key.startswith('crashes/') and r.value
        ]


def _play(
    monkeypatch: pytest.MonkeyPatch,
    main: Callable[[_Play], Awaitable[None]],
) -> None:
    async def run(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, SMALL_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            await main(_Play(loop, fleet))

    timeloop.run(run)


@pytest.mark.parametrize('restarts', [1, 2, 3])
@pytest.mark.parametrize('before', [2, 3])
def test_crashes_count_after_restarts(
    before: int, restarts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that crashes targets anew after each kill."""

    async def main(play: _Play) -> None:
        play.crash(_FIRST, *[f'e{n}' for n in range(before)])
        await asyncio.sleep(_SAVED_S)
        for _ in range(restarts):
            await play.restart_all()
        if before < 3:
            assert not play.count_refusing()
            play.crash(_SECOND, 'e7')
            await asyncio.sleep(_SAVED_S)
        assert play.count_refusing() == len(play.fleet.stores)

    _play(monkeypatch, main)


class _StoreCase(NamedTuple):
    """The VMs whose calls to the store fail, and how they do."""

    vms: tuple[str, ...]
    hangs: bool
    # Whether the store answers them again before all VMs are killed.
    is_back: bool


@pytest.mark.parametrize(
    'case',
    [
        _StoreCase((_FIRST,), False, False),
        _StoreCase((_FIRST,), True, False),
        _StoreCase(('a000', 'b000', 'c000', 'd000'), False, False),
        _StoreCase((), False, True),
        _StoreCase((), True, True),
    ],
)
def test_store_fails_as_a_target_crashes(
    case: _StoreCase, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a crash that is not saved as the store was away."""

    async def main(play: _Play) -> None:
        stores = [
            s
            for n, s in play.fleet.stores.items()
            if n in case.vms or not case.vms
        ]
        for store in stores:
            store.hangs, store.rejects = case.hangs, not case.hangs
        await asyncio.sleep(_TAKEOVER_S)
        play.crash(_FIRST, 'e0', 'e1', 'e2')
        await asyncio.sleep(_TAKEOVER_S)
        if case.is_back:
            for store in stores:
                store.hangs = store.rejects = False
            await asyncio.sleep(_TAKEOVER_S)
        await play.restart_all()
        assert play.count_refusing() == len(play.fleet.nodes)

    _play(monkeypatch, main)


@pytest.mark.parametrize('responds_after_restart', [False, True])
def test_response_clears_what_is_saved(
    responds_after_restart: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a sound request that is refused after a restart."""

    async def main(play: _Play) -> None:
        play.crash(_FIRST, 'e0', 'e1', 'e2')
        await asyncio.sleep(_TAKEOVER_S)
        if responds_after_restart:
            await play.restart_all()
            assert play.count_refusing()
        play.respond(_SECOND, 'e5', _SUSPECTS)
        await asyncio.sleep(_TAKEOVER_S)
        assert not play.list_rows()
        await play.restart_all()
        assert not play.count_refusing()

    _play(monkeypatch, main)


def test_target_that_had_not_crashed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a wrong conviction that a restart preserves."""

    async def main(play: _Play) -> None:
        play.crash(_FIRST, 'e0', 'e1', 'e2')
        await asyncio.sleep(_TAKEOVER_S)
        await play.restart_all()
        # The same start of the target answers another request.
        play.respond(_SECOND, 'e1', [])
        await asyncio.sleep(_TAKEOVER_S)
        assert not play.count_refusing()
        await play.restart_all()
        assert not play.count_refusing()

    _play(monkeypatch, main)


def test_saved_crashes_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a conviction that restarts renew, and rows that stay."""

    async def main(play: _Play) -> None:
        play.crash(_FIRST, 'e0', 'e1', 'e2')
        crashed_at = play.loop.time()
        await asyncio.sleep(_TAKEOVER_S)
        while play.loop.time() < crashed_at + _QUARANTINE_S - 60.0:
            await play.restart_all()
            assert play.count_refusing() == len(play.fleet.stores)
            await asyncio.sleep(50.0)
        await asyncio.sleep(crashed_at + _QUARANTINE_S - play.loop.time())
        await play.restart_all()
        assert not play.count_refusing()
        await asyncio.sleep(_TAKEOVER_S)
        assert not play.list_rows()

    _play(monkeypatch, main)


def test_single_restarts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against VMs that renew a conviction as others start."""

    async def main(play: _Play) -> None:
        play.crash(_FIRST, 'e0', 'e1', 'e2')
        crashed_at = play.loop.time()
        while play.loop.time() < crashed_at + _QUARANTINE_S:
            for node in list(play.fleet):
                await asyncio.sleep(5.0)
                name = node.settings.name
                play.fleet.stop(name)
                play.fleet.replace(name)
        await asyncio.sleep(STARTED_S)
        assert not play.count_refusing()

    _play(monkeypatch, main)


@pytest.mark.parametrize('is_cleared', [False, True])
def test_store_is_restored(
    is_cleared: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against rows that a copy lacks, or has although cleared."""

    async def main(play: _Play) -> None:
        copy = play.fleet.state.copy()
        play.crash(_FIRST, 'e0', 'e1', 'e2')
        await asyncio.sleep(_TAKEOVER_S)
        if is_cleared:
            copy = play.fleet.state.copy()
            play.respond(_SECOND, 'e5', _SUSPECTS)
            await asyncio.sleep(_TAKEOVER_S)
        play.fleet.state.restore(copy)
        await asyncio.sleep(2 * _TAKEOVER_S)
        await play.restart_all()
        expected = 0 if is_cleared else len(play.fleet.stores)
        assert play.count_refusing() == expected

    _play(monkeypatch, main)


@pytest.mark.parametrize(
    ('crashes', 'calls'), [(0, 0), (1, 0), (2, 2), (4, 4)]
)
def test_store_calls(
    crashes: int, calls: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The store is called for requests that crash targets only."""

    async def main(play: _Play) -> None:
        for number in range(crashes):
            play.crash(_FIRST, f'e{number}')
            await asyncio.sleep(0.1)
        await asyncio.sleep(60.0)
        assert play.fleet.count_calls()['write crashes'] <= calls

    _play(monkeypatch, main)


@pytest.mark.parametrize(
    'value', [b'', b'{', b'[1]', b'[["a"],"x"]', b'[["a","b","c"],1e99]']
)
def test_unreadable_row(value: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a row of another writer that stops a VM."""

    async def main(play: _Play) -> None:
        play.fleet.state.put('fleet', 'crashes/other', value)
        await play.restart_all()
        assert all(n.discovery.has_read for n in play.fleet)
        play.crash(_FIRST, 'e0', 'e1', 'e2')
        await asyncio.sleep(_TAKEOVER_S)
        assert play.list_rows() == ['crashes/fingerprint']

    _play(monkeypatch, main)
