"""Measures the costs of components at growing sizes.

Run ``python -m benchmarks.slopes``; writes ``benchmarks/slopes.json``.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import resource
import subprocess
import sys
import time
from typing import Any

from lentilrun.config.configuration import Policy
from lentilrun.config import declaration
from lentilrun.config.incremental import parse_incrementally
from lentilrun.config.incremental import SectionCache
from lentilrun.coordination.clock import SystemClock
from lentilrun.coordination.heartbeat import Heartbeat
from lentilrun.coordination.shares import BucketShares
from lentilrun.coordination.shares import RateLimit
from lentilrun.coordination.shares import UNITS_PER_BUCKET
from lentilrun.coordination.table import MemoryTable
from lentilrun.fleet.state import pack_text
from lentilrun.metrics.registry import Count
from lentilrun.peers import codec
from lentilrun.routing.placements import BlockHolder
from lentilrun.routing.placements import PlacementMap
from lentilrun.routing.pool import TargetPool
from lentilrun.routing import prefix
from lentilrun.routing.selection import PlacementRequest
from lentilrun.routing.selection import PlacementSelector
from lentilrun.standins.members import make_settings
from lentilrun.standins.members import SimulatedMember
from lentilrun.standins.network import SimulatedNetwork
from lentilrun.standins import timeloop
from lentilrun.standins.timeloop import TimeLoop
import msgspec

from .measure import fit_line
from .measure import measure_bytes
from .measure import measure_call_us
from .measure import Slope

_SEED = 7
_IDLE_TIME_S = 20.0
_POLICY = Policy(1.0, 1.0)
_RESULT_PATH = pathlib.Path(__file__).parent / 'slopes.json'


def make_declaration(workspaces: int, targets: int, models: int = 34) -> str:
    """Return an operators' file with that many sections."""
    sections = []
    for i in range(workspaces):
        digest = f'{i:064x}'
        sections.append(
            f'[workspace w{i}]\nrate = {1000 + i}\nburst = 5000\n'
            f'[key k{i}]\nworkspace = w{i}\ndigest = {digest}\n'
        )
    for i in range(models):
        sections.append(
            f'[model m{i}]\nslots = 16\n[route r{i}]\n'
            f'path = /v1/chat/completions\nmodel = m{i}\nidempotent = yes\n'
        )
    for i in range(targets):
        address = f'10.{i >> 16}.{i >> 8 & 255}.{i & 255}:9000'
        sections.append(
            f'[target t{i}]\nmodel = m{i % models}\naddress = {address}\n'
        )
    return '\n'.join(sections)


def _measure_members(count: int) -> tuple[float, float, float, float]:
    """Return messages, bytes, reads and CPU us per second of one member."""

    async def main(loop: TimeLoop) -> tuple[float, float, float, float]:
        network = SimulatedNetwork(_SEED)
        shared = MemoryTable()
        names = [f'vm{i}' for i in range(count)]
        members = []
        for name in names:
            settings = make_settings(name, names)
            members.append(SimulatedMember(loop, network, shared, settings))
            await asyncio.sleep(0.3)
        await asyncio.sleep(10.0)
        counters_before = [_read_counters(m) for m in members]
        started = time.process_time()
        await asyncio.sleep(_IDLE_TIME_S)
        cpu_s = time.process_time() - started
        counters_after = [_read_counters(m) for m in members]
        rates = [
            sum(
                a[i] - b[i]
                for a, b in zip(counters_after, counters_before, strict=True)
            )
            / count
            / _IDLE_TIME_S
            for i in range(3)
        ]
        return (*rates, cpu_s / count / _IDLE_TIME_S * 1e6)

    return timeloop.run(main)


def _read_counters(member: SimulatedMember) -> tuple[int, int, int]:
    metrics = member.metrics
    return (
        metrics.get(Count.PEER_MESSAGES, 'sent'),
        metrics.get(Count.PEER_BYTES, 'sent'),
        member.table.reads,
    )


