"""An evacuated data centre gets no requests until operators end it."""

from __future__ import annotations

import asyncio
import collections
import json
import os
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
from modelledforwards import ModelledForwards
from modelledtargets import Arrival
from modelledtargets import Callers
from modelledtargets import ModelledTargets
from modelledtargets import RESUMABLE_PATH
from modelledtargets import SAFE_PATH
import pytest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import pathlib

# The limit of the known deployment, from the acknowledgement of the row.
_LIMIT_S = 5.0
_UNAVAILABLE = 503
_RATE_PER_S = 40.0
# Targets of each service in each of the data centres 'a' and 'b'.
_TARGETS = 3
_SMALL_AND_LARGE = pytest.mark.parametrize('vms', [SMALL_FLEET, LARGE_FLEET])


class _Play(NamedTuple):
    """A running fleet; the names of targets begin with their data centre."""

    loop: timeloop.TimeLoop
    fleet: ModelledFleet
    targets: ModelledTargets
    callers: Callers

    async def send(self, seconds: float, path: str, *vms: str) -> None:
        """Send requests to some VMs in turn, to all without names."""
        nodes = [n for n in self.fleet if not vms or n.settings.name in vms]
        await self.callers.send(nodes, _RATE_PER_S, seconds, path)

    def list_arrivals(self, data_centre: str, since: float) -> list[Arrival]:
        """Return the requests that a data centre's targets got."""
        return [
            a
            for a in self.targets.arrivals
            if a.target.startswith(data_centre) and a.at >= since
        ]

    def list_sources(self, since: float) -> set[str]:
        """Return the data centres from which KV cache was to be fetched."""
        ports = [
            int(a.source.rpartition(':')[2])
            for a in self.targets.arrivals
            if a.source and a.at >= since
        ]
        return {self.fleet.targets_by_port[p][0] for p in ports}


