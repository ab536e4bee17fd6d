"""Leaving targets get nothing new; a stale VM refuses truly."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from harness import Fleet
from harness import is_whole
from harness import KEYS
import msgspec
import pytest

_SECONDS = 3.0


@pytest.mark.parametrize('way', ['report', 'list'])
def test_a_leaving_target(tmp_path: pathlib.Path, way: str) -> None:
    """No new work reaches it after 3 s, and nothing is refused."""
    asyncio.run(_run(tmp_path, way))


async def _run(folder: pathlib.Path, way: str) -> None:
    async with Fleet(folder, vms=2, targets=3) as fleet:
        await fleet.apply(fleet.declare())
        await fleet.wait_units()
        listed = [(n, str(a), False) for n, a in fleet.targets.items()]
        await fleet.send(fleet.platform, 'PUT', '/vms', listed)
        await asyncio.sleep(1.5)
        if way == 'report':
            await fleet.fault('t1', 'leave')
        else:
            listed[0] = (*listed[0][:2], True)
            await fleet.send(fleet.platform, 'PUT', '/vms', listed)
        await asyncio.sleep(_SECONDS)
        before = len(await fleet.read_ledger('t1'))
        sent = [fleet.chat(i % 2, f'new {i}') for i in range(40)]
        responses = await asyncio.gather(*sent)
        assert all(is_whole(r, 10) for r in responses)
        assert len(await fleet.read_ledger('t1')) == before


def test_a_vm_that_wakes_up(tmp_path: pathlib.Path) -> None:
    """Paused while a key is withdrawn, it never serves that key again."""
    asyncio.run(_wake(tmp_path))


async def _wake(folder: pathlib.Path) -> None:
    async with Fleet(folder, vms=3, targets=1) as fleet:
        await fleet.apply(fleet.declare())
        await fleet.wait_units()
        fleet.signal('vm3', signal.SIGSTOP)
        await asyncio.sleep(4.0)
        kept = {'jepara': KEYS['jepara']}
        applied = await fleet.apply(fleet.declare(keys=kept))
        assert applied.get('generation') == 2, applied
        waiting = [
            asyncio.create_task(
                fleet.send(
                    fleet.vms[2].callers,
                    'POST',
                    '/book',
                    f'{i}'.encode(),
                    X_Api_Key=KEYS['solo'],
                )
            )
            for i in range(20)
        ]
        await asyncio.sleep(1.0)
        fleet.signal('vm3', signal.SIGCONT)
        for response in await asyncio.gather(*waiting):
            told = msgspec.json.decode(response.body)
            assert 'error' in told, told
            error = told['error']
            assert error['ran'] == 'not run'
            assert error['code'] in ('vm_stale', 'key_refused')
        assert await fleet.read_ledger('stock') == []


def test_the_store_is_down(tmp_path: pathlib.Path) -> None:
    """All VMs go on without the store; a restarted one joins them warm."""
    asyncio.run(_outage(tmp_path))


async def _outage(folder: pathlib.Path) -> None:
    async with Fleet(folder, vms=3, targets=2) as fleet:
        await fleet.apply(fleet.declare())
        await fleet.wait_units()
        warm = 'y' * 8000
        for vm in range(3):
            assert is_whole(await fleet.chat(vm, warm), 10)
        await fleet.platform_fault(kind='outage', seconds=60.0)
        await asyncio.sleep(5.0)
        for vm in range(3):
            assert is_whole(await fleet.chat(vm, f'{warm} {vm}'), 10)
        fleet.kill('vm3')
        fleet.start_vm(fleet.vms[2])
        await fleet.wait_port(fleet.vms[2].callers)
        async with asyncio.timeout(10.0):
            while True:
                address = fleet.vms[2].callers
                ready = await fleet.send(address, 'GET', '/ready')
                if ready.status == 200:
                    break
                await asyncio.sleep(0.05)
        response = await fleet.chat(2, f'{warm} after')
        assert is_whole(response, 10)
        dump = await fleet.query('dump', 2)
        assert dump['counts']['cached_tokens'] > 0
