"""Requests, their bodies and their caches stay in the allowed regions."""

from __future__ import annotations

import asyncio
import json
import os
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.decisions.facts import PromptSegment
from lentilrun.gateway.forwarding import take_forwarded_call
from lentilrun.gateway.forwarding import take_restricted_call
from lentilrun.gateway.messages import PrefillReport
from lentilrun.gateway.recent import Origin
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
from modelledforwards import ModelledForwards
from modelledtargets import Callers
from modelledtargets import ModelledTargets
from modelledtargets import RESUMABLE_PATH
from modelledtargets import SAFE_PATH
import pytest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import pathlib

    from tornado.httputil import HTTPHeaders

_REGIONS = {'a': 'eu', 'b': 'eu', 'c': 'us', 'd': 'asia'}
_UNAVAILABLE = 503
_RATE_PER_S = 40.0
_TARGETS = 2
_CHANGE_S = 3.0
_STORES = {'c': '127.0.0.1:8100', 'a': '127.0.0.1:8101'}
_PATHS = pytest.mark.parametrize('path', [SAFE_PATH, RESUMABLE_PATH])
_SMALL_AND_LARGE = pytest.mark.parametrize('vms', [SMALL_FLEET, LARGE_FLEET])


class _Play(NamedTuple):
    """A running fleet with targets in its four data centres."""

    loop: timeloop.TimeLoop
    fleet: ModelledFleet
    targets: ModelledTargets
    callers: Callers

    async def send(self, seconds: float, path: str, *vms: str) -> None:
        """Send requests to some VMs in turn, to all without names."""
        nodes = [n for n in self.fleet if not vms or n.settings.name in vms]
        await self.callers.send(nodes, _RATE_PER_S, seconds, path)

    def list_places(self) -> str:
        """Return the data centres whose targets got requests."""
        places = {a.target[0] for a in self.targets.arrivals}
        return ''.join(sorted(places))


def _restrict(
    route: list[str], workspace: list[str], path: str = ''
) -> dict[str, Any]:
    """Return a configuration whose routes, or that of a path, are so."""
    configuration = make_configuration(1)
    for each in configuration['routes']:
        if path.startswith(each['prefix']) or not path:
            each['allowed-regions'] = route
    for each in configuration['tenants']:
        each['allowed-regions'] = workspace
    for name, address in _STORES.items():
        store = {'name': f'kv-{name}', 'zone': name, 'kv-store-addr': address}
        configuration['services'].append(store)
    return configuration


