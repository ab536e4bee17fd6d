"""A table of simulated routers that choose targets from old reports.

It runs the selection of the package without a network or an event loop.
Each VM sees its own requests at once, and those of the others as they were
at the last report. Targets prefill one prompt after the other and generate
the responses side by side.
"""

from __future__ import annotations

import bisect
import collections
import heapq
import itertools
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.decisions.evenload import choose_evenly
from lentilrun.decisions.evenload import compute_even_sample_size
from lentilrun.decisions.evenload import is_called_for
from lentilrun.decisions.evenload import MIN_HOLDERS
from lentilrun.decisions.evenload import SentRequests
from lentilrun.decisions.facts import Prompt
from lentilrun.decisions.facts import PromptSegment
from lentilrun.decisions.placement import Candidate
from lentilrun.decisions.placement import choose_target
from lentilrun.decisions.placement import compute_sample_size
from lentilrun.decisions.placement import pick_sample
from lentilrun.decisions.placement import TokenDemand
from lentilrun.decisions.sources import estimate_cached
from lentilrun.decisions.sources import PrefillPlan
from lentilrun.decisions.speeds import PRIOR_SPEEDS
from lentilrun.decisions.topology import MESH_VMS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

# Callers are assumed to stop waiting after this time, so an overload counts
# over as long a window.
_WINDOW_S = 2.0
_WARM_UP_S = 6.0
_SLOTS = 48
_PLAIN_SLOTS = 6
_MEMORY_TOKENS = 69_000
_LATE_S = 0.6
_PREFIX_TOKENS = 6000
_PREFIXES_PER_TARGET = 4
_LONG_PROMPT = TokenDemand(9000, 200)
_LONG_RESPONSE = TokenDemand(800, 950)
_LONG_PROMPT_SHARE = 0.28
# Prefixes that a target keeps beside the requests in flight.
_CACHED_PREFIXES = 8
_BURST_PERIOD_S = 4.0
_BURST_S = 0.5
# A peer's load is not counted any longer after this time.
_REPORT_TTL_S = 1.8
# What ``Peers.mean_report_age`` states for a mesh, and with hubs.
_STATED_AGES_S = (0.125, 0.25)


class Scenario(NamedTuple):
    """A fleet and its load, which is a share of what the targets can do.

    Each report shows the state ``report_age`` seconds ago. ``burst`` is the
    rate during bursts, as a multiple of the rate between them. Of the long
    prompts, ``hot_share`` have the same prefix. ``slow_share`` of the targets
    take twice as long, ``silent_share`` are missing in all reports, and
    ``cut_share`` of the VMs get no reports. ``ended_share`` of the VMs end in
    the middle. A plain service has no model.
    """

    vms: int
    targets: int
    report_age: float
    load: float = 0.8
    burst: float = 1.0
    hot_share: float = 0.0
    slow_share: float = 0.0
    silent_share: float = 0.0
    cut_share: float = 0.0
    ended_share: float = 0.0
    is_plain: bool = False
    seconds: float = 20.0


class Outcome(NamedTuple):
    """The mean busiest / mean of all windows, and of the whole run.

    ``reuse`` is the share of tokens of prefixes that were cached, ``wait``
    the mean time to the first token or the response in seconds, ``p99`` its
    99th percentile. ``late`` and ``refused`` are shares of the requests.
    """

    busiest: float
    busiest_of_run: float
    reuse: float
    wait: float
    p99: float
    late: float
    refused: float


class _Load(NamedTuple):
    in_flight: int = 0
    long_in_flight: int = 0
    prefill_tokens: float = 0.0
    memory_tokens: float = 0.0

    def add(self, other: _Load, sign: int = 1) -> _Load:
        return _Load(*(a + sign * b for a, b in zip(self, other, strict=True)))


