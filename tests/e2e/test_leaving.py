"""Draining targets, resumed VMs and store outages."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from harness import API_KEYS
from harness import FleetProcesses
from harness import is_complete_stream
import msgspec
import pytest

_DRAIN_TIMEOUT_S = 3.0


@pytest.mark.parametrize('announcement', ['report', 'list'])
def test_draining_target(tmp_path: pathlib.Path, announcement: str) -> None:
    """A draining target gets no request after 3 s; none is rejected."""
    asyncio.run(_run(tmp_path, announcement))


async def _run(folder: pathlib.Path, announcement: str) -> None:
    async with FleetProcesses(folder, vms=2, targets=3) as fleet:
        await fleet.apply(fleet.make_declaration())
        await fleet.wait_until_settled()
        vms_row = [(n, str(a), False) for n, a in fleet.targets.items()]
        await fleet.send(fleet.platform, 'PUT', '/vms', vms_row)
        await asyncio.sleep(1.5)
        if announcement == 'report':
            await fleet.inject_fault('t1', 'leave')
        else:
            vms_row[0] = (*vms_row[0][:2], True)
            await fleet.send(fleet.platform, 'PUT', '/vms', vms_row)
        await asyncio.sleep(_DRAIN_TIMEOUT_S)
        ledger_length = len(await fleet.get_ledger('t1'))
        chats = [fleet.chat(i % 2, f'new {i}') for i in range(40)]
        responses = await asyncio.gather(*chats)
        assert all(is_complete_stream(r, 10) for r in responses)
        assert len(await fleet.get_ledger('t1')) == ledger_length


def test_resumed_vm_rejects_withdrawn_key(tmp_path: pathlib.Path) -> None:
    """A VM that was paused while a key was withdrawn rejects that key.

    Its configuration is stale when it resumes, and requests with the
    key are already waiting on its socket.
    """
    asyncio.run(_run_resumed_vm(tmp_path))


async def _run_resumed_vm(folder: pathlib.Path) -> None:
    async with FleetProcesses(folder, vms=3, targets=1) as fleet:
        await fleet.apply(fleet.make_declaration())
        await fleet.wait_until_settled()
        fleet.send_signal('vm3', signal.SIGSTOP)
        await asyncio.sleep(4.0)
        remaining_keys = {'jepara': API_KEYS['jepara']}
        applied = await fleet.apply(
            fleet.make_declaration(keys=remaining_keys)
        )
        assert applied.get('generation') == 2, applied
        requests = [
            asyncio.create_task(
                fleet.send(
                    fleet.vms[2].callers,
                    'POST',
                    '/book',
                    f'{i}'.encode(),
                    X_Api_Key=API_KEYS['solo'],
                )
            )
            for i in range(20)
        ]
        await asyncio.sleep(1.0)
        fleet.send_signal('vm3', signal.SIGCONT)
        for response in await asyncio.gather(*requests):
            error_body = msgspec.json.decode(response.body)
            assert 'error' in error_body, error_body
            error = error_body['error']
            assert error['ran'] == 'not run'
            assert error['code'] in ('vm_stale', 'key_refused')
        assert await fleet.get_ledger('stock') == []


def test_store_outage(tmp_path: pathlib.Path) -> None:
    """VMs serve without the store; a restarted one gets cache hints."""
    asyncio.run(_run_outage(tmp_path))


async def _run_outage(folder: pathlib.Path) -> None:
    async with FleetProcesses(folder, vms=3, targets=2) as fleet:
        await fleet.apply(fleet.make_declaration())
        await fleet.wait_until_settled()
        prompt = 'y' * 8000
        for vm in range(3):
            assert is_complete_stream(await fleet.chat(vm, prompt), 10)
        await fleet.inject_platform_fault(kind='outage', seconds=60.0)
        await asyncio.sleep(5.0)
        for vm in range(3):
            assert is_complete_stream(
                await fleet.chat(vm, f'{prompt} {vm}'), 10
            )
        fleet.kill('vm3')
        fleet.start_vm(fleet.vms[2])
        await fleet.wait_for_port(fleet.vms[2].callers)
        async with asyncio.timeout(10.0):
            while True:
                address = fleet.vms[2].callers
                ready = await fleet.send(address, 'GET', '/ready')
                if ready.status == 200:
                    break
                await asyncio.sleep(0.05)
        response = await fleet.chat(2, f'{prompt} after')
        assert is_complete_stream(response, 10)
        dump = await fleet.get_report('dump', 2)
        assert dump['counts']['cached_tokens'] > 0
