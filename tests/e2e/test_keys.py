"""API keys: access to one workspace, confidentiality, withdrawal."""

from __future__ import annotations

import asyncio
import pathlib

from harness import API_KEYS
from harness import FleetProcesses
from lentilrun.web.client import ResponseHandler
import msgspec

_WITHDRAWAL_TIMEOUT_S = 6.0


def test_keys(tmp_path: pathlib.Path) -> None:
    """Keys don't leak to targets, reports or logs; withdrawal is prompt."""
    asyncio.run(_run(tmp_path))


async def _run(folder: pathlib.Path) -> None:
    async with FleetProcesses(folder, vms=3, targets=2) as fleet:
        await fleet.apply(
            fleet.make_declaration(
                '[route jepara]\npath = /jepara/*\nmodel = stock\n'
                'idempotent = yes\nworkspaces = jepara\n'
            )
        )
        # VMs that have not joined yet apply the file later.
        await fleet.wait_until_settled()
        await _check_refusals(fleet)
        await _check_keys_hidden(fleet, folder)
        await _check_withdrawal(fleet)


async def _get_code(fleet: FleetProcesses, path: str, **headers: str) -> str:
    address = fleet.vms[0].callers
    response = await fleet.send(address, 'GET', path, **headers)
    body = msgspec.json.decode(response.body)
    error = body.get('error')
    if error is None:
        return 'served'
    assert error['ran'] == 'not run'
    return error['code']


async def _check_refusals(fleet: FleetProcesses) -> None:
    solo, jepara = API_KEYS['solo'], API_KEYS['jepara']
    assert await _get_code(fleet, '/book') == 'key_missing'
    assert await _get_code(fleet, '/book', X_Api_Key='no') == 'key_refused'
    assert await _get_code(fleet, '/nowhere') == 'unknown_route'
    assert await _get_code(fleet, '/jepara/1', X_Api_Key=jepara) == 'served'
    code = await _get_code(fleet, '/jepara/1', X_Api_Key=solo)
    assert code == 'workspace_refused'
    assert (
        await _get_code(fleet, f'/look/{solo}', X_Api_Key=solo)
        == 'bad_request'
    )


async def _check_keys_hidden(
    fleet: FleetProcesses, folder: pathlib.Path
) -> None:
    key = API_KEYS['solo']
    address = fleet.vms[0].callers
    cases = (
        ('/book?key=' + key + '&day=1', {}),
        ('/book', {'Authorization': f'Bearer {key}'}),
        ('/book', {'X_Api_Key': key, 'X_Other': f'again {key}'}),
        ('/book', {'X_Api_Key': key, 'Cookie': f'k={key}'}),
    )
    for path, headers in cases:
        response = await fleet.send(address, 'GET', path, **headers)
        assert response.status == 200
        assert key.encode() not in response.body
    response_to_leak = await fleet.send(
        address, 'POST', '/book', key.encode(), X_Api_Key=key
    )
    assert response_to_leak.status == 400
    operators = fleet.vms[0].operators
    for name in ('dump', 'status', 'usage', 'metrics', 'moves'):
        report = await fleet.send(operators, 'GET', f'/{name}')
        assert key.encode() not in report.body
    for log in folder.glob('*.log'):
        assert key not in log.read_text()


async def _check_withdrawal(fleet: FleetProcesses) -> None:
    receiver = ResponseHandler()
    stream = asyncio.create_task(
        fleet.stream_chat(1, 'a long answer', 100_000, receiver)
    )
    await asyncio.sleep(0.5)
    remaining_keys = {'jepara': API_KEYS['jepara']}
    applied = await fleet.apply(
        fleet.make_declaration(keys=remaining_keys).replace(
            'idempotent = yes', 'idempotent = yes\nmax_output = 100000'
        )
    )
    assert applied['missing'] == []
    async with asyncio.timeout(_WITHDRAWAL_TIMEOUT_S):
        await stream
    last = receiver.response().body.strip().split(b'\n\n')[-1]
    assert b'key_withdrawn' in last
    for vm in fleet.vms:
        response = await fleet.send(
            vm.callers, 'GET', '/book', X_Api_Key=API_KEYS['solo']
        )
        assert response.status == 401
