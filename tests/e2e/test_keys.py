"""A key opens its own workspace only, and stops when withdrawn."""

from __future__ import annotations

import asyncio
import pathlib

from harness import Fleet
from harness import KEYS
from lentilrun.web.client import ResponseHandler
import msgspec

_SECONDS = 6.0


def test_keys(tmp_path: pathlib.Path) -> None:
    """No target, dump or metric sees a key; a withdrawn one stops."""
    asyncio.run(_run(tmp_path))


async def _run(folder: pathlib.Path) -> None:
    async with Fleet(folder, vms=3, targets=2) as fleet:
        await fleet.apply(
            fleet.declare(
                '[route jepara]\npath = /jepara/*\nmodel = stock\n'
                'idempotent = yes\nworkspaces = jepara\n'
            )
        )
        await _check_refusals(fleet)
        await _check_hidden(fleet, folder)
        await _check_withdrawal(fleet)


async def _code(fleet: Fleet, path: str, **headers: str) -> str:
    address = fleet.vms[0].callers
    response = await fleet.send(address, 'GET', path, **headers)
    body = msgspec.json.decode(response.body)
    error = body.get('error')
    if error is None:
        return 'served'
    assert error['ran'] == 'not run'
    return error['code']


async def _check_refusals(fleet: Fleet) -> None:
    solo, jepara = KEYS['solo'], KEYS['jepara']
    assert await _code(fleet, '/book') == 'key_missing'
    assert await _code(fleet, '/book', X_Api_Key='no') == 'key_refused'
    assert await _code(fleet, '/nowhere') == 'unknown_route'
    assert await _code(fleet, '/jepara/1', X_Api_Key=jepara) == 'served'
    refused = await _code(fleet, '/jepara/1', X_Api_Key=solo)
    assert refused == 'workspace_refused'
    assert await _code(fleet, f'/look/{solo}', X_Api_Key=solo) == 'bad_request'


async def _check_hidden(fleet: Fleet, folder: pathlib.Path) -> None:
    key = KEYS['solo']
    address = fleet.vms[0].callers
    ways = (
        ('/book?key=' + key + '&day=1', {}),
        ('/book', {'Authorization': f'Bearer {key}'}),
        ('/book', {'X_Api_Key': key, 'X_Other': f'again {key}'}),
        ('/book', {'X_Api_Key': key, 'Cookie': f'k={key}'}),
    )
    for path, headers in ways:
        response = await fleet.send(address, 'GET', path, **headers)
        assert response.status == 200
        assert key.encode() not in response.body
    leaking = await fleet.send(
        address, 'POST', '/book', key.encode(), X_Api_Key=key
    )
    assert leaking.status == 400
    operators = fleet.vms[0].operators
    for name in ('dump', 'status', 'usage', 'metrics', 'moves'):
        shown = await fleet.send(operators, 'GET', f'/{name}')
        assert key.encode() not in shown.body
    for log in folder.glob('*.log'):
        assert key not in log.read_text()


async def _check_withdrawal(fleet: Fleet) -> None:
    receiver = ResponseHandler()
    stream = asyncio.create_task(
        fleet.open_chat(1, 'a long answer', 100_000, receiver)
    )
    await asyncio.sleep(0.5)
    kept = {'jepara': KEYS['jepara']}
    applied = await fleet.apply(
        fleet.declare(keys=kept).replace(
            'idempotent = yes', 'idempotent = yes\nmax_output = 100000'
        )
    )
    assert applied['missing'] == []
    async with asyncio.timeout(_SECONDS):
        await stream
    last = receiver.response().body.strip().split(b'\n\n')[-1]
    assert b'key_withdrawn' in last
    for vm in fleet.vms:
        response = await fleet.send(
            vm.callers, 'GET', '/book', X_Api_Key=KEYS['solo']
        )
        assert response.status == 401