class Arrival(NamedTuple):
    """A request at a VM, and what the VM assumes that targets have cached.

    ``describe`` returns the candidate with an index. ``vms`` is the number of
    VMs, ``others_rate`` the requests of the others per second, ``report_age``
    the age of reports in seconds that a VM assumes, and ``sent`` what the VM
    has sent.
    """

    demand: TokenDemand
    prefix: str
    cached_tokens: list[float]
    vms: int
    others_rate: float
    report_age: float
    sent: SentRequests
    describe: Callable[[int], Candidate]
    random: random.Random

    @property
    def unreported(self) -> float:
        """Return the requests of other VMs that no report has yet."""
        return self.others_rate * self.report_age


def select_least(arrival: Arrival) -> str:
    """Return the target with the lowest cost of a sample."""
    cached_tokens = arrival.cached_tokens
    size = compute_sample_size(len(cached_tokens), arrival.unreported)
    sample = pick_sample(cached_tokens, size, arrival.random)
    choice = choose_target(
        [arrival.describe(i) for i in sample], arrival.demand
    )
    assert choice is not None
    return choice.name


def select(arrival: Arrival) -> str:
    """Return the name of the target that the package selects."""
    if not is_called_for(arrival.vms, arrival.report_age):
        return select_least(arrival)
    cached_tokens = arrival.cached_tokens
    targets = len(cached_tokens)
    size = compute_even_sample_size(
        targets, arrival.unreported, any(cached_tokens)
    )
    sample = pick_sample(cached_tokens, size, arrival.random, MIN_HOLDERS)
    choice = choose_evenly(
        [arrival.describe(i) for i in sample],
        arrival.demand,
        PRIOR_SPEEDS,
        arrival.sent.expect(
            arrival.prefix, arrival.others_rate, arrival.report_age, targets
        ),
        arrival.random,
    )
    assert choice is not None
    arrival.sent.record(arrival.prefix, choice.added_cost)
    return choice.name


class _Target:
    def __init__(self, name: str, pace: float) -> None:
        self.name = name
        self.pace = pace
        self.loads = [_Load()]
        self.changed_at = [0.0]
        self.busy_until = 0.0
        self.prefill_end = 0.0
        self.slot_ends = [0.0] * _PLAIN_SLOTS
        self.cache: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Seconds of work by the window in which it arrived.
        self.work: collections.defaultdict[int, float] = (
            collections.defaultdict(float)
        )

    def change(self, now: float, load: _Load, sign: int) -> None:
        self.loads.append(self.loads[-1].add(load, sign))
        self.changed_at.append(now)

    def load_at(self, when: float) -> _Load:
        return self.loads[
            max(0, bisect.bisect_right(self.changed_at, when) - 1)
        ]

    def begin(self, now: float, arrival: Arrival) -> tuple[float, float, bool]:
        """Return the first token's time, the end, and whether it reused."""
        demand, prefix = arrival.demand, arrival.prefix
        if not demand.input_tokens:
            start = max(now, heapq.heappop(self.slot_ends))
            work = PRIOR_SPEEDS.service_time * self.pace
            heapq.heappush(self.slot_ends, start + work)
            self.work[int(now / _WINDOW_S)] += work
            return start + work, start + work, False
        reuses = prefix in self.cache
        if prefix:
            self.cache.setdefault(prefix, now)
            self.cache.move_to_end(prefix)
            if len(self.cache) > _CACHED_PREFIXES:
                self.cache.popitem(last=False)
        tokens = demand.input_tokens - reuses * _PREFIX_TOKENS
        work = PRIOR_SPEEDS.prefill_time(tokens) * self.pace
        self.prefill_end = max(now, self.prefill_end) + work
        self.work[int(now / _WINDOW_S)] += work
        first = self.prefill_end + PRIOR_SPEEDS.first_token
        end = first + self.pace * PRIOR_SPEEDS.response_time(
            demand.output_tokens
        )
        self.busy_until = max(self.busy_until, end)
        return first, end, reuses


