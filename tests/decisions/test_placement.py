"""Placement under the load it is designed for, and simpler policies."""

from __future__ import annotations

import random
from typing import Any

from lentilrun.decisions.placement import Candidate
from lentilrun.decisions.placement import choose_target
from lentilrun.decisions.placement import compute_sample_size
from lentilrun.decisions.placement import pick_sample
from lentilrun.decisions.placement import TokenDemand
from lentilrun.decisions.sources import NO_CACHE
from lentilrun.decisions.sources import PrefillPlan
from lentilrun.decisions.speeds import PRIOR_SPEEDS
import pytest

_PLAIN = Candidate(
    '', True, False, 48, 0, 0, 0.0, 0.0, 0.0, 69_000, NO_CACHE, 0.0
)
_LONG_PROMPT = TokenDemand(9000, 200)
_LONG_RESPONSE = TokenDemand(800, 950)


@pytest.mark.parametrize(
    ('demand', 'better', 'worse'),
    [
        # Fewer tokens to prefill.
        (_LONG_PROMPT, {'prefill_plan': PrefillPlan(6000.0)}, {}),
        # Fewer tokens to prefill for other requests.
        (_LONG_RESPONSE, {}, {'prefill_tokens': 9000.0}),
        # No long responses that would pause.
        (_LONG_PROMPT, {'prefill_tokens': 4000.0}, {'long_in_flight': 12}),
        # Long responses are concentrated on busy engines.
        (_LONG_RESPONSE, {'in_flight': 9, 'busy_for': 3.0}, {}),
        # But not beyond the memory of an engine.
        (
            _LONG_RESPONSE,
            {},
            {'memory_tokens_used': 68_000.0, 'busy_for': 3.0},
        ),
        # Newer weights.
        (
            _LONG_RESPONSE,
            {'prefill_tokens': 2000.0},
            {'has_stale_weights': True},
        ),
        # Long responses leave engines that are to load new weights.
        (
            _LONG_RESPONSE,
            {'prefill_tokens': 6000.0},
            {'is_outdated': True},
        ),
        # Long prompts stay where their segments are cached.
        (
            _LONG_PROMPT,
            {'prefill_plan': PrefillPlan(6000.0), 'is_outdated': True},
            {},
        ),
        # A target with the usual pace.
        (TokenDemand(0, 0), {'in_flight': 40}, {'pace': 4.0}),
        # Fewer failures.
        (TokenDemand(0, 0), {'in_flight': 30}, {'failure_rate': 0.5}),
        # The local data centre, if all else is equal.
        (TokenDemand(0, 0), {}, {'is_local': False}),
    ],
)
def test_preferences(
    demand: TokenDemand, better: dict[str, Any], worse: dict[str, Any]
) -> None:
    """Of two targets, the one with the lower cost is chosen."""
    choice = choose_target(
        [
            _PLAIN._replace(name='worse', **worse),
            _PLAIN._replace(name='better', **better),
        ],
        demand,
    )
    assert choice is not None
    assert choice.name == 'better'


def test_nothing_to_choose() -> None:
    """Without candidates, no target is chosen."""
    assert choose_target([], _LONG_PROMPT) is None


# Loss of callers by a late first token, and by a response that pauses, in
# units of value.
_LATE_PROMPT_LOSS = 4.1
_PAUSED_RESPONSE_LOSS = 1.8
_FIRST_TOKEN_TARGET_S = 0.6
_MAX_PAUSE_S = 0.25


class _Run:
    """A request at an engine; ``prefilled_at`` by the simulated time."""

    def __init__(
        self, demand: TokenDemand, prefilled_at: float, is_late: bool
    ) -> None:
        self.demand = demand
        self.prefilled_at = prefilled_at
        self.end = prefilled_at + PRIOR_SPEEDS.response_time(
            demand.output_tokens
        )
        self.is_long = demand.output_tokens > 500
        self.is_late = is_late

    def loss(self) -> float:
        """Return the loss of the caller."""
        loss = _PAUSED_RESPONSE_LOSS if self.is_long else _LATE_PROMPT_LOSS
        return loss * self.is_late