def _play(
    monkeypatch: pytest.MonkeyPatch,
    vms: dict[str, int],
    main: Callable[[_Play], Awaitable[None]],
    log_file: int | None = None,
) -> None:
    """Run ``main`` with a fleet whose VMs know all targets."""

    async def run(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(
            loop, monkeypatch, vms, 0, log_file=log_file
        ) as fleet:
            for data_centre in 'ab':
                for number in range(_TARGETS):
                    for service in ('app', 'llm'):
                        fleet.register(
                            f'{data_centre}-{service}{number}',
                            service=service,
                            data_centre=data_centre,
                        )
            targets = ModelledTargets(loop, fleet)
            fleet.start()
            await asyncio.sleep(STARTED_S)
            await main(_Play(loop, fleet, targets, Callers(loop)))

    timeloop.run(run)


@_SMALL_AND_LARGE
@pytest.mark.parametrize('path', [SAFE_PATH, RESUMABLE_PATH])
def test_requests_leave_and_return(
    vms: dict[str, int], path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests, or fetched cache, from a data centre."""

    async def main(play: _Play) -> None:
        await play.send(1.0, path)
        assert play.list_arrivals('a', 0.0)
        play.fleet.evacuate('a')
        written_at = play.loop.time()
        await play.send(_LIMIT_S + 3.0, path)
        since = written_at + _LIMIT_S
        assert not play.list_arrivals('a', since)
        assert 'a' not in play.list_sources(since)
        assert play.list_arrivals('b', since)
        play.fleet.end_evacuation('a')
        ended_at = play.loop.time()
        await play.send(_LIMIT_S + 1.0, path)
        assert play.list_arrivals('a', ended_at)
        assert not [e for e in play.callers.endings if e.status]

    _play(monkeypatch, vms, main)


@_SMALL_AND_LARGE
def test_calls_are_refused_at_once_without_targets(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that wait for a target that can't come."""

    async def main(play: _Play) -> None:
        play.fleet.evacuate('a')
        play.fleet.evacuate('b')
        await asyncio.sleep(_LIMIT_S)
        sent_at = play.loop.time()
        for path in (SAFE_PATH, RESUMABLE_PATH):
            await play.send(1.0, path)
        assert not [a for a in play.targets.arrivals if a.at >= sent_at]
        endings = play.callers.endings
        assert {e.status for e in endings} == {_UNAVAILABLE}
        assert all(e.retry_after > 0.0 for e in endings)
        assert max(e.held for e in endings) < 0.05

    _play(monkeypatch, vms, main)


def test_cut_off_vm_refuses_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls that VMs pass on though no target is left."""

    async def main(play: _Play) -> None:
        forwards = ModelledForwards(play.loop, play.fleet)
        play.targets.cut_off.add('a000')
        await play.send(3.0, SAFE_PATH, 'a000')
        assert forwards.received
        play.fleet.evacuate('a')
        await asyncio.sleep(_LIMIT_S)
        evacuated_at = play.loop.time()
        await play.send(1.0, SAFE_PATH, 'a000')
        assert not play.list_arrivals('a', evacuated_at)
        assert play.list_arrivals('b', evacuated_at)
        play.fleet.evacuate('b')
        await asyncio.sleep(_LIMIT_S)
        forwards.received.clear()
        play.callers.endings.clear()
        await play.send(1.0, SAFE_PATH, 'a000')
        assert not forwards.received
        assert max(e.held for e in play.callers.endings) < 0.05

    _play(monkeypatch, SMALL_FLEET, main)


def test_vm_reaches_only_the_evacuated_targets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that waits for targets which others reach."""

    async def main(play: _Play) -> None:
        forwards = ModelledForwards(play.loop, play.fleet)
        play.fleet.evacuate('a')
        await asyncio.sleep(_LIMIT_S)
        vm = play.fleet.nodes['a000']
        for state in vm.targets.list_of_service('app'):
            if state.target.data_centre == 'b':
                state.connect_failures = 1
                state.blocked_until = play.loop.time() + 60.0
        await play.send(1.0, SAFE_PATH, 'a000')
        assert forwards.received
        assert not [e for e in play.callers.endings if e.status]

    _play(monkeypatch, SMALL_FLEET, main)


@_SMALL_AND_LARGE
@pytest.mark.parametrize('is_away', [False, True])
def test_vms_that_lose_the_store(
    vms: dict[str, int], is_away: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a state that ends, or is not learnt, with the store."""

    async def main(play: _Play) -> None:
        if is_away:
            play.fleet.evacuate('a')
            await asyncio.sleep(_LIMIT_S)
            play.fleet.state.faults.is_down = True
        else:
            play.fleet.stores['a000'].rejects = True
            play.fleet.stores['b001'].hangs = True
            await asyncio.sleep(1.0)
            play.fleet.evacuate('a')
            await asyncio.sleep(_LIMIT_S)
        since = play.loop.time()
        await play.send(8.0, SAFE_PATH)
        assert not play.list_arrivals('a', since)
        assert play.list_arrivals('b', since)

    _play(monkeypatch, vms, main)


@_SMALL_AND_LARGE
def test_vm_that_starts_meanwhile(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that is ready before it has read the rows."""

    async def main(play: _Play) -> None:
        play.fleet.evacuate('a')
        await asyncio.sleep(_LIMIT_S)
        since = play.loop.time()
        play.fleet.stop('a001')
        play.fleet.replace('a001')
        vm = play.fleet.nodes['a001']
        play.targets.connect(vm)
        await play.fleet.wait_until(vm.is_ready, 5.0)
        await play.send(2.0, SAFE_PATH, 'a001')
        assert not play.list_arrivals('a', since)
        assert play.list_arrivals('b', since)

    _play(monkeypatch, vms, main)


@pytest.mark.parametrize('is_evacuated_in_copy', [False, True])
def test_store_is_restored(
    is_evacuated_in_copy: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a state other than that of the restored rows."""

    async def main(play: _Play) -> None:
        if is_evacuated_in_copy:
            play.fleet.evacuate('a')
        copy = play.fleet.state.copy()
        await asyncio.sleep(2.0)
        if is_evacuated_in_copy:
            play.fleet.end_evacuation('a')
        else:
            play.fleet.evacuate('a')
        await asyncio.sleep(_LIMIT_S)
        play.fleet.state.restore(copy)
        await asyncio.sleep(_LIMIT_S)
        restored_at = play.loop.time()
        await play.send(2.0, SAFE_PATH)
        gets_requests = bool(play.list_arrivals('a', restored_at))
        assert gets_requests is not is_evacuated_in_copy

    _play(monkeypatch, SMALL_FLEET, main)


def test_odd_rows(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against rows that end serving, or are ignored silently."""
    path = tmp_path / 'log'
    log_file = os.open(path, os.O_WRONLY | os.O_CREAT)

    async def main(play: _Play) -> None:
        play.fleet.evacuate('a', b'\xff[')
        play.fleet.evacuate('nowhere')
        play.fleet.evacuate('')
        await asyncio.sleep(_LIMIT_S)
        since = play.loop.time()
        # Discovery reads the members every 30 s.
        await asyncio.sleep(70.0)
        await play.send(2.0, SAFE_PATH)
        assert not play.list_arrivals('a', since)
        assert play.list_arrivals('b', since)
        node = play.fleet.nodes['a000']
        text = node.metrics.render().decode()
        assert 'lentilrun_evacuated_data_centres 2.0' in text
        play.fleet.end_evacuation('a')
        await asyncio.sleep(_LIMIT_S)

    _play(monkeypatch, {'a': 1}, main, log_file)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    events = collections.Counter(
        (line['event'], line.get('data_centre') or line.get('key'))
        for line in lines
    )
    assert events['evacuation_began', 'a'] == 1
    assert events['evacuation_ended', 'a'] == 1
    assert events['row_unreadable', 'evacuate/a'] == 1
    assert events['row_unreadable', 'evacuate/'] == 1
    assert events['evacuation_of_unknown', 'nowhere'] == 1
    assert ('evacuation_of_unknown', 'a') not in events
