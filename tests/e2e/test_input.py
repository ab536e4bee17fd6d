"""Invalid input of any kind yields an error code, never a crash."""

from __future__ import annotations

import asyncio
import os
import pathlib
import socket
import subprocess
import sys
from typing import TYPE_CHECKING

from harness import API_KEYS
from harness import FleetProcesses
from lentilrun.config.ini import Address
import msgspec
import pytest

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

_CHAT = '/v1/chat/completions'


def _run_cli(*arguments: str, entry: str = 'lentilrun.run') -> tuple[int, str]:
    code = f'from {entry} import main; main()'
    completed = subprocess.run(
        [sys.executable, '-c', code, *arguments],
        capture_output=True,
        check=False,
        env={**os.environ, 'COLUMNS': '79'},
        timeout=60,
    )
    return completed.returncode, (completed.stdout + completed.stderr).decode()


def test_bad_input(tmp_path: pathlib.Path) -> None:
    """Invalid requests, bytes and commands get errors; the VM stays up."""
    asyncio.run(_run(tmp_path))


async def _run(folder: pathlib.Path) -> None:
    async with FleetProcesses(folder, vms=1, targets=1) as fleet:
        await fleet.apply(fleet.make_declaration())
        await fleet.wait_until_settled()
        await _send_invalid_requests(fleet)
        await _send_malformed_bytes(fleet)
        await _run_commands(fleet, folder)
        response = await fleet.chat(0, 'still up')
        assert response.status == 200


async def _send_invalid_requests(fleet: FleetProcesses) -> None:
    address = fleet.vms[0].callers
    key = API_KEYS['solo']
    large = b'x' * (17 * 1024 * 1024)
    cases = [
        (b'not json', 400, 'bad_request'),
        (b'{"model": 7}', 400, 'bad_request'),
        (b'[' * 5000, 400, 'bad_request'),
        (b'{"model": "other"}', 404, 'unknown_model'),
        (b'{"model": "m", "max_tokens": -1}', 400, 'bad_request'),
        (large, 413, 'body_too_large'),
    ]
    for body, status, code in cases:
        response = await fleet.send(
            address, 'POST', _CHAT, body, X_Api_Key=key
        )
        assert response.status == status, code
        error = msgspec.json.decode(response.body)['error']
        assert (error['code'], error['ran']) == (code, 'not run')
    long_key = 'k' * 300
    response = await fleet.send(
        address, 'POST', '/book', X_Api_Key=key, Idempotency_Key=long_key
    )
    assert response.status == 400


async def _send_malformed_bytes(fleet: FleetProcesses) -> None:
    for data in (
        b'\x00\x01\x02\r\n\r\n',
        b'GET / HTTP/9.9\r\n\r\n',
        b'GET / HTTP/1.1\r\n' + b'a: ' + b'b' * 100_000 + b'\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n',
    ):
        for address in (fleet.vms[0].callers, fleet.vms[0].peers):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(data)
                writer.write_eof()
                async with asyncio.timeout(5.0):
                    await reader.read()
            except (TimeoutError, OSError):
                pass
            writer.close()


async def _run_commands(fleet: FleetProcesses, folder: pathlib.Path) -> None:
    operator = str(fleet.vms[0].operators)
    path = folder / 'fleet.conf'
    path.write_text(fleet.make_declaration())
    loop = asyncio.get_running_loop()

    async def run_command(*arguments: str) -> tuple[int, str]:
        return await loop.run_in_executor(None, _run_cli, *arguments)

    operator_option = ('--operator', operator)
    assert (await run_command('apply', str(path), *operator_option))[0] == 0
    conflicting = await run_command(
        'apply', str(path), '--expect', '1', *operator_option
    )
    assert conflicting[0] == 3
    path.write_text(fleet.make_declaration().replace('rate =', 'tempo ='))
    invalid = await run_command('apply', str(path), *operator_option)
    assert invalid[0] == 2
    assert invalid[1].count('unknown_key') == 2
    for name in ('status', 'usage', 'moves'):
        code, text = await run_command(name, '--json', *operator_option)
        assert code == 0
        msgspec.json.decode(text.split('\nWARNING')[0])
    assert (await run_command('dump', *operator_option))[0] == 0
    unreachable = await run_command('status', '--operator', '127.0.0.1:1')
    assert unreachable[0] == 4
    status = await fleet.get_report('status')
    assert status['generation'] == 2


_INVALID_FILE = """\
[workspace solo]
rate = -3
burst = many

[key one]
workspace = sole
digest = plain

[route chat]
path = chat
model = none
colour = red

[target]
model = none
address = somewhere:80
"""


def test_check_reports_all_findings(
    tmp_path: pathlib.Path, snapshot: SnapshotAssertion
) -> None:
    """All findings are printed, with file, line, section, key and code."""
    path = tmp_path / 'fleet.conf'
    path.write_text(_INVALID_FILE)
    code, text = _run_cli('check', str(path))
    assert code == 2
    assert text.replace(str(path), 'fleet.conf') == snapshot


_SETTINGS = """\
[vm]
name = vm1
data_centre = dc1
[listen]
callers = {port}
operators = 127.0.0.1:{free}
peers = localhost:1
[platform]
tables = 127.0.0.1:1
objects = 127.0.0.1:1
weights = 127.0.0.1:1
[secrets]
fleet = env:NO_SUCH_VARIABLE
"""


def test_bad_settings_are_reported_together(
    tmp_path: pathlib.Path, snapshot: SnapshotAssertion
) -> None:
    """A daemon with invalid settings prints all findings, exits with 2."""
    path = tmp_path / 'vm.conf'
    path.write_text(_SETTINGS.format(port='127.0.0.1', free=70000))
    code, text = _run_cli(str(path), entry='lentilrun.daemon.run')
    assert code == 2
    assert text.replace(str(path), 'vm.conf') == snapshot


@pytest.mark.parametrize('which', ['callers', 'operators', 'peers'])
def test_port_in_use(tmp_path: pathlib.Path, which: str) -> None:
    """A daemon whose port is in use exits with code 3."""
    fleet = FleetProcesses(tmp_path, vms=1, targets=0)
    address: Address = getattr(fleet.vms[0], which)
    with fleet.ports, socket.create_server(address):
        fleet.start_vm(fleet.vms[0])
        assert fleet.processes['vm1'].wait(30.0) == 3
    assert 'port_in_use' in (tmp_path / 'vm1.log').read_text()
