"""A cold target gets no more requests in a second than it tolerates."""

from __future__ import annotations

import asyncio
import json
import os
from typing import NamedTuple
from typing import TYPE_CHECKING

from deployments import BOUNDS
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
from modelledforwards import ModelledForwards
from modelledtargets import Callers
from modelledtargets import count_most
from modelledtargets import ModelledTargets
from modelledtargets import RESUMABLE_PATH
from modelledtargets import SAFE_PATH
import pytest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import pathlib
    from typing import Any

_LARGE = {'a': 28, 'b': 28, 'c': 29}
_COLD_START_S = 8.0
_OVERAGE = 1.5
_SLACK = 5.0
_BOUNDS = BOUNDS._replace(cold_overage=_OVERAGE, cold_slack=_SLACK)
# The time in which any change is in force, and some for messages.
_KNOWN_S = 2.5
_UNAVAILABLE = 503
_TARGETS = 3
_SMALL_AND_LARGE = pytest.mark.parametrize('vms', [SMALL_FLEET, _LARGE])


class _Play(NamedTuple):
    """A running fleet with three targets of each service in 'a' and 'b'."""

    loop: timeloop.TimeLoop
    fleet: ModelledFleet
    targets: ModelledTargets
    callers: Callers

    async def send(self, rate: float, seconds: float, path: str) -> None:
        """Send requests to all VMs in turn."""
        await self.callers.send(list(self.fleet), rate, seconds, path)

    def count_most(self, target: str, since: float, until: float) -> int:
        """Return the most requests that a target got in a second."""
        times = [
            a.at
            for a in self.targets.arrivals
            if a.target == target and since <= a.at < until
        ]
        return count_most(times, 1.0)

    def count(self, target: str, since: float) -> int:
        """Return the number of requests that a target got."""
        arrivals = self.targets.arrivals
        return sum(a.target == target and a.at >= since for a in arrivals)


def _list_services(per_s: float) -> list[dict[str, Any]]:
    services: list[dict[str, Any]] = make_configuration(1)['services']
    for service in services:
        service['cold-per-s'] = per_s
        service['cold-start-s'] = _COLD_START_S
    return services


