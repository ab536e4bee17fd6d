"""Choice of targets: this router against baselines and an oracle.

Run ``python -m benchmarks.placement``. Seeded, on simulated time: small
targets with a bounded prefix cache, several VMs that each see delayed
reports, and nested prompts whose most frequent prefixes change.
"""

from __future__ import annotations

import asyncio
import random
import sys
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.config.configuration import Configuration
from lentilrun.config.configuration import Model
from lentilrun.config.configuration import Policy
from lentilrun.config.configuration import Target
from lentilrun.config.configuration import TargetKind
from lentilrun.config.ini import Address
from lentilrun.routing.placements import BlockHolder
from lentilrun.routing.placements import PlacementMap
from lentilrun.routing.pool import TargetPool
from lentilrun.routing import prefix
from lentilrun.routing.selection import PlacementRequest
from lentilrun.routing.selection import PlacementSelector
from lentilrun.standins.engine import BlockCache
from lentilrun.standins import timeloop
from lentilrun.targets.loads import ReportedLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from lentilrun.standins.timeloop import TimeLoop

_BLOCK_TOKENS = 2048
_BLOCK_BYTES = 64
_PREFILL_TOKENS_PER_S = 40_000.0
_SLOTS = 16
_CACHE_BLOCKS = 60
_TOKEN_TIME_S = 0.004
_REPORT_DELAY_S = 0.5
_HOT_SHIFT_S = 20.0
_NO_SLOT_LIMIT = 1e6
_VMS = 6
_SLOT_LIMIT = 1.5 * _SLOTS / _VMS
_HOLDER = BlockHolder('i', 'v1')
MIN_HIT_RATE_SHARE = 0.9


class TrafficMix(NamedTuple):
    """A mix of chat and document requests from several workspaces.

    ``depth`` is the length of a document in blocks, ``chat`` the share
    of chat requests.
    """

    name: str
    workspaces: int
    documents: int
    chat: float
    depth: int
    policy: Policy


MIXES = (
    TrafficMix('kulit', 5, 12, 0.4, 6, Policy(1.0, 2.0)),
    TrafficMix('kuiseb', 5, 20, 0.7, 4, Policy(2.0, 1.0)),
)


class PolicyResult(NamedTuple):
    """The result of a policy; times are in seconds."""

    policy: str
    hit_rate: float
    recomputed_tokens: int
    first_token_p50: float
    first_token_p99: float


class _Engine:
    """A target with slots and a cache that prefills one prompt at a time."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.cache = BlockCache(_CACHE_BLOCKS)
        self.running = 0
        self.backlog = 0.0
        self._slots = asyncio.Semaphore(_SLOTS)
        self._compute = asyncio.Lock()

    async def run(
        self, chain: tuple[int, ...], tokens: int, output: int
    ) -> int:
        """Run until the first token; return the number of cached tokens."""
        self.running += 1
        # The prefill backlog is visible to the oracle only.
        expected = tokens / _PREFILL_TOKENS_PER_S
        self.backlog += expected
        await self._slots.acquire()
        async with self._compute:
            cached = min(
                tokens, self.cache.count_cached(chain) * _BLOCK_TOKENS
            )
            await asyncio.sleep((tokens - cached) / _PREFILL_TOKENS_PER_S)
            self.cache.insert(chain)
            self.backlog -= expected
        loop = asyncio.get_running_loop()
        loop.call_later(output * _TOKEN_TIME_S, self._release_slot)
        return cached

    def _release_slot(self) -> None:
        self.running -= 1
        self._slots.release()


class _PromptGenerator:
    """Generates nested prompts: workspace, then document, then question."""

    def __init__(self, mix: TrafficMix, seed: int) -> None:
        self._mix = mix
        self._random = random.Random(seed)

    def make(self, now: float) -> tuple[bytes, int, int]:
        """Return a prompt's text, its length and its output in tokens."""
        mix = self._mix
        workspace = self._random.randrange(mix.workspaces)
        # A few documents are frequent; which ones changes over time.
        rank = int(self._random.paretovariate(1.1)) - 1
        shift = int(now / _HOT_SHIFT_S)
        document = (rank + 3 * shift) % mix.documents
        pieces = [f'workspace {workspace}'.ljust(_BLOCK_BYTES)]
        if self._random.random() < mix.chat:
            output = self._random.randint(20, 60)
            depth = 1
        else:
            output = 1
            depth = mix.depth
        pieces += [
            f'{workspace} document {document} {i}'.ljust(_BLOCK_BYTES)
            for i in range(depth)
        ]
        text = ''.join(pieces)
        return text.encode(), (depth + 1) * _BLOCK_TOKENS + 100, output