def measure_members() -> list[Slope]:
    """Measure idle members in a full mesh."""
    sizes = [4, 8, 16, 32, 64]
    measured = [_measure_members(s) for s in sizes]
    names = (
        ('peer messages of an idle VM', 'messages/s'),
        ('peer bytes of an idle VM', 'bytes/s'),
        ('table reads of an idle VM', 'reads/s'),
        ('processor time of an idle VM in the mesh', 'us/s'),
    )
    return [
        fit_line(name, unit, 'VM in the mesh', sizes, [f[i] for f in measured])
        for i, (name, unit) in enumerate(names)
    ]


def measure_configuration() -> list[Slope]:
    """Measure parsing, changing, sending and storing a configuration."""
    sizes = [100, 400, 1600]
    texts = [make_declaration(s, s * 12_000 // 1600) for s in sizes]
    parsed = [
        measure_call_us(lambda t=t: declaration.parse(t, 'f'), 1)
        for t in texts
    ]
    changed = [_measure_change(t) for t in texts]
    packed = [float(len(pack_text(t))) for t in texts]
    memory = [
        measure_bytes(lambda t=t: declaration.parse(t, 'f')) for t in texts
    ]
    per = 'workspace with 7.5 targets'
    return [
        fit_line('reading a configuration', 'us', per, sizes, parsed),
        fit_line('a change of one section', 'us', per, sizes, changed),
        fit_line('a configuration sent', 'bytes', per, sizes, packed),
        fit_line('a configuration in memory', 'bytes', per, sizes, memory),
    ]


def _measure_change(text: str) -> float:
    memory = SectionCache()
    parse_incrementally(text, 'f', memory)
    changes = [
        text.replace('rate = 1005\n', f'rate = {i}\n') for i in range(1, 4)
    ]
    return measure_call_us(
        lambda: [parse_incrementally(c, 'f', memory) for c in changes], 1
    ) / len(changes)


def _make_pool(targets: int) -> TargetPool:
    pool = TargetPool(SystemClock())
    pool.configure(declaration.parse(make_declaration(1, targets, 1), 'f'))
    return pool


def measure_routing() -> list[Slope]:
    """Measure routing decisions, placements and targets."""
    sizes = [9, 750, 12_000]
    chain = prefix.hash_blocks(b'x' * 65536, 's', 8192)
    decisions = []
    rebuilds = []
    for size in sizes:
        pool = _make_pool(size)
        placements = PlacementMap(100_000)
        selector = PlacementSelector(pool, placements, _SEED)
        holder = BlockHolder('i', 'v1')
        for name in list(pool.targets)[:4]:
            placements.set_current_holder(name, holder)
            for block in chain:
                placements.add(block, name, holder)
        model = pool.targets['t0'].model
        request = PlacementRequest(model, chain, 16_384, frozenset())
        group = pool.get_groups('m0')['v1']
        decisions.append(
            measure_call_us(
                lambda sel=selector, r=request, g=group: sel.select(
                    r, g, _POLICY, 1.5
                ),
                2000,
            )
        )
        rebuilds.append(measure_call_us(lambda p=pool: _rebuild(p), 2))
    weights = [measure_bytes(lambda s=s: _make_pool(s)) for s in sizes]
    return [
        fit_line(
            'a routing decision', 'us', 'target of a model', sizes, decisions
        ),
        fit_line(
            'a change of usable targets',
            'us',
            'target of a model',
            sizes,
            rebuilds,
        ),
        fit_line('targets in memory', 'bytes', 'target', sizes, weights),
        *_measure_placements(),
    ]


def _rebuild(pool: TargetPool) -> None:
    pool.mark_leaving('t1')
    pool.get_groups('m0')


def _fill(count: int) -> PlacementMap:
    placements = PlacementMap(count)
    holder = BlockHolder('i', 'v1')
    generator = random.Random(_SEED)
    placements.set_current_holder('t', holder)
    for _ in range(count):
        placements.add(generator.getrandbits(64), 't', holder)
    return placements


def _measure_placements() -> list[Slope]:
    sizes = [10_000, 30_000, 100_000]
    cpu_times = [measure_call_us(lambda s=s: _fill(s), 1) for s in sizes]
    weights = [measure_bytes(lambda s=s: _fill(s)) for s in sizes]
    event = (1, 'incarnation-1234', 'v1', [2**63] * 4, [2**62] * 4)
    encoded = len(msgspec.msgpack.encode(event)) / 8
    return [
        fit_line('cache events taken in', 'us', 'event', sizes, cpu_times),
        fit_line('placements in memory', 'bytes', 'block', sizes, weights),
        fit_line(
            'cache events received',
            'bytes',
            'event',
            sizes,
            [encoded * s for s in sizes],
        ),
    ]


def _make_shares(workspaces: int) -> BucketShares:
    shares = BucketShares(SystemClock())
    limits = {f'w{i}': RateLimit(1e9, 1e9) for i in range(workspaces)}
    shares.configure(limits)
    for name in limits:
        shares.set_units(name, UNITS_PER_BUCKET, True)
    return shares


def measure_admission() -> list[Slope]:
    """Measure admission decisions and buckets."""
    sizes = [10, 100, 1600]
    cpu_times = []
    for size in sizes:
        shares = _make_shares(size)
        cpu_times.append(
            measure_call_us(lambda s=shares: s.spend('w5', 0.001), 20_000)
        )
    weights = [measure_bytes(lambda s=s: _make_shares(s)) for s in sizes]
    return [
        fit_line('an admission decision', 'us', 'workspace', sizes, cpu_times),
        fit_line('buckets in memory', 'bytes', 'workspace', sizes, weights),
    ]


def measure_messages() -> list[Slope]:
    """Measure encoding and decoding of heartbeats."""
    sender = codec.Sender('vm1', '0123456789abcdef')
    generations = {'configuration': 12345, 'members': 2345}
    pending = {'configuration': 0, 'members': 0}
    heartbeat = Heartbeat(
        123456, 123455, '0' * 16, generations, pending, True, False
    )
    data = codec.encode(sender, heartbeat)

    def encode_and_decode(times: int) -> None:
        for _ in range(times):
            codec.decode(codec.encode(sender, heartbeat))

    sizes = [1000, 2000, 4000]
    cpu_times = [
        measure_call_us(lambda s=s: encode_and_decode(s), 1) for s in sizes
    ]
    lengths = [float(len(data) * s) for s in sizes]
    return [
        fit_line(
            'a heartbeat coded and read', 'us', 'heartbeat', sizes, cpu_times
        ),
        fit_line('a heartbeat', 'bytes', 'heartbeat', sizes, lengths),
    ]


def measure_process() -> float:
    """Return the memory in KiB of an idle process with all modules."""
    code = (
        'import lentilrun.daemon.run, pathlib;'
        'print(pathlib.Path("/proc/self/statm").read_text().split()[1])'
    )
    measured = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        check=True,
        env=os.environ,
    )
    return float(measured.stdout) * os.sysconf('SC_PAGE_SIZE') / 1024


def main() -> None:
    """Measure everything, print the results and write them to the file."""
    slopes = [
        *measure_messages(),
        *measure_admission(),
        *measure_routing(),
        *measure_configuration(),
        *measure_members(),
    ]
    process_kib = measure_process()
    for slope in slopes:
        values = ', '.join(f'{v:.4g}' for v in slope.values)
        curved_mark = ' CURVED' if slope.curved else ''
        sys.stdout.write(
            f'{slope.name}: {slope.slope:.4g} {slope.unit} per {slope.per} '
            f'+ {slope.base:.4g}; at {slope.sizes}: {values}{curved_mark}\n'
        )
    sys.stdout.write(f'an idle process: {process_kib:.0f} KiB\n')
    result: dict[str, Any] = {
        'seed': _SEED,
        'idle_process_kib': process_kib,
        'slopes': [s._asdict() for s in slopes],
    }
    encoded = msgspec.json.encode(result)
    _RESULT_PATH.write_bytes(msgspec.json.format(encoded, indent=1) + b'\n')
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    sys.stdout.write(f'peak of this run: {peak} KiB\n')


if __name__ == '__main__':
    main()