class _Vm:
    def __init__(self, phase: float, is_cut: bool) -> None:
        self.sent = SentRequests()
        self.phase = phase
        self.is_cut = is_cut
        self.loads: collections.defaultdict[str, _Load] = (
            collections.defaultdict(_Load)
        )
        # Own changes that reports may not include yet.
        self.changes: collections.deque[tuple[float, str, _Load]] = (
            collections.deque()
        )
        self.prefixes: dict[tuple[str, str], float] = {}

    def change(self, now: float, name: str, load: _Load, sign: int) -> None:
        self.loads[name] = self.loads[name].add(load, sign)
        self.changes.append((now, name, _Load().add(load, sign)))

    def reported_at(self, now: float, age: float) -> float:
        """Return the time of the last report; one arrives each half age."""
        interval = age / 2
        last = now - (now + self.phase * interval) % interval
        return last - age + interval / 2


class _Table:
    def __init__(
        self,
        scenario: Scenario,
        policy: Callable[[Arrival], str],
        seed: int,
    ) -> None:
        self.scenario = scenario
        self.policy = policy
        self.random = random.Random(seed)
        slow = round(scenario.slow_share * scenario.targets)
        self.targets = {
            f't{i}': _Target(f't{i}', 2.0 if i < slow else 1.0)
            for i in range(scenario.targets)
        }
        silent = round(scenario.silent_share * scenario.targets)
        self.silent = {f't{scenario.targets - 1 - i}' for i in range(silent)}
        cut = round(scenario.cut_share * scenario.vms)
        self.vms = [
            _Vm(self.random.random(), i >= scenario.vms - cut)
            for i in range(scenario.vms)
        ]
        work = PRIOR_SPEEDS.service_time / _PLAIN_SLOTS
        if not scenario.is_plain:
            tokens = (
                _LONG_PROMPT_SHARE * (9000 - _PREFIX_TOKENS)
                + (1 - _LONG_PROMPT_SHARE) * 800
            )
            work = PRIOR_SPEEDS.prefill_time(tokens)
        capacity = sum(1.0 / t.pace for t in self.targets.values()) / work
        self.rate = scenario.load * capacity
        self.numbers = itertools.count()
        self.waits: list[float] = []
        self.refused = 0
        self.prefixed = 0
        self.reused = 0
        self.events: list[tuple[float, int, _Vm, _Target, _Load]] = []

    def run(self) -> Outcome:
        """Return the outcome; the first seconds don't count."""
        scenario = self.scenario
        now = 0.0
        vms = self.vms
        while True:
            now += self.random.expovariate(self._rate_at(now))
            self._apply_ends(now)
            if now > scenario.seconds:
                break
            if scenario.ended_share and now > scenario.seconds / 2:
                vms = self.vms[round(scenario.ended_share * len(self.vms)) :]
            self._serve(self.random.choice(vms), len(vms), now)
        return self._summarize()

    def _rate_at(self, now: float) -> float:
        burst = self.scenario.burst
        mean = 1.0 + (burst - 1.0) * _BURST_S / _BURST_PERIOD_S
        is_burst = now % _BURST_PERIOD_S < _BURST_S
        return self.rate / mean * (burst if is_burst else 1.0)

    def _apply_ends(self, now: float) -> None:
        while self.events and self.events[0][0] <= now:
            at, _, vm, target, load = heapq.heappop(self.events)
            target.change(at, load, -1)
            vm.change(at, target.name, load, -1)

    def _make_request(self) -> tuple[TokenDemand, str]:
        if self.scenario.is_plain:
            return TokenDemand(0, 0), ''
        if self.random.random() > _LONG_PROMPT_SHARE:
            return _LONG_RESPONSE, ''
        if self.random.random() < self.scenario.hot_share:
            return _LONG_PROMPT, 'p0'
        prefixes = _PREFIXES_PER_TARGET * self.scenario.targets
        return _LONG_PROMPT, f'p{self.random.randrange(prefixes)}'

    def _serve(self, vm: _Vm, members: int, now: float) -> None:
        demand, prefix = self._make_request()
        age = self.scenario.report_age
        seen = vm.reported_at(now, age)
        while vm.changes and vm.changes[0][0] <= seen:
            vm.changes.popleft()
        arrival = Arrival(
            demand,
            prefix,
            self._count_cached(vm, prefix, seen),
            members,
            self._rate_at(now) / members * (members - 1),
            _STATED_AGES_S[members > MESH_VMS],
            vm.sent,
            lambda i: self._describe(vm, i, arrival, seen, now),
            self.random,
        )
        target = self.targets[self.policy(arrival)]
        is_counted = now > _WARM_UP_S
        slots = _PLAIN_SLOTS if self.scenario.is_plain else _SLOTS
        if target.loads[-1].in_flight >= 4 * slots:
            self.refused += is_counted
            return
        own_tokens = demand.input_tokens - arrival.cached_tokens[
            int(target.name[1:])
        ]  # fmt: skip
        first, end, reuses = target.begin(now, arrival)
        if prefix:
            vm.prefixes[prefix, target.name] = now
            self.prefixed += is_counted
            self.reused += is_counted and reuses
        is_long = demand.output_tokens > 500
        load = _Load(1, is_long, own_tokens, float(sum(demand)))
        target.change(now, load, 1)
        vm.change(now, target.name, load, 1)
        number = next(self.numbers)
        prefill = _Load(prefill_tokens=own_tokens)
        rest = load.add(prefill, -1)
        heapq.heappush(self.events, (first, 2 * number, vm, target, prefill))
        heapq.heappush(self.events, (end, 2 * number + 1, vm, target, rest))
        if is_counted:
            self.waits.append(first - now)

    def _count_cached(self, vm: _Vm, prefix: str, seen: float) -> list[float]:
        if not prefix:
            return [0.0] * len(self.targets)
        cached = [
            float(_PREFIX_TOKENS)
            if t.cache.get(prefix, float('inf')) <= seen
            or ((prefix, n) in vm.prefixes and prefix in t.cache)
            else 0.0
            for n, t in self.targets.items()
        ]
        if any(cached):
            return cached
        segments = (
            PromptSegment(prefix, _PREFIX_TOKENS),
            PromptSegment('own', 3000),
        )
        estimates = estimate_cached(
            Prompt('m', 9000, 200, segments), list(self.targets)
        )
        return [estimates.get(n, 0.0) for n in self.targets]

    def _describe(
        self, vm: _Vm, index: int, arrival: Arrival, seen: float, now: float
    ) -> Candidate:
        target = self.targets[f't{index}']
        if vm.is_cut or target.name in self.silent:
            load = vm.loads[target.name]
        else:
            load = target.load_at(seen)
            for _, name, change in vm.changes:
                if name == target.name:
                    load = load.add(change)
        return Candidate(
            target.name,
            True,
            False,
            _PLAIN_SLOTS if self.scenario.is_plain else _SLOTS,
            load.in_flight,
            load.long_in_flight,
            load.prefill_tokens,
            load.memory_tokens,
            max(0.0, target.busy_until - now),
            _MEMORY_TOKENS,
            PrefillPlan(arrival.cached_tokens[index]),
            0.0,
            load.prefill_tokens,
            target.pace,
        )

    def _summarize(self) -> Outcome:
        windows = range(
            round(_WARM_UP_S / _WINDOW_S),
            int(self.scenario.seconds / _WINDOW_S),
        )
        loads = [[t.work[w] for t in self.targets.values()] for w in windows]
        totals = [sum(w) for w in zip(*loads, strict=True)]
        waits = sorted(self.waits)
        return Outcome(
            sum(map(_compare_busiest, loads)) / len(loads),
            _compare_busiest(totals),
            self.reused / max(1, self.prefixed),
            sum(waits) / len(waits),
            waits[int(0.99 * len(waits))],
            sum(w > _LATE_S for w in waits) / len(waits),
            self.refused / (len(waits) + self.refused),
        )


def _compare_busiest(loads: Sequence[float]) -> float:
    return max(loads) * len(loads) / sum(loads)


def simulate(
    scenario: Scenario,
    policy: Callable[[Arrival], str] = select,
    seed: int = 1,
) -> Outcome:
    """Return how the requests of a scenario are served."""
    return _Table(scenario, policy, seed).run()
