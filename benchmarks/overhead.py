"""Overhead of the router, compared with direct requests to a target.

Run ``python -m benchmarks.overhead``: starts a platform, targets and one
daemon as processes. It only prints results, without aims to meet, since
they depend on the machine.
"""

from __future__ import annotations

import asyncio
import pathlib
import re
import statistics
import sys
import tempfile
import time
from typing import TYPE_CHECKING

from harness import FleetProcesses
from lentilrun.web.client import Request
from lentilrun.web.client import ResponseHandler
import msgspec

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from lentilrun.config.ini import Address
    from tornado.httputil import HTTPHeaders

_CHAT_REQUESTS = 200
_PLAIN_REQUESTS = 4000
_CONCURRENCY = 32
_STREAM_COUNT = 40
_STREAM_TOKENS = 500


class _FirstChunkTimer(ResponseHandler):
    """Records when the first chunk of a body was received."""

    def __init__(self) -> None:
        super().__init__()
        self.first_chunk_at = 0.0

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        return super().receive_head(status, headers)

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        self.first_chunk_at = self.first_chunk_at or time.perf_counter()
        return super().receive_chunk(chunk)


def _make_chat(index: int, tokens: int) -> Request:
    body = {
        'model': 'm',
        'stream': True,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': f'hello {index}'}],
    }
    headers = {'Authorization': 'Bearer key-of-solo'}
    path = '/v1/chat/completions'
    return Request('POST', path, headers, msgspec.json.encode(body), 60.0)


async def _measure_first_tokens(
    fleet: FleetProcesses, address: Address
) -> list[float]:
    times_ms = []
    for index in range(_CHAT_REQUESTS):
        receiver = _FirstChunkTimer()
        request = _make_chat(index, 1)
        started = time.perf_counter()
        await fleet.client.exchange(address, request, receiver)
        times_ms.append((receiver.first_chunk_at - started) * 1e3)
    return times_ms


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def _read_memory_kib(pid: int) -> int:
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    match = re.search(r'VmRSS:\s+(\d+)', text)
    return int(match[1]) if match else 0


async def _send_plain(fleet: FleetProcesses, address: Address) -> float:
    """Send plain requests concurrently; return requests per second."""
    remaining = iter(range(_PLAIN_REQUESTS))
    request = Request('GET', '/look/1', {}, b'', 30.0)

    async def work() -> None:
        for _ in remaining:
            response = await fleet.client.fetch(address, request)
            assert response.status == 200

    started = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(_CONCURRENCY)))
    return _PLAIN_REQUESTS / (time.perf_counter() - started)


async def _send_streams(fleet: FleetProcesses, address: Address) -> None:
    async def work(index: int) -> None:
        receiver = ResponseHandler()
        request = _make_chat(index, _STREAM_TOKENS)
        await fleet.client.exchange(address, request, receiver)
        assert b'[DONE]' in receiver.response().body

    await asyncio.gather(*(work(i) for i in range(_STREAM_COUNT)))


async def _run() -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with FleetProcesses(
            pathlib.Path(folder), vms=1, targets=4
        ) as fleet:
            text = fleet.make_declaration()
            for old, new in (
                ('rate = 100000', 'rate = 100000000'),
                ('burst = 1000000', 'burst = 1000000000'),
            ):
                text = text.replace(old, new)
            await fleet.apply(text)
            await fleet.wait_until_settled()
            await _measure(fleet)


async def _measure(fleet: FleetProcesses) -> None:
    daemon = fleet.processes['vm1'].pid
    router = fleet.vms[0].callers
    write = sys.stdout.write
    idle = read_cpu_s(daemon)
    await asyncio.sleep(5.0)
    idle = (read_cpu_s(daemon) - idle) / 5.0
    write(f'idle: {idle:.2%} of a core, {_read_memory_kib(daemon)} KiB\n')
    direct = await _measure_first_tokens(
        fleet, next(iter(fleet.targets.values()))
    )
    routed = await _measure_first_tokens(fleet, router)
    for name, times_ms in (('direct', direct), ('routed', routed)):
        ascending = sorted(times_ms)
        p99 = ascending[int(len(ascending) * 0.99)]
        median = statistics.median(times_ms)
        write(f'first token {name}: p50 {median:.3f} ms, p99 {p99:.3f} ms\n')
    added = statistics.median(routed) - statistics.median(direct)
    write(f'added to the median first token: {added:.3f} ms\n')
    for name, address in (('direct', fleet.service), ('routed', router)):
        before = read_cpu_s(daemon)
        rate = await _send_plain(fleet, address)
        cpu_us = (read_cpu_s(daemon) - before) / _PLAIN_REQUESTS * 1e6
        write(
            f'plain calls {name}: {rate:.0f}/s, '
            f'{cpu_us:.0f} us of the daemon each\n'
        )
    before = read_cpu_s(daemon)
    started = time.perf_counter()
    await _send_streams(fleet, router)
    cpu_s = read_cpu_s(daemon) - before
    chunks = _STREAM_COUNT * (_STREAM_TOKENS + 2)
    elapsed = time.perf_counter() - started
    write(
        f'streams: {chunks} chunks in {elapsed:.2f} s, '
        f'{cpu_s / chunks * 1e6:.1f} us of the daemon each\n'
    )
    write(f'after the load: {_read_memory_kib(daemon)} KiB\n')


def main() -> None:
    """Run the measurement."""
    asyncio.run(_run())


if __name__ == '__main__':
    main()