class _Vm:
    """One VM's view of the targets, as a daemon maintains it."""

    def __init__(
        self,
        loop: TimeLoop,
        engines: list[_Engine],
        mix: TrafficMix,
        seed: int,
    ) -> None:
        self._loop = loop
        self._engines = {e.name: e for e in engines}
        self.mix = mix
        self.model = Model(
            'm', TargetKind.MODEL, 'v1', _BLOCK_BYTES,
            _BLOCK_BYTES / _BLOCK_TOKENS, _PREFILL_TOKENS_PER_S, _SLOTS,
        )  # fmt: skip
        address = Address('127.0.0.1', 1)
        targets = {
            e.name: Target(e.name, 'm', address, None, 'v1', False)
            for e in engines
        }
        self.pool = TargetPool(loop)
        self.pool.configure(
            Configuration(
                {}, {}, {'m': self.model}, targets, (), {}, mix.policy
            )
        )
        self.placements = PlacementMap(100_000)
        self.selector = PlacementSelector(self.pool, self.placements, seed)
        self.random = random.Random(seed)
        self.turn = seed
        for name in targets:
            self.placements.set_current_holder(name, _HOLDER)

    async def report(self) -> None:
        """Apply the targets' reports periodically, with a delay."""
        while True:
            own_loads = {
                n: s.own_in_flight for n, s in self.pool.targets.items()
            }
            running_counts = {n: e.running for n, e in self._engines.items()}
            await asyncio.sleep(_REPORT_DELAY_S)
            for name, running in running_counts.items():
                load = ReportedLoad('i', 'v1', running, 0, False, False)
                self.pool.apply_report(name, load, own_loads[name])


def _choose_router(
    vm: _Vm, engines: list[_Engine], chain: tuple[int, ...], tokens: int
) -> str:
    request = PlacementRequest(vm.model, chain, tokens, frozenset())
    group = vm.pool.get_groups('m')['v1']
    choice = vm.selector.select(request, group, vm.mix.policy, _SLOT_LIMIT)
    if choice is None:
        choice = vm.selector.select(
            request, group, vm.mix.policy, _NO_SLOT_LIMIT
        )
    assert choice is not None
    return choice.target_state.target.name


def _choose_round_robin(
    vm: _Vm, engines: list[_Engine], chain: tuple[int, ...], tokens: int
) -> str:
    vm.turn += 1
    return engines[vm.turn % len(engines)].name


def _choose_least_loaded(
    vm: _Vm, engines: list[_Engine], chain: tuple[int, ...], tokens: int
) -> str:
    least = min(s.estimate_in_flight() for s in vm.pool.targets.values())
    names = [
        n
        for n, s in vm.pool.targets.items()
        if s.estimate_in_flight() == least
    ]
    return vm.random.choice(names)


def _choose_rendezvous(
    vm: _Vm, engines: list[_Engine], chain: tuple[int, ...], tokens: int
) -> str:
    group = vm.pool.get_groups('m')['v1']
    return group.find_targets(chain[-1], 1)[0]


def _choose_oracle(
    vm: _Vm, engines: list[_Engine], chain: tuple[int, ...], tokens: int
) -> str:
    """Choose by the current state of all caches and backlogs."""

    def cost(engine: _Engine) -> float:
        cached = min(tokens, engine.cache.count_cached(chain) * _BLOCK_TOKENS)
        recompute = (tokens - cached) / _PREFILL_TOKENS_PER_S
        queued = max(0, engine.running - _SLOTS + 1) * 0.01
        policy = vm.mix.policy
        wait = engine.backlog * 0.3 + queued
        return policy.wait_weight * wait + policy.recompute_weight * recompute

    return min(engines, key=cost).name


POLICIES: dict[str, Callable[..., str]] = {
    'round robin': _choose_round_robin,
    'least in flight': _choose_least_loaded,
    'rendezvous alone': _choose_rendezvous,
    'lentilrun': _choose_router,
    'oracle': _choose_oracle,
}


