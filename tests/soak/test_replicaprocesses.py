"""Replicas of the soak that are processes: their records outlive them."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import msgspec
import pytest
from soak.deployment import copy_programs
from soak.deployment import Deployment
from soak.proxy import LOOPBACK
from soak.replicaprocesses import ReplicaProcess
from soak.replicaprogram import read_runs

_REQUEST = (
    b'POST /far/a-1000 HTTP/1.1\r\nHost: example\r\nX-Request-Id: r1\r\n'
    b'X-Prefix-Hash: aa:1\r\nContent-Length: 2\r\n\r\nr1'
)


async def _ask_and_kill(process: ReplicaProcess) -> bytes:
    """Kill a replica while it streams; return all that it has sent."""
    reader, writer = await asyncio.open_connection(LOOPBACK, process.port)
    writer.write(_REQUEST)
    received = await reader.readuntil(b'\r\n\r\n')
    process.send_signal(signal.SIGKILL)
    received += await reader.read(-1)
    writer.close()
    return received


def test_runs_outlive_a_killed_process(tmp_path: pathlib.Path) -> None:
    """A run is on record though its process was killed while it answered."""
    copy_programs(tmp_path)
    folder = tmp_path / '1'
    folder.mkdir()

    async def run_test() -> None:
        async with Deployment(folder, 0, 1) as deployment:
            (process,) = deployment.processes
            received = await _ask_and_kill(process)
            assert received.startswith(b'HTTP/1.1 200')
            assert [r.request_id for r in deployment.runs()] == ['r1']
            assert process.process is not None
            await process.process.wait()
            await process.start(is_new=True)
            assert process.is_running()
            assert [r.request_id for r in deployment.runs()] == ['r1']

    asyncio.run(run_test())


@pytest.mark.parametrize(
    ('content', 'lines', 'end'),
    [
        (b'', [], 0),
        (b'a', [], 0),
        (b'a\nb', [b'a'], 2),
        (b'a\nb\n', [b'a', b'b'], 4),
    ],
)
def test_torn_records(
    tmp_path: pathlib.Path, content: bytes, lines: list[bytes], end: int
) -> None:
    """A line that isn't whole yet is read later."""
    path = tmp_path / 'runs'
    path.write_bytes(content)
    assert read_runs(path, 0) == (lines, end)


async def _read_start(process: ReplicaProcess) -> int:
    """Return the start that a replica states in its report."""
    reader, writer = await asyncio.open_connection(LOOPBACK, process.port)
    writer.write(b'GET /lentilrun/report HTTP/1.1\r\nConnection: close\r\n')
    writer.write(b'Host: example\r\n\r\n')
    response = await reader.read(-1)
    writer.close()
    report = msgspec.json.decode(response.partition(b'\r\n\r\n')[2])
    return report['born']


def test_report_tells_starts_of_one_id_apart(tmp_path: pathlib.Path) -> None:
    """A replica that starts again under its ID states another start.

    As its row does; without it, a VM that was paused meanwhile takes the end
    of the killed process for the end of the stream (seed 1001 of an upgrade).
    """
    copy_programs(tmp_path)
    folder = tmp_path / '1'
    folder.mkdir()

    async def run_test() -> None:
        async with Deployment(folder, 0, 1) as deployment:
            (process,) = deployment.processes
            assert await _read_start(process) == 1
            process.send_signal(signal.SIGKILL)
            assert process.process is not None
            await process.process.wait()
            await process.start(is_new=False)
            assert await _read_start(process) == 2

    asyncio.run(run_test())
