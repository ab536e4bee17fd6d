"""The whole path over separate processes."""

from __future__ import annotations

import asyncio
import pathlib

from harness import Fleet
from harness import is_whole
from harness import KEYS
import msgspec


def test_mixed_requests_while_vms_come_and_go(tmp_path: pathlib.Path) -> None:
    """200 mixed requests; one VM killed, one stopped, both restarted."""
    asyncio.run(_run_mixed(tmp_path))


async def _run_mixed(folder: pathlib.Path) -> None:
    async with Fleet(folder, vms=3, targets=3) as fleet:
        applied = await fleet.apply(fleet.declare())
        assert applied['missing'] == []
        await fleet.wait_units()
        await _send_batch(fleet, 200, (0, 1, 2))
        await _stop_under_load(fleet)
        fleet.kill('vm3')
        await _send_batch(fleet, 40, (0,))
        for index in (1, 2):
            fleet.start_vm(fleet.vms[index])
            await fleet.wait_port(fleet.vms[index].callers)
            await _wait_ready(fleet, index)
        await fleet.wait_units()
        await _send_batch(fleet, 60, (0, 1, 2))


async def _send_batch(fleet: Fleet, count: int, vms: tuple[int, ...]) -> None:
    tasks = [_send_one(fleet, i, vms[i % len(vms)]) for i in range(count)]
    assert all(await asyncio.gather(*tasks))


async def _send_one(fleet: Fleet, index: int, vm: int) -> bool:
    workspace = sorted(KEYS)[index % 2]
    if index % 4 < 2:
        prompt = f'{"x" * 3000}{index}'
        response = await fleet.chat(vm, prompt, workspace, 10)
        assert is_whole(response, 10), response.body
        return True
    address = fleet.vms[vm].callers
    if index % 4 == 2:
        path = f'/look/{index}'
        response = await fleet.send(address, 'GET', path)
        return msgspec.json.decode(response.body)['path'] == path
    body = f'skin {index}'.encode()
    response = await fleet.send(
        address, 'POST', '/book', body, X_Api_Key=KEYS[workspace]
    )
    told = msgspec.json.decode(response.body)
    assert told.get('body') == body.decode(), told
    return True


async def _stop_under_load(fleet: Fleet) -> None:
    streams = [
        asyncio.create_task(fleet.chat(1, f'stop {i}', 'solo', 400))
        for i in range(10)
    ]
    await asyncio.sleep(0.3)
    fleet.processes['vm2'].terminate()
    responses = await asyncio.gather(*streams)
    assert all(is_whole(r, 400) for r in responses)
    assert await fleet.wait_exit('vm2') == 0


async def _wait_ready(fleet: Fleet, vm: int) -> None:
    address = fleet.vms[vm].callers
    async with asyncio.timeout(20.0):
        while True:
            response = await fleet.send(address, 'GET', '/ready')
            if response.status == 200:
                return
            await asyncio.sleep(0.05)
