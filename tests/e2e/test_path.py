"""Mixed traffic from callers to targets over separate processes."""

from __future__ import annotations

import asyncio
import pathlib

from harness import API_KEYS
from harness import FleetProcesses
from harness import is_complete_stream
import msgspec


def test_mixed_requests_while_vms_come_and_go(tmp_path: pathlib.Path) -> None:
    """Mixed requests succeed while VMs are killed, stopped, restarted."""
    asyncio.run(_run_mixed(tmp_path))


async def _run_mixed(folder: pathlib.Path) -> None:
    async with FleetProcesses(folder, vms=3, targets=3) as fleet:
        applied = await fleet.apply(fleet.make_declaration())
        assert applied['missing'] == []
        await fleet.wait_until_settled()
        await _send_batch(fleet, 200, (0, 1, 2))
        await _stop_with_open_streams(fleet)
        fleet.kill('vm3')
        await _send_batch(fleet, 40, (0,))
        for index in (1, 2):
            fleet.start_vm(fleet.vms[index])
            await fleet.wait_for_port(fleet.vms[index].callers)
            await _wait_ready(fleet, index)
        await fleet.wait_until_settled()
        await _send_batch(fleet, 60, (0, 1, 2))


async def _send_batch(
    fleet: FleetProcesses, count: int, vms: tuple[int, ...]
) -> None:
    tasks = [_send_one(fleet, i, vms[i % len(vms)]) for i in range(count)]
    assert all(await asyncio.gather(*tasks))


async def _send_one(fleet: FleetProcesses, index: int, vm: int) -> bool:
    workspace = sorted(API_KEYS)[index % 2]
    if index % 4 < 2:
        prompt = f'{"x" * 3000}{index}'
        response = await fleet.chat(vm, prompt, workspace, 10)
        assert is_complete_stream(response, 10), response.body
        return True
    address = fleet.vms[vm].callers
    if index % 4 == 2:
        path = f'/look/{index}'
        response = await fleet.send(address, 'GET', path)
        return msgspec.json.decode(response.body)['path'] == path
    body = f'skin {index}'.encode()
    response = await fleet.send(
        address, 'POST', '/book', body, X_Api_Key=API_KEYS[workspace]
    )
    body_fields = msgspec.json.decode(response.body)
    assert body_fields.get('body') == body.decode(), body_fields
    return True


async def _stop_with_open_streams(fleet: FleetProcesses) -> None:
    streams = [
        asyncio.create_task(fleet.chat(1, f'stop {i}', 'solo', 400))
        for i in range(10)
    ]
    await asyncio.sleep(0.3)
    fleet.processes['vm2'].terminate()
    responses = await asyncio.gather(*streams)
    assert all(is_complete_stream(r, 400) for r in responses)
    assert await fleet.wait_for_exit('vm2') == 0


async def _wait_ready(fleet: FleetProcesses, vm: int) -> None:
    address = fleet.vms[vm].callers
    async with asyncio.timeout(20.0):
        while True:
            response = await fleet.send(address, 'GET', '/ready')
            if response.status == 200:
                return
            await asyncio.sleep(0.05)