class _Engine:
    """A simulated engine, which prefills one prompt after the other."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: list[_Run] = []
        self.total_loss = 0.0
        self.free_at = 0.0

    def describe(self, now: float) -> Candidate:
        self.total_loss += sum(r.loss() for r in self.runs if r.end <= now)
        self.runs = [r for r in self.runs if r.end > now]
        runs = self.runs
        return _PLAIN._replace(
            name=self.name,
            in_flight=len(runs),
            long_in_flight=sum(r.is_long for r in runs),
            prefill_tokens=max(0.0, self.free_at - now)
            * PRIOR_SPEEDS.prefill_tokens_per_s,
            memory_tokens_used=sum(sum(r.demand) for r in runs),
            busy_for=max([r.end for r in runs], default=now) - now,
        )

    def start(self, demand: TokenDemand, now: float) -> None:
        """Prefill a prompt; responses in progress pause for that time."""
        self.free_at = max(now, self.free_at)
        self.free_at += demand.input_tokens / PRIOR_SPEEDS.prefill_tokens_per_s
        if self.free_at - now > _MAX_PAUSE_S:
            for run in self.runs:
                run.is_late |= run.is_long and run.prefilled_at < now
        is_late = self.free_at - now > _FIRST_TOKEN_TARGET_S
        self.runs.append(_Run(demand, self.free_at, is_late))


def _simulate(policy: str, seed: int) -> float:
    """Return the loss of all callers in 30 s of mixed load."""
    rng = random.Random(seed)
    engines = {n: _Engine(n) for n in 'abcdefghi'}
    now = 0.0
    for number in range(1200):
        now += rng.expovariate(40.0)
        demand = TokenDemand(int(rng.expovariate(1 / 900)) + 1, 955)
        if rng.random() < 0.28:
            demand = TokenDemand(abs(int(rng.gauss(9000, 3000))), 205)
        candidates = [e.describe(now) for e in engines.values()]
        if policy == 'choose':
            choice = choose_target(candidates, demand)
            assert choice is not None
            name = choice.name
        elif policy == 'least running':
            name = min(candidates, key=lambda c: c.in_flight).name
        else:
            name = 'abcdefghi'[number % 9]
        engines[name].start(demand, now)
    for engine in engines.values():
        engine.describe(now + 60.0)
    return sum(e.total_loss for e in engines.values())


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('other', ['least running', 'in turn'])
def test_mixed_load(seed: int, other: str) -> None:
    """In mixed load, callers lose less than half as much as otherwise."""
    assert _simulate('choose', seed) < _simulate(other, seed) / 2


@pytest.mark.parametrize(
    ('targets', 'unreported', 'expected'),
    [
        # A single VM, or one with current reports, compares all targets.
        (9, 0.0, 9),
        (30, 0.0, 30),
        # Eight VMs of a small fleet, 36 requests per second.
        (9, 4.0, 7),
        # Ninety VMs, 120 requests per second, reports over hubs.
        (30, 30.0, 15),
        (30, 90.0, 8),
        # At least two targets, if there are two.
        (3, 1000.0, 2),
        (1, 1000.0, 2),
    ],
)
def test_sample_size(targets: int, unreported: float, expected: int) -> None:
    """The more requests are unreported, the fewer targets are compared."""
    assert compute_sample_size(targets, unreported) == expected


def _compute_imbalance(sample_size: int, seed: int) -> float:
    """Return the largest load of an engine, as a multiple of the mean.

    Ninety VMs each place a request using the same old reports.
    """
    rng = random.Random(seed)
    names = [f'e{i}' for i in range(30)]
    requests = dict.fromkeys(names, 0)
    candidates = [
        _PLAIN._replace(name=n, prefill_tokens=float(i * 10))
        for i, n in enumerate(names)
    ]
    for _ in range(90):
        choice = choose_target(
            rng.sample(candidates, sample_size), _LONG_PROMPT
        )
        assert choice is not None
        requests[choice.name] += 1
    return max(requests.values()) / (90 / len(names))


@pytest.mark.parametrize('seed', range(5))
def test_old_reports_do_not_send_all_to_one_engine(seed: int) -> None:
    """If all VMs compare all engines, they choose the same one.

    In a large fleet, one of 30 engines prefilled 45,000 tokens per second
    while others had no requests.
    """
    assert _compute_imbalance(30, seed) == 30.0
    assert _compute_imbalance(compute_sample_size(30, 90.0), seed) < 15.0


@pytest.mark.parametrize(
    ('cached_tokens', 'size', 'must_have'),
    [
        # Without cached tokens, the sample is any.
        ([0.0] * 5, 2, set()),
        ([], 2, set()),
        # The target with the most cached tokens is always compared.
        ([0.0, 7.0, 0.0, 9.0, 0.0], 2, {3}),
        # All targets are compared if the sample is large enough.
        ([0.0, 7.0, 0.0], 3, {0, 1, 2}),
        ([0.0, 7.0], 9, {0, 1}),
    ],
)
def test_sample_has_a_cached_prompt(
    cached_tokens: list[float], size: int, must_have: set[int]
) -> None:
    """The sample holds distinct targets, and one that has cached most."""
    for seed in range(20):
        sample = pick_sample(cached_tokens, size, random.Random(seed))
        assert len(set(sample)) == len(sample)
        assert min(size, len(cached_tokens)) <= len(sample) <= size + 1
        assert must_have <= set(sample)


def test_equal_caches_share_the_requests() -> None:
    """Targets that have cached the same are chosen about equally often."""
    rng = random.Random(7)
    samples = [pick_sample([5.0] * 10, 1, rng)[0] for _ in range(1000)]
    assert all(50 < samples.count(i) < 150 for i in range(10))


def _count_prefilled_again(always_has_holder: bool, seed: int) -> int:
    """Return how often a prompt was prefilled though an engine had it.

    300 requests for 60 prompts, of which each VM compares 4 of 30 engines.
    """
    rng = random.Random(seed)
    cached: list[set[int]] = [set() for _ in range(30)]
    again = 0
    for _ in range(300):
        prompt = rng.randrange(60)
        tokens = [6000.0 * (prompt in c) for c in cached]
        known = tokens if always_has_holder else [0.0] * 30
        sample = pick_sample(known, 4, rng)
        choice = choose_target(
            [
                _PLAIN._replace(
                    name=str(i), prefill_plan=PrefillPlan(tokens[i])
                )
                for i in sample
            ],
            _LONG_PROMPT,
        )
        assert choice is not None
        engine = cached[int(choice.name)]
        again += any(tokens) and prompt not in engine
        engine.add(prompt)
    return again


@pytest.mark.parametrize('seed', range(3))
def test_prompts_meet_their_cache(seed: int) -> None:
    """Small samples of a large fleet do not prefill a prompt again."""
    assert _count_prefilled_again(False, seed) > 50
    assert _count_prefilled_again(True, seed) == 0
