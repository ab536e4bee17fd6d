"""What the router adds to a request, against asking the target directly.

Run ``python -m benchmarks.overhead``: starts a platform, targets and one
daemon as processes; prints, judges nothing, since times depend on the
machine.
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
from lentilrun.web.client import Receiver
from lentilrun.web.client import Request
import msgspec

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from lentilrun.config.ini import Address
    from tornado.httputil import HTTPHeaders

_REQUESTS = 200
_PLAIN = 4000
_AT_ONCE = 32
_STREAMS = 40
_TOKENS = 500


class _Timed(Receiver):
    """Notes when the first piece of a body came."""

    def __init__(self) -> None:
        super().__init__()
        self.first = 0.0

    def begin(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        return super().begin(status, headers)

    def take(self, chunk: bytes) -> Awaitable[None] | None:
        self.first = self.first or time.perf_counter()
        return super().take(chunk)


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


async def _time_first(fleet: FleetProcesses, address: Address) -> list[float]:
    found = []
    for index in range(_REQUESTS):
        receiver = _Timed()
        request = _make_chat(index, 1)
        started = time.perf_counter()
        await fleet.client.exchange(address, request, receiver)
        found.append((receiver.first - started) * 1e3)
    return found


def read_cpu_s(pid: int) -> float:
    """Return the seconds of processor time that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def _read_memory(pid: int) -> int:
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    found = re.search(r'VmRSS:\s+(\d+)', text)
    return int(found[1]) if found else 0


async def _send_plain(fleet: FleetProcesses, address: Address) -> float:
    """Return plain calls a second, with some under way at once."""
    left = iter(range(_PLAIN))
    request = Request('GET', '/look/1', {}, b'', 30.0)

    async def work() -> None:
        for _ in left:
            response = await fleet.client.fetch(address, request)
            assert response.status == 200

    started = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(_AT_ONCE)))
    return _PLAIN / (time.perf_counter() - started)


async def _send_streams(fleet: FleetProcesses, address: Address) -> None:
    async def work(index: int) -> None:
        receiver = Receiver()
        request = _make_chat(index, _TOKENS)
        await fleet.client.exchange(address, request, receiver)
        assert b'[DONE]' in receiver.response().body

    await asyncio.gather(*(work(i) for i in range(_STREAMS)))


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
    write(f'idle: {idle:.2%} of a core, {_read_memory(daemon)} KiB\n')
    direct = await _time_first(fleet, next(iter(fleet.targets.values())))
    routed = await _time_first(fleet, router)
    for name, found in (('direct', direct), ('routed', routed)):
        ordered = sorted(found)
        p99 = ordered[int(len(ordered) * 0.99)]
        median = statistics.median(found)
        write(f'first token {name}: p50 {median:.3f} ms, p99 {p99:.3f} ms\n')
    added = statistics.median(routed) - statistics.median(direct)
    write(f'added to the median first token: {added:.3f} ms\n')
    for name, address in (('direct', fleet.service), ('routed', router)):
        before = read_cpu_s(daemon)
        rate = await _send_plain(fleet, address)
        spent = (read_cpu_s(daemon) - before) / _PLAIN * 1e6
        write(
            f'plain calls {name}: {rate:.0f}/s, '
            f'{spent:.0f} us of the daemon each\n'
        )
    before = read_cpu_s(daemon)
    started = time.perf_counter()
    await _send_streams(fleet, router)
    spent = read_cpu_s(daemon) - before
    chunks = _STREAMS * (_TOKENS + 2)
    elapsed = time.perf_counter() - started
    write(
        f'streams: {chunks} chunks in {elapsed:.2f} s, '
        f'{spent / chunks * 1e6:.1f} us of the daemon each\n'
    )
    write(f'after the load: {_read_memory(daemon)} KiB\n')


def main() -> None:
    """Run the measurement."""
    asyncio.run(_run())


if __name__ == '__main__':
    main()