class _Simulation:
    """A simulation of one policy."""

    def __init__(self, loop: TimeLoop, mix: TrafficMix, targets: int) -> None:
        self.loop = loop
        self.engines = [_Engine(f't{i}') for i in range(targets)]
        self.by_name = {e.name: e for e in self.engines}
        self.vms = [_Vm(loop, self.engines, mix, i) for i in range(_VMS)]
        self.first_token_times: list[float] = []
        self.cached = 0
        self.prompt = 0

    async def serve(
        self, vm: _Vm, policy: str, prompt: tuple[bytes, int, int]
    ) -> None:
        """Serve one request and record its placements."""
        text, tokens, output = prompt
        chain = prefix.hash_blocks(text, 's', _BLOCK_BYTES)
        name = POLICIES[policy](vm, self.engines, chain, tokens)
        state = vm.pool.targets[name]
        state.own_in_flight += 1
        state.prefill_tokens += tokens
        started = self.loop.time()
        cached = await self.by_name[name].run(chain, tokens, output)
        self.first_token_times.append(self.loop.time() - started)
        state.prefill_tokens -= tokens
        self.cached += cached
        self.prompt += tokens
        for block in chain:
            vm.placements.add(block, name, _HOLDER)
        await asyncio.sleep(output * _TOKEN_TIME_S)
        vm.pool.record_service_time('m', self.loop.time() - started)
        state.own_in_flight -= 1
        state.own_in_report = min(state.own_in_report, state.own_in_flight)


def measure(
    policy: str,
    mix: TrafficMix,
    targets: int,
    rate: float,
    seconds: float,
    seed: int,
) -> PolicyResult:
    """Simulate a policy at ``rate`` requests per second and target."""

    async def main(loop: TimeLoop) -> PolicyResult:
        simulation = _Simulation(loop, mix, targets)
        tasks = [asyncio.ensure_future(vm.report()) for vm in simulation.vms]
        prompts = _PromptGenerator(mix, seed)
        arrivals = random.Random(seed)
        stop_at = loop.time() + seconds
        requests = []
        while loop.time() < stop_at:
            await asyncio.sleep(arrivals.expovariate(rate * targets))
            vm = arrivals.choice(simulation.vms)
            prompt = prompts.make(loop.time() - 1000.0)
            requests.append(
                asyncio.ensure_future(simulation.serve(vm, policy, prompt))
            )
        await asyncio.wait(requests)
        for task in tasks:
            task.cancel()
        ascending = sorted(simulation.first_token_times)
        return PolicyResult(
            policy,
            simulation.cached / simulation.prompt,
            simulation.prompt - simulation.cached,
            ascending[len(ascending) // 2],
            ascending[int(len(ascending) * 0.99)],
        )

    return timeloop.run(main)


def list_missed_aims(outcomes: list[PolicyResult]) -> list[str]:
    """Return the aims that the router misses."""
    by_policy = {o.policy: o for o in outcomes}
    own_result = by_policy['lentilrun']
    misses = []
    if own_result.hit_rate < MIN_HIT_RATE_SHARE * by_policy['oracle'].hit_rate:
        misses.append('hit rate below 90% of the oracle')
    if (
        own_result.first_token_p99
        > by_policy['least in flight'].first_token_p99
    ):
        misses.append('first token p99 above least in flight')
    return misses


def main() -> None:
    """Print a table of all policies; exit with 1 on a missed aim."""
    missed = False
    for mix in MIXES:
        for targets, rate in ((9, 3.0), (9, 7.0), (48, 3.0)):
            sys.stdout.write(
                f'{mix.name}, {targets} targets, {rate} requests/s each\n'
            )
            outcomes = [
                measure(p, mix, targets, rate, 60.0, 1) for p in POLICIES
            ]
            for o in outcomes:
                sys.stdout.write(
                    f'  {o.policy:17} hit {o.hit_rate:.3f}, recomputed '
                    f'{o.recomputed_tokens / 1e6:6.2f}M, first token p50 '
                    f'{o.first_token_p50:.3f} s, '
                    f'p99 {o.first_token_p99:.3f} s\n'
                )
            for miss in list_missed_aims(outcomes):
                missed = True
                sys.stdout.write(f'  MISSED: {miss}\n')
    sys.exit(1 if missed else 0)


if __name__ == '__main__':
    main()
