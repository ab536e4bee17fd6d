"""Upgrades of the soak: which build is replaced, and what it is known for."""

from __future__ import annotations

import asyncio
import pathlib
import random
from types import SimpleNamespace
from typing import Any

from lentilrun.standins.configuration import RESUMABLE_PATH
import pytest
from soak import builds
from soak.callers import RequestOutcome
from soak.callers import RequestRecord
from soak.deployment import VmProcess
from soak.proxy import LOOPBACK
from soak.run import find_excused
from soak.run import SeedOptions

_EXCUSED = frozenset({'events in order', 'complete stream'})
_EVENT = b'id: 2\ndata: piece 2\n\n'


@pytest.mark.parametrize('vms', [1, 2, 3, 5])
@pytest.mark.parametrize('seed', range(20))
def test_upgrade_replaces_each_vm_once(seed: int, vms: int) -> None:
    """VMs are replaced once; only a replaced one goes back, once."""
    steps = builds.draw_upgrade(random.Random(seed), vms)
    forward = [s.vm for s in steps if s.build == builds.NEW]
    back = [s.vm for s in steps if s.build == builds.OLDER]
    assert [s.build for s in steps] == sorted(
        (s.build for s in steps), key=[builds.NEW, builds.OLDER].index
    )
    assert back in ([], forward[::-1])
    assert len(set(forward)) == len(forward)
    assert len(forward) == vms or back


def test_upgrades_end_in_all_ways() -> None:
    """Some upgrades are whole, some taken back half way or at the end."""
    ends = {
        tuple(s.build for s in builds.draw_upgrade(random.Random(n), 3))
        for n in range(50)
    }
    new, older = builds.NEW, builds.OLDER
    assert ends == {
        (new,) * 3,
        (new,) * 2 + (older,) * 2,
        (new,) * 3 + (older,) * 3,
    }


def test_missing_history_is_said(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the commit in production, no upgrade is run silently."""
    commit = 'f' * 40
    (tmp_path / 'deploy').mkdir()
    settings = f'production = "{commit}"\n'
    (tmp_path / 'deploy' / 'system.toml').write_text(settings)
    monkeypatch.setattr(builds, '_ROOT', tmp_path)
    with pytest.raises(builds.HistoryError, match=f'history lacks {commit}'):
        builds.copy_older(tmp_path / 'base', None)


def test_other_sources_are_known_for_nothing(tmp_path: pathlib.Path) -> None:
    """Violations of a build that was given by its folder all count."""
    source = tmp_path / 'source'
    source.mkdir()
    (source / 'program').write_text('1')
    assert not builds.copy_older(tmp_path / 'base', source)
    copied = tmp_path / 'base' / builds.OLDER / 'program'
    assert copied.read_text() == '1'


def _make_record(sent_at: float, response_id: str) -> RequestRecord:
    """Return a whole response with the second of two events only."""
    return RequestRecord(
        'r1',
        RESUMABLE_PATH,
        'vm0',
        'key',
        sent_at,
        sent_at + 1.0,
        RequestOutcome.ANSWERED,
        200,
        response_id,
        _EVENT,
        True,
    )


@pytest.mark.parametrize(
    ('sent_at', 'response_id', 'excused', 'invariants'),
    [
        (1.0, 'r1', _EXCUSED, ['events in order', 'complete stream']),
        (4.9, 'r1', _EXCUSED, ['events in order', 'complete stream']),
        (4.9, 'r2', _EXCUSED, ['events in order', 'complete stream']),
        (4.9, 'r1', frozenset(), []),
        (5.0, 'r1', _EXCUSED, []),
        (8.0, 'r1', _EXCUSED, []),
        (9.0, 'r1', _EXCUSED, ['events in order', 'complete stream']),
    ],
)
def test_only_the_older_build_is_excused(
    sent_at: float,
    response_id: str,
    excused: frozenset[str],
    invariants: list[str],
) -> None:
    """A VM is excused for the order of streams, while the older build runs."""
    vm: Any = SimpleNamespace(name='vm0')
    starts = {0.0: builds.OLDER, 5.0: builds.NEW, 9.0: builds.OLDER}
    vm.find_build = lambda at: [b for t, b in starts.items() if t <= at][-1]
    deployment: Any = SimpleNamespace(vms=[vm])
    callers: Any = SimpleNamespace(
        records=[_make_record(sent_at, response_id)]
    )
    options = SeedOptions(1.0, 1, excused=excused)
    found = find_excused(deployment, callers, options)
    assert [v.invariant for v in found] == invariants


def test_vm_knows_the_build_that_it_was_started_with(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A build counts from its start on, not from when it was chosen."""

    async def start_nothing(*arguments: object, **options: object) -> None:
        return None

    monkeypatch.setattr(asyncio, 'create_subprocess_exec', start_nothing)

    async def run_test() -> None:
        loop = asyncio.get_running_loop()
        vm = VmProcess('vm0', tmp_path, (LOOPBACK, 9))
        vm.build = builds.OLDER
        async with vm:
            vm.build = builds.NEW
            await asyncio.sleep(0.01)
            replaced_at = loop.time()
            assert vm.find_build(replaced_at) == builds.OLDER
            await asyncio.sleep(0.01)
            await vm.start()
            assert vm.find_build(loop.time()) == builds.NEW
            assert vm.find_build(replaced_at) == builds.OLDER

    asyncio.run(run_test())
