"""A request that may not be repeated runs at most once."""

from __future__ import annotations

import asyncio
import collections
import pathlib

from harness import Fleet
from harness import KEYS
from lentilrun.errors import LentilrunError
import msgspec

_KEY = KEYS['solo']


def test_once(tmp_path: pathlib.Path) -> None:
    """The target's own ledger shows one run for each key at most."""
    asyncio.run(_run(tmp_path))


async def _run(folder: pathlib.Path) -> None:
    async with Fleet(folder, vms=3, targets=1) as fleet:
        await fleet.apply(fleet.declare())
        await fleet.wait_units()
        await _repeat_everywhere(fleet)
        await _reuse_key(fleet)
        await _lose_answers(fleet)
        await _lose_store(fleet)
        await _slow_store(fleet)
        await _kill_vm(fleet)
        await _kill_target(fleet)


async def _book(fleet: Fleet, vm: int, key: str, body: str) -> tuple[str, str]:
    """Return what the caller was told: the answer's body, or what ran."""
    address = fleet.vms[vm].callers
    try:
        response = await fleet.send(
            address,
            'POST',
            '/book',
            body.encode(),
            X_Api_Key=_KEY,
            Idempotency_Key=key,
        )
    except LentilrunError:
        return ('cut', '')
    decoded = msgspec.json.decode(response.body)
    if 'error' in decoded:
        return (decoded['error']['ran'], decoded['error']['code'])
    return ('ran', decoded['body'])


async def _count_runs(fleet: Fleet) -> collections.Counter[str]:
    # A run is an entry: attempt, request, workspace, path, version, key...
    return collections.Counter(e[5] for e in await fleet.read_ledger('stock'))


async def _repeat_everywhere(fleet: Fleet) -> None:
    """Many send one key at all VMs at once: one run, one answer."""
    sent = [_book(fleet, i % 3, 'many', 'skin 1') for i in range(30)]
    told = await asyncio.gather(*sent)
    assert (await _count_runs(fleet))['many'] == 1
    assert {t[0] for t in told} <= {'ran', 'outcome unknown'}
    again = await _book(fleet, 2, 'many', 'skin 1')
    assert again == ('ran', 'skin 1')
    assert (await _count_runs(fleet))['many'] == 1


async def _reuse_key(fleet: Fleet) -> None:
    """The same key with another body is refused, and does not run."""
    told = await _book(fleet, 0, 'many', 'skin 2')
    assert told == ('not run', 'claim_mismatch')


async def _lose_answers(fleet: Fleet) -> None:
    """A claim whose answer is lost is found out by reading."""
    for index in range(6):
        await fleet.platform_fault(kind='lost', answers=1 + index % 3)
        key = f'lost {index}'
        told = await _book(fleet, index % 3, key, key)
        runs = (await _count_runs(fleet))[key]
        assert runs == (1 if told[0] == 'ran' else 0), told
    await fleet.platform_fault(kind='lost', answers=0)


async def _lose_store(fleet: Fleet) -> None:
    """Without the table nothing is claimed, so nothing is sent."""
    await fleet.platform_fault(kind='outage', seconds=3.0)
    told = await _book(fleet, 0, 'down', 'down')
    assert told == ('not run', 'claim_unavailable')
    assert (await _count_runs(fleet))['down'] == 0
    await asyncio.sleep(3.5)
    assert (await _book(fleet, 0, 'down', 'down'))[0] == 'ran'


async def _slow_store(fleet: Fleet) -> None:
    """A claim that took effect too late is freed, and the key usable."""
    await fleet.platform_fault(kind='slow', seconds=4.0, delay=2.5)
    told = await _book(fleet, 0, 'slow', 'slow')
    assert told == ('not run', 'claim_unavailable')
    await asyncio.sleep(1.0)
    async with asyncio.timeout(15.0):
        while (await _book(fleet, 1, 'slow', 'slow'))[0] != 'ran':
            await asyncio.sleep(0.2)
    assert (await _count_runs(fleet))['slow'] == 1


async def _kill_vm(fleet: Fleet) -> None:
    """A VM killed at any step: repeats elsewhere never run it again."""
    for index in range(8):
        keys = [f'kill {index} {i}' for i in range(10)]
        sent = [asyncio.create_task(_book(fleet, 1, key, key)) for key in keys]
        await asyncio.sleep(0.002 * index)
        fleet.kill('vm2')
        first = await asyncio.gather(*sent)
        again = await asyncio.gather(*(_book(fleet, 0, k, k) for k in keys))
        runs = await _count_runs(fleet)
        for key, before, after in zip(keys, first, again, strict=True):
            assert runs[key] <= 1
            assert after[0] in ('ran', 'outcome unknown'), after
            if 'ran' in (before[0], after[0]):
                assert runs[key] == 1
        fleet.start_vm(fleet.vms[1])
        await fleet.wait_port(fleet.vms[1].callers)
        await _wait_serving(fleet)


async def _wait_serving(fleet: Fleet) -> None:
    async with asyncio.timeout(20.0):
        while (await _book(fleet, 1, 'probe', 'probe'))[0] != 'ran':
            await asyncio.sleep(0.05)


async def _kill_target(fleet: Fleet) -> None:
    """A target that dies within a call: nobody knows, and nobody repeats."""
    told = await _book(fleet, 0, 'dies', 'POISON')
    assert told[0] == 'outcome unknown'
    fleet.start_service()
    await fleet.wait_port(fleet.service)
    told = await _book(fleet, 2, 'dies', 'POISON')
    assert told[0] == 'outcome unknown'
    assert fleet.processes['stock'].poll() is None