def _play(
    monkeypatch: pytest.MonkeyPatch,
    vms: dict[str, int],
    configuration: dict[str, Any],
    main: Callable[[_Play], Awaitable[None]],
    log_file: int | None = None,
    regions: dict[str, str] = _REGIONS,
) -> None:
    async def run(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(
            loop, monkeypatch, vms, 0, log_file=log_file, regions=regions
        ) as fleet:
            fleet.configure(**{**configuration, 'version': 2})
            for data_centre in 'abcd':
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
@_PATHS
@pytest.mark.parametrize(
    ('route', 'workspace', 'places'),
    [
        (['eu'], [], 'ab'),
        ([], ['us'], 'c'),
        (['eu', 'us'], ['us', 'asia'], 'c'),
        (['asia', 'mars'], [], 'd'),
    ],
)
def test_requests_stay_in_their_regions(
    route: list[str],
    workspace: list[str],
    places: str,
    path: str,
    vms: dict[str, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against targets, sources and stores in other regions."""

    async def main(play: _Play) -> None:
        await play.send(2.0, path)
        assert set(play.list_places()) <= set(places)
        stores = {address: name for name, address in _STORES.items()}
        ports = play.fleet.targets_by_port
        for arrival in play.targets.arrivals:
            for address in filter(None, (arrival.source, arrival.store)):
                port = int(address.rpartition(':')[2])
                name = stores.get(address) or ports[port][0]
                assert name in places
        assert play.targets.arrivals
        assert not [e for e in play.callers.endings if e.status]

    _play(monkeypatch, vms, _restrict(route, workspace), main)


@_PATHS
@pytest.mark.parametrize(
    ('route', 'workspace'),
    [(['eu'], ['us']), (['mars'], []), (['eu'], [])],
)
def test_calls_are_refused_at_once_without_targets(
    route: list[str],
    workspace: list[str],
    path: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that wait, or run elsewhere, instead."""

    async def main(play: _Play) -> None:
        play.fleet.evacuate('a')
        play.fleet.evacuate('b')
        await asyncio.sleep(_CHANGE_S)
        await play.send(1.0, path)
        assert not play.targets.arrivals
        endings = play.callers.endings
        assert {e.status for e in endings} == {_UNAVAILABLE}
        assert all(e.retry_after > 0.0 for e in endings)
        assert max(e.held for e in endings) < 0.05

    _play(monkeypatch, SMALL_FLEET, _restrict(route, workspace), main)


def test_retries_stay_there(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests that are repeated in another region."""

    async def main(play: _Play) -> None:
        play.targets.broken.update(f'{c}-app{n}' for c in 'ab' for n in (0, 1))
        await play.send(2.0, SAFE_PATH)
        assert play.list_places() == 'ab'

    _play(monkeypatch, SMALL_FLEET, _restrict(['eu'], []), main)


def test_forwarded_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against bodies in other regions, and helpers that leave them.

    The VMs that are cut off are in a region that is not allowed.
    """

    async def main(play: _Play) -> None:
        forwards = ModelledForwards(play.loop, play.fleet)
        play.targets.cut_off.update(('c000', 'c001'))
        await play.send(3.0, SAFE_PATH, 'c000')
        places = {n[0] for n in forwards.received}
        assert places <= set('abc')
        assert places & set('ab')
        assert play.list_places() in ('a', 'b', 'ab')
        assert not [e for e in play.callers.endings if e.status]

    _play(monkeypatch, SMALL_FLEET, _restrict(['eu'], []), main)


@pytest.mark.parametrize(
    ('old', 'is_served'), [(('c001', 'a000'), True), (('all',), False)]
)
def test_helpers_that_know_no_restriction(
    old: tuple[str, ...], is_served: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an older build that runs a forwarded call anywhere."""

    async def main(play: _Play) -> None:
        forwards = ModelledForwards(play.loop, play.fleet)
        for name, port in forwards._handlers.items():
            if name in old or old == ('all',):
                _forget_restrictions(port, monkeypatch)
        play.targets.cut_off.add('c000')
        await play.send(2.0, SAFE_PATH, 'c000')
        assert set(play.list_places()) <= set('ab')
        assert bool(play.list_places()) is is_served

    _play(monkeypatch, SMALL_FLEET, _restrict(['eu'], []), main)


def _forget_restrictions(port: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a VM read forwarded calls as builds without restrictions do."""
    admit = port.admit

    def admit_as_before(incoming: Any) -> Any:
        headers = incoming.headers.copy()
        headers.pop('Lentilrun-Restricted', None)
        return admit(incoming._replace(headers=headers))

    monkeypatch.setattr(port, 'admit', admit_as_before)


def test_stated_restriction_holds_at_the_helper(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a helper whose settings or configuration allow more."""

    async def main(play: _Play) -> None:
        forwards = ModelledForwards(play.loop, play.fleet)
        for name, node in play.fleet.nodes.items():
            if name != 'c000':
                monkeypatch.setattr(
                    node.admission._regions, 'find', lambda *_: None
                )
        play.targets.cut_off.add('c000')
        await play.send(2.0, SAFE_PATH, 'c000')
        assert forwards.received
        assert play.list_places() in ('a', 'b', 'ab')

    _play(monkeypatch, SMALL_FLEET, _restrict(['eu'], []), main)


def test_sources_stay_there(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against cache that is fetched from where others report it."""

    async def main(play: _Play) -> None:
        await play.send(1.0, RESUMABLE_PATH)
        salt = play.targets.arrivals[0].salt
        segments = (PromptSegment('aa', 500), PromptSegment('bb', 200))
        report = PrefillReport('c-llm0', salt, segments)
        for node in play.fleet:
            for state in node.targets.states.values():
                state.prefix_cache.clear()
            node.targets.record_prefill(report, Origin.LOCAL)
        play.targets.arrivals.clear()
        await play.send(1.0, RESUMABLE_PATH)
        ports = play.fleet.targets_by_port
        sources = {
            ports.get(int(a.source.rpartition(':')[2]), 'a store')
            for a in play.targets.arrivals
            if a.source
        }
        assert 'c-llm0' not in sources

    configuration = _restrict(['eu'], [])
    configuration['services'] = configuration['services'][:2]
    _play(monkeypatch, SMALL_FLEET, configuration, main)


def test_caches_are_kept_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against cache of a restricted prompt that others fetch."""

    async def main(play: _Play) -> None:
        await play.send(1.0, RESUMABLE_PATH)
        restricted = {a.salt for a in play.targets.arrivals}
        play.targets.arrivals.clear()
        play.fleet.configure(**{**_restrict([], []), 'version': 3})
        await asyncio.sleep(_CHANGE_S)
        await play.send(1.0, RESUMABLE_PATH)
        others = {a.salt for a in play.targets.arrivals}
        assert len(restricted) == 1
        assert others == {'1'}
        assert not restricted & others

    _play(monkeypatch, SMALL_FLEET, _restrict(['eu'], []), main)


@pytest.mark.parametrize('is_restricted', [False, True])
def test_nothing_changes_without_settings(
    is_restricted: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against restrictions where one side does not state them."""

    async def main(play: _Play) -> None:
        await play.send(2.0, SAFE_PATH)
        await play.send(1.0, RESUMABLE_PATH)
        assert play.list_places() == 'abcd'
        assert {a.salt for a in play.targets.arrivals} <= {'', '1'}

    regions = {} if is_restricted else _REGIONS
    configuration = _restrict(['eu'] if is_restricted else [], [])
    _play(monkeypatch, SMALL_FLEET, configuration, main, regions=regions)


def test_unknown_region_is_logged_once(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a misspelt region that operators don't see."""
    path = tmp_path / 'log'
    log_file = os.open(path, os.O_WRONLY | os.O_CREAT)

    async def main(play: _Play) -> None:
        configuration = _restrict(['eu', 'mars'], ['mars', 'eu'])
        play.fleet.configure(**{**configuration, 'version': 3})
        await asyncio.sleep(_CHANGE_S)
        await play.send(1.0, SAFE_PATH)
        assert set(play.list_places()) <= set('ab')

    configuration = _restrict(['eu', 'mars'], [])
    _play(monkeypatch, {'a': 1}, configuration, main, log_file)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    unknown = [line for line in lines if line['event'] == 'region_unknown']
    assert [line['region'] for line in unknown] == ['mars']


def test_older_builds_find_no_forwarded_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a form that a build without restrictions can read."""
    found = []

    async def main(play: _Play) -> None:
        forwards = ModelledForwards(play.loop, play.fleet)
        for port in forwards._handlers.values():
            admit = port.admit

            def check(incoming: Any, admit: Any = admit) -> Any:
                headers: HTTPHeaders = incoming.headers.copy()
                found.append(
                    (
                        take_forwarded_call(headers),
                        take_restricted_call(headers),
                    )
                )
                return admit(incoming)

            monkeypatch.setattr(port, 'admit', check)
        play.targets.cut_off.add('c000')
        await play.send(0.5, SAFE_PATH, 'c000')

    _play(monkeypatch, SMALL_FLEET, _restrict(['eu'], []), main)
    assert found
    for stated, restricted in found:
        assert stated is None
        assert restricted is not None
        assert restricted.data_centres == ['a', 'b']
