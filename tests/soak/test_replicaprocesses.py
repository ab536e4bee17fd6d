"""Replicas of the soak that are processes: their records outlive them."""

from __future__ import annotations

import asyncio
import pathlib
import signal

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
