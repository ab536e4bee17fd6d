"""Speeds and paces are learned from requests, and choices are as good."""

from __future__ import annotations

import random

from lentilrun.decisions.placement import Candidate
from lentilrun.decisions.placement import choose_target
from lentilrun.decisions.placement import TargetChoice
from lentilrun.decisions.placement import TokenDemand
from lentilrun.decisions.sources import NO_CACHE
from lentilrun.decisions.speeds import estimate_pace
from lentilrun.decisions.speeds import NO_PACE
from lentilrun.decisions.speeds import PRIOR_SPEEDS
from lentilrun.decisions.speeds import SpeedEstimator
from lentilrun.decisions.speeds import Speeds
import pytest

_SLOTS = 6
# Callers may lose this share of time by the learning of speeds.
_TOLERANCE = 1.05
# Requests after a target turned slow that show it, and do not count.
_LEARNING_REQUESTS = 300


class _Job:
    """A request at a target; it starts at ``start`` and ends at ``end``."""

    def __init__(
        self, demand: TokenDemand, choice: TargetChoice, arrived_at: float
    ) -> None:
        self.demand = demand
        self.choice = choice
        self.arrived_at = arrived_at
        self.start = 0.0
        self.first_token_at = 0.0
        self.end = 0.0


class _Target:
    """A simulated target whose speeds are true ones."""

    def __init__(self, name: str, speeds: Speeds, slots: int) -> None:
        self.name = name
        self.speeds = speeds
        self.slots = slots
        self.slowness = 1.0
        self.jobs: list[_Job] = []
        self.slot_ends = [0.0] * slots
        self.prefill_end = 0.0
        self._counts = NO_PACE
        self._counted_at = 0.0
        self._counted_requests = 0

    def describe(self, now: float, pace: float) -> Candidate:
        jobs = self.jobs
        tokens = sum(j.demand.input_tokens for j in jobs if j.start > now)
        return Candidate(
            self.name,
            True,
            False,
            self.slots,
            len(jobs),
            0,
            float(tokens),
            0.0,
            max([j.end for j in jobs], default=now) - now,
            0,
            NO_CACHE,
            0.0,
            float(tokens),
            pace,
        )

    def begin(self, job: _Job) -> None:
        self.jobs.append(job)
        now = job.arrived_at
        slowness = self.slowness
        if job.demand.input_tokens:
            seconds = self.speeds.prefill_time(job.demand.input_tokens)
            slot = min(range(self.slots), key=lambda i: self.slot_ends[i])
            begin = max(now, self.prefill_end, self.slot_ends[slot])
            job.start = begin + seconds * slowness
            self.prefill_end = job.start
            job.first_token_at = job.start + self.speeds.first_token * slowness
            job.end = job.first_token_at + slowness * (
                self.speeds.response_time(job.demand.output_tokens)
            )
            self.slot_ends[slot] = job.end
            return
        slot = min(range(self.slots), key=lambda i: self.slot_ends[i])
        job.start = max(now, self.slot_ends[slot])
        job.end = job.start + self.speeds.service_time * slowness
        job.first_token_at = job.end
        self.slot_ends[slot] = job.end

    def finish(self, now: float, estimator: SpeedEstimator) -> list[_Job]:
        """Return the jobs that have ended, and learn from them."""
        ended = [j for j in self.jobs if j.end <= now]
        self.jobs = [j for j in self.jobs if j.end > now]
        for job in ended:
            self._learn(job, estimator)
        return ended

    def _learn(self, job: _Job, estimator: SpeedEstimator) -> None:
        seconds = job.first_token_at - job.arrived_at
        self._decay(max(job.end, self._counted_at), estimator)
        if estimator.is_settled():
            self._counts = self._counts.add(seconds, job.choice.expected_time)
        if job.demand.input_tokens:
            estimator.record_first_token(job.choice.prefill_tokens, seconds)
            estimator.record_response(
                job.demand.output_tokens, job.end - job.first_token_at
            )
        else:
            estimator.record_service(
                job.choice.expected_time / estimator.speeds().service_time,
                seconds,
            )

    def _decay(self, now: float, estimator: SpeedEstimator) -> None:
        requests = estimator.request_count
        self._counts = self._counts.decay(
            now - self._counted_at, requests - self._counted_requests
        )
        self._counted_at = now
        self._counted_requests = requests

    def estimate_pace(self, now: float, estimator: SpeedEstimator) -> float:
        self._decay(now, estimator)
        counts = self._counts
        for job in self.jobs:
            age = now - job.arrived_at
            if job.first_token_at > now and age > job.choice.expected_time:
                counts = counts.add(age, job.choice.expected_time)
        return estimate_pace(counts)


