"""Requests that aren't idempotent run at most once per key."""

from __future__ import annotations

import asyncio
import collections
import pathlib

from harness import API_KEYS
from harness import FleetProcesses
from lentilrun.errors import LentilrunError
import msgspec

_KEY = API_KEYS['solo']


def test_at_most_once(tmp_path: pathlib.Path) -> None:
    """The target's ledger has at most one entry per idempotency key."""
    asyncio.run(_run(tmp_path))


async def _run(folder: pathlib.Path) -> None:
    async with FleetProcesses(folder, vms=3, targets=1) as fleet:
        await fleet.apply(fleet.make_declaration())
        await fleet.wait_until_settled()
        await _repeat_on_all_vms(fleet)
        await _reuse_key(fleet)
        await _lose_responses(fleet)
        await _interrupt_store(fleet)
        await _delay_store(fleet)
        await _kill_vm(fleet)
        await _kill_target(fleet)


async def _book(
    fleet: FleetProcesses, vm: int, key: str, body: str
) -> tuple[str, str]:
    """Return ``ran`` and the body, or an error's ``ran`` and its code."""
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
        return ('connection closed', '')
    decoded = msgspec.json.decode(response.body)
    if 'error' in decoded:
        return (decoded['error']['ran'], decoded['error']['code'])
    return ('ran', decoded['body'])


async def _count_runs(fleet: FleetProcesses) -> collections.Counter[str]:
    # The sixth field of a ledger entry is the idempotency key.
    return collections.Counter(e[5] for e in await fleet.get_ledger('stock'))


async def _repeat_on_all_vms(fleet: FleetProcesses) -> None:
    """Concurrent requests with one key run once, on whichever VM."""
    bookings = [_book(fleet, i % 3, 'many', 'skin 1') for i in range(30)]
    outcomes = await asyncio.gather(*bookings)
    assert (await _count_runs(fleet))['many'] == 1
    assert {o[0] for o in outcomes} <= {'ran', 'outcome unknown'}
    repeated = await _book(fleet, 2, 'many', 'skin 1')
    assert repeated == ('ran', 'skin 1')
    assert (await _count_runs(fleet))['many'] == 1


async def _reuse_key(fleet: FleetProcesses) -> None:
    """The same key with another body is rejected and does not run."""
    outcome = await _book(fleet, 0, 'many', 'skin 2')
    assert outcome == ('not run', 'claim_mismatch')


async def _lose_responses(fleet: FleetProcesses) -> None:
    """After a lost response, a read tells whether the claim was written."""
    for index in range(6):
        await fleet.inject_platform_fault(kind='lost', answers=1 + index % 3)
        key = f'lost {index}'
        outcome = await _book(fleet, index % 3, key, key)
        runs = (await _count_runs(fleet))[key]
        assert runs == (1 if outcome[0] == 'ran' else 0), outcome
    await fleet.inject_platform_fault(kind='lost', answers=0)


async def _interrupt_store(fleet: FleetProcesses) -> None:
    """Without the table no claim is possible, so no request is sent."""
    await fleet.inject_platform_fault(kind='outage', seconds=3.0)
    outcome = await _book(fleet, 0, 'down', 'down')
    assert outcome == ('not run', 'claim_unavailable')
    assert (await _count_runs(fleet))['down'] == 0
    await asyncio.sleep(3.5)
    assert (await _book(fleet, 0, 'down', 'down'))[0] == 'ran'


async def _delay_store(fleet: FleetProcesses) -> None:
    """A claim that was written too late is released for later requests."""
    await fleet.inject_platform_fault(kind='slow', seconds=4.0, delay=2.5)
    outcome = await _book(fleet, 0, 'slow', 'slow')
    assert outcome == ('not run', 'claim_unavailable')
    await asyncio.sleep(1.0)
    async with asyncio.timeout(15.0):
        while (await _book(fleet, 1, 'slow', 'slow'))[0] != 'ran':
            await asyncio.sleep(0.2)
    assert (await _count_runs(fleet))['slow'] == 1


async def _kill_vm(fleet: FleetProcesses) -> None:
    """A VM is killed at any step: repeats on another VM don't run again."""
    for index in range(8):
        keys = [f'kill {index} {i}' for i in range(10)]
        bookings = [
            asyncio.create_task(_book(fleet, 1, key, key)) for key in keys
        ]
        await asyncio.sleep(0.002 * index)
        fleet.kill('vm2')
        first_outcomes = await asyncio.gather(*bookings)
        repeated = await asyncio.gather(*(_book(fleet, 0, k, k) for k in keys))
        runs = await _count_runs(fleet)
        for key, before, after in zip(
            keys, first_outcomes, repeated, strict=True
        ):
            assert runs[key] <= 1
            assert after[0] in ('ran', 'outcome unknown'), after
            if 'ran' in (before[0], after[0]):
                assert runs[key] == 1
        fleet.start_vm(fleet.vms[1])
        await fleet.wait_for_port(fleet.vms[1].callers)
        await _wait_serving(fleet)


async def _wait_serving(fleet: FleetProcesses) -> None:
    async with asyncio.timeout(20.0):
        while (await _book(fleet, 1, 'probe', 'probe'))[0] != 'ran':
            await asyncio.sleep(0.05)


async def _kill_target(fleet: FleetProcesses) -> None:
    """After a target's crash the outcome is unknown; there is no retry."""
    outcome = await _book(fleet, 0, 'dies', 'POISON')
    assert outcome[0] == 'outcome unknown'
    fleet.start_service()
    await fleet.wait_for_port(fleet.service)
    outcome = await _book(fleet, 2, 'dies', 'POISON')
    assert outcome[0] == 'outcome unknown'
    assert fleet.processes['stock'].poll() is None