def _play(
    monkeypatch: pytest.MonkeyPatch,
    vms: dict[str, int],
    main: Callable[[_Play], Awaitable[None]],
    per_s: float = 8.0,
    log_file: int | None = None,
) -> None:
    async def run(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(
            loop, monkeypatch, vms, 0, _BOUNDS, log_file
        ) as fleet:
            fleet.configure(2, services=_list_services(per_s))
            for data_centre in 'ab':
                for number in range(_TARGETS):
                    for service in ('app', 'llm'):
                        _register(fleet, f'{data_centre}-{service}{number}')
            targets = ModelledTargets(loop, fleet)
            fleet.start()
            await asyncio.sleep(STARTED_S)
            await main(_Play(loop, fleet, targets, Callers(loop)))

    timeloop.run(run)


def _register(fleet: ModelledFleet, name: str, **row: Any) -> None:
    data_centre, _, rest = name.partition('-')
    service = rest.rstrip('0123456789')
    fleet.register(name, service=service, data_centre=data_centre, **row)


def _allowed(per_s: float) -> float:
    return per_s * _OVERAGE + _SLACK


@_SMALL_AND_LARGE
@pytest.mark.parametrize('per_s', [1.0, 8.0])
def test_data_centre_returns(
    vms: dict[str, int],
    per_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against all VMs that fill empty targets as they return."""

    async def main(play: _Play) -> None:
        play.fleet.evacuate('a')
        await asyncio.sleep(6.0)
        sending = asyncio.ensure_future(play.send(120.0, 16.0, SAFE_PATH))
        await asyncio.sleep(2.0)
        play.fleet.end_evacuation('a')
        ended_at = play.loop.time()
        await sending
        for number in range(_TARGETS):
            name = f'a-app{number}'
            most = play.count_most(name, ended_at, ended_at + _COLD_START_S)
            assert most <= _allowed(per_s)
            assert play.count(name, ended_at) > per_s * 3.0
        assert not [e for e in play.callers.endings if e.status]

    _play(monkeypatch, vms, main, per_s)


@_SMALL_AND_LARGE
def test_streams_with_one_prefix(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a prompt that draws its calls to a cold engine."""

    async def main(play: _Play) -> None:
        await play.send(120.0, 2.0, RESUMABLE_PATH)
        play.fleet.evacuate('a')
        await asyncio.sleep(6.0)
        play.fleet.evacuate('b')
        play.fleet.end_evacuation('a')
        ended_at = play.loop.time()
        await play.send(120.0, _COLD_START_S, RESUMABLE_PATH)
        names = [f'a-llm{n}' for n in range(_TARGETS)]
        until = ended_at + _COLD_START_S
        most = [play.count_most(n, ended_at, until) for n in names]
        assert max(most) <= _allowed(8.0)
        # Three engines with 8 slots a second each, once it is known.
        total = sum(play.count(n, ended_at) for n in names)
        assert total > 0.6 * 24.0 * (_COLD_START_S - _KNOWN_S)

    _play(monkeypatch, vms, main)


def _start_again(play: _Play) -> None:
    _register(play.fleet, 'a-app0', born=7)


def _state_cold(play: _Play) -> None:
    _register(play.fleet, 'a-app0', cold_remaining_ms=_COLD_START_S * 1e3)


def _add_new(play: _Play) -> None:
    _register(play.fleet, 'a-app9')
    play.targets.connect(play.fleet.nodes['a000'])


@_SMALL_AND_LARGE
@pytest.mark.parametrize(
    ('change', 'name', 'known_after'),
    [
        (_start_again, 'a-app0', _KNOWN_S),
        (_state_cold, 'a-app0', _KNOWN_S),
        (_add_new, 'a-app9', 0.0),
    ],
)
def test_target_becomes_cold(
    change: Callable[[_Play], None],
    name: str,
    known_after: float,
    vms: dict[str, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start, or a row, that VMs don't take as cold."""

    async def main(play: _Play) -> None:
        # Its share is well above what it may get while it is cold.
        sending = asyncio.ensure_future(play.send(200.0, 16.0, SAFE_PATH))
        await asyncio.sleep(2.0)
        change(play)
        cold_at = play.loop.time()
        await sending
        until = cold_at + _COLD_START_S
        most = play.count_most(name, cold_at + known_after, until)
        assert 0 < most <= _allowed(8.0)
        # Once it is warm it gets its share.
        warm_at = until + _KNOWN_S
        assert play.count_most(name, warm_at, warm_at + 9.0) > _allowed(8.0)

    _play(monkeypatch, vms, main)


def test_becomes_cold_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second time of coldness that is not applied."""

    async def main(play: _Play) -> None:
        for _ in range(2):
            sending = asyncio.ensure_future(play.send(120.0, 13.0, SAFE_PATH))
            _state_cold(play)
            cold_at = play.loop.time()
            await sending
            until = cold_at + _COLD_START_S
            most = play.count_most('a-app0', cold_at + _KNOWN_S, until)
            assert 0 < most <= _allowed(8.0)

    _play(monkeypatch, SMALL_FLEET, main)


def test_retries_and_forwarded_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that reach a cold target beside its slots."""

    async def main(play: _Play) -> None:
        ModelledForwards(play.loop, play.fleet)
        play.targets.cut_off.update(('a000', 'b001'))
        play.fleet.evacuate('a')
        await asyncio.sleep(6.0)
        await play.send(60.0, 3.0, SAFE_PATH)
        play.targets.broken.update(('b-app0', 'b-app1'))
        sending = asyncio.ensure_future(play.send(60.0, 10.0, SAFE_PATH))
        play.fleet.end_evacuation('a')
        ended_at = play.loop.time()
        await sending
        for number in range(_TARGETS):
            name = f'a-app{number}'
            most = play.count_most(name, ended_at, ended_at + _COLD_START_S)
            assert 0 < most <= _allowed(8.0)

    _play(monkeypatch, SMALL_FLEET, main)


@pytest.mark.parametrize('vms', [SMALL_FLEET, _LARGE])
def test_vms_partitioned_and_starting(
    vms: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against VMs without the store, or new ones, with more slots."""

    async def main(play: _Play) -> None:
        play.fleet.evacuate('a')
        await asyncio.sleep(6.0)
        play.fleet.stores['a000'].rejects = True
        play.fleet.stores['b001'].hangs = True
        sending = asyncio.ensure_future(play.send(120.0, 12.0, SAFE_PATH))
        await asyncio.sleep(1.0)
        play.fleet.end_evacuation('a')
        ended_at = play.loop.time()
        await asyncio.sleep(1.0)
        for name in ('a001', 'b000', 'c001'):
            play.fleet.stop(name)
            play.fleet.replace(name)
            vm = play.fleet.nodes[name]
            play.targets.connect(vm)
            await play.fleet.wait_until(vm.is_ready, 2.0)
            await play.callers.send([vm], 40.0, 1.0, SAFE_PATH)
        await sending
        for number in range(_TARGETS):
            name = f'a-app{number}'
            most = play.count_most(name, ended_at, ended_at + _COLD_START_S)
            assert 0 < most <= _allowed(8.0)

    _play(monkeypatch, vms, main)


def test_all_targets_are_cold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls that wait for turns which others take."""

    async def main(play: _Play) -> None:
        play.fleet.evacuate('a')
        play.fleet.evacuate('b')
        await asyncio.sleep(6.0)
        play.fleet.end_evacuation('a')
        play.fleet.end_evacuation('b')
        ended_at = play.loop.time()
        await asyncio.sleep(_KNOWN_S)
        await play.send(120.0, 4.0, SAFE_PATH)
        for name in ('a-app0', 'a-app1', 'b-app2'):
            most = play.count_most(name, ended_at, ended_at + _COLD_START_S)
            assert 0 < most <= _allowed(8.0)
        served = [e for e in play.callers.endings if not e.status]
        refused = [e for e in play.callers.endings if e.status]
        # Six targets with 8 slots a second each.
        assert len(served) > 0.6 * 48.0 * 4.0
        assert {e.status for e in refused} == {_UNAVAILABLE}

    _play(monkeypatch, SMALL_FLEET, main)


def test_store_is_restored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against targets that count as cold since a copy is read.

    The rows state for how long they were cold as they were written.
    """

    async def main(play: _Play) -> None:
        for data_centre in 'ab':
            for number in range(_TARGETS):
                name = f'{data_centre}-app{number}'
                cold_ms = _COLD_START_S * 1e3
                _register(play.fleet, name, cold_remaining_ms=cold_ms)
        await asyncio.sleep(_COLD_START_S + _KNOWN_S)
        nodes = list(play.fleet)
        assert not [n for n in nodes if n.targets.count_cold()]
        play.fleet.state.restore(play.fleet.state.copy())
        await asyncio.sleep(_KNOWN_S)
        assert not [n for n in nodes if n.targets.count_cold()]
        # A row that is written later is believed.
        _state_cold(play)
        await asyncio.sleep(_KNOWN_S)
        assert {n.targets.count_cold() for n in nodes} == {1}

    _play(monkeypatch, SMALL_FLEET, main)


@pytest.mark.parametrize('per_s', [0.0, 8.0])
def test_events_and_gauge(
    per_s: float, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cold targets that operators don't see."""
    path = tmp_path / 'log'
    log_file = os.open(path, os.O_WRONLY | os.O_CREAT)

    async def main(play: _Play) -> None:
        _state_cold(play)
        _start_again_elsewhere = 'b-app0'
        _register(play.fleet, _start_again_elsewhere, born=7)
        await asyncio.sleep(_KNOWN_S)
        metrics = play.fleet.nodes['a000'].metrics
        count = 2.0 if per_s else 0.0
        assert f'lentilrun_targets_cold {count}' in metrics.render().decode()
        await asyncio.sleep(_COLD_START_S)
        assert 'lentilrun_targets_cold 0.0' in metrics.render().decode()
        play.fleet.evacuate('b')
        await asyncio.sleep(_KNOWN_S)
        play.fleet.end_evacuation('b')
        await asyncio.sleep(_KNOWN_S)

    _play(monkeypatch, {'a': 1}, main, per_s, log_file)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    reasons = {
        (line['target'], line['reason'])
        for line in lines
        if line['event'] == 'target_cold'
    }
    returned = {
        (f'b-{s}{n}', 'return') for s in ('app', 'llm') for n in range(3)
    }
    expected = {('a-app0', 'row'), ('b-app0', 'start')} | returned
    assert reasons == (expected if per_s else set())