def _simulate(
    true: Speeds,
    demands: list[TokenDemand],
    rate: float,
    slow: float,
    *,
    learns: bool,
    seed: int,
) -> float:
    """Return the mean time to the first token or the response, in s.

    One of six targets turns ``slow`` times slower after a third of the
    requests; only those from ``_LEARNING_REQUESTS`` later on count. Without
    ``learns``, the speeds and the slowness are known.
    """  # fmt: skip
    rng = random.Random(seed)
    targets = {n: _Target(n, true, _SLOTS) for n in 'abcdef'}
    estimator = SpeedEstimator()
    total, counted, now = 0.0, 0, 0.0
    for number in range(2400):
        now += rng.expovariate(rate)
        for target in targets.values():
            target.finish(now, estimator)
        if number == 800:
            targets['a'].slowness = slow
        demand = rng.choice(demands)
        choice = choose_target(
            [
                t.describe(
                    now,
                    t.estimate_pace(now, estimator)
                    if learns and estimator.is_settled()
                    else t.slowness,
                )
                for t in targets.values()
            ],
            demand,
            estimator.speeds() if learns else true,
        )
        assert choice is not None
        job = _Job(demand, choice, now)
        targets[choice.name].begin(job)
        if number >= 800 + _LEARNING_REQUESTS:
            total += job.first_token_at - now
            counted += 1
    return total / counted


def _simulate_seeds(
    true: Speeds,
    demands: list[TokenDemand],
    rate: float,
    slow: float,
    *,
    learns: bool,
) -> float:
    """Return the mean over some seeds, as callers differ by chance."""
    times = [
        _simulate(true, demands, rate, slow, learns=learns, seed=seed)
        for seed in range(4)
    ]
    return sum(times) / len(times)


_PROMPTS = [TokenDemand(9000, 205), TokenDemand(800, 955)]


@pytest.mark.parametrize('factor', [0.3, 1.0, 3.0])
@pytest.mark.parametrize('slow', [1.0, 8.0])
def test_engines_of_any_speed(factor: float, slow: float) -> None:
    """Choices with learned speeds are as good as with the true ones."""
    true = Speeds(0.05 / factor, 35_000.0 * factor, 0.00165 / factor, 0.025)
    times = [true.response_time(d.output_tokens) for d in _PROMPTS]
    running_time = sum(t * t for t in times) / sum(times)
    true = true._replace(running_time=running_time)
    rate = 6 * 0.55 * true.prefill_tokens_per_s / 4900.0
    known, learned = (
        _simulate_seeds(true, _PROMPTS, rate, slow, learns=learns)
        for learns in (False, True)
    )
    assert learned < known * _TOLERANCE


@pytest.mark.parametrize('service_time', [0.005, 0.025, 0.09, 0.2])
@pytest.mark.parametrize('slow', [1.0, 8.0])
def test_services_of_any_speed(service_time: float, slow: float) -> None:
    """Services without models are learned the same way."""
    true = PRIOR_SPEEDS._replace(service_time=service_time)
    rate = 6 * _SLOTS * 0.55 / service_time
    known, learned = (
        _simulate_seeds(true, [TokenDemand(0, 0)], rate, slow, learns=learns)
        for learns in (False, True)
    )
    assert learned < known * _TOLERANCE
