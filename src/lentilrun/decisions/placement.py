"""Which target gets a request: the one with the lowest estimated cost.

Designed for this load: requests with long prompts and short responses
together with requests with short prompts and long responses, on the same
engines. While an engine prefills a long prompt, the responses that it
generates pause; and an engine can load new weights only after its longest
response is complete. So long responses are concentrated on a few engines,
long prompts are sent to the others, and each shared prompt segment is
prefilled once. Where many VMs choose at the same time from reports of the
same age, each compares only a random sample of the targets.

All costs are in seconds.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from typing import TYPE_CHECKING

from .sources import PREFILL_TOKENS_PER_S
from .sources import PrefillPlan

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    from random import Random

# Time that an engine takes to generate a token of a response.
DECODE_S_PER_TOKEN = 0.0055
# Expected length of a response, as a share of the output tokens that its
# request allows.
_EXPECTED_OUTPUT_SHARE = 0.3
# A response that is expected to take longer to generate counts as long.
LONG_DECODE_S = 0.7
# Time that a request takes at a target without other requests: with a model,
# and without one.
_MODEL_SERVICE_TIME_S = 0.35
_PLAIN_SERVICE_TIME_S = 0.025
# Cost of a target in a remote data centre: the network delay.
_REMOTE_COST_S = 0.004
# Share of an engine's memory that requests in flight should use at most.
_MAX_MEMORY_SHARE = 0.92
# Cost of a response that fails; multiplied by the failure rate.
_FAILURE_COST_S = 1.5
# Delay of the first token for each other request that an engine decodes.
_DECODE_DELAY_S_PER_REQUEST = 0.0006
# Cost for each long response that pauses while _PAUSE_TOKENS prompt tokens
# are prefilled; it grows with the square of the tokens.
_PAUSE_COST_S = 0.02
_PAUSE_TOKENS = 5000.0
# Cost of each second by which a request extends the time that an engine is
# in use.
_EXTENSION_COST_S_PER_S = 0.02
# A VM compares at least this many targets, however old its reports are.
_MIN_SAMPLED_TARGETS = 2
# Cost of starting a request on weights that were replaced.
_STALE_WEIGHTS_COST_S = 0.15


class Candidate(NamedTuple):
    """The state of a target for the choice; all sizes in tokens.

    ``in_flight`` counts the requests of all VMs at the target,
    ``long_in_flight`` those with long responses. ``prefill_tokens`` of
    their prompts are still to be prefilled, and they use
    ``memory_tokens_used`` of the target's memory. All of them are expected
    to be complete after ``busy_for`` seconds. ``prefill_plan`` states how
    much of the prompt the target is assumed to have cached.
    ``failure_rate`` is the share of recent responses that failed.
    """

    name: str
    is_local: bool
    has_stale_weights: bool
    slots: int
    in_flight: int
    long_in_flight: int
    prefill_tokens: float
    memory_tokens_used: float
    busy_for: float
    memory_tokens: int
    prefill_plan: PrefillPlan
    failure_rate: float


class TokenDemand(NamedTuple):
    """The tokens that a request needs at most; both 0 without a model."""

    input_tokens: int
    output_tokens: int

    def decode_time(self) -> float:
        """Return the expected time to generate the response, in s."""
        return self.output_tokens * _EXPECTED_OUTPUT_SHARE * DECODE_S_PER_TOKEN


class TargetChoice(NamedTuple):
    """The chosen target, the estimated wait in s, and its prefill plan."""

    name: str
    estimated_wait: float
    prefill_plan: PrefillPlan


def estimate_wait(candidate: Candidate, demand: TokenDemand) -> float:
    """Return the time to the start of the response, in seconds."""
    if not demand.input_tokens:
        return _estimate_plain_wait(candidate)
    added_tokens = candidate.prefill_plan.prefill_tokens(demand.input_tokens)
    wait = (candidate.prefill_tokens + added_tokens) / PREFILL_TOKENS_PER_S
    wait += candidate.in_flight * _DECODE_DELAY_S_PER_REQUEST
    queued = max(0, candidate.in_flight - candidate.slots + 1)
    wait += queued / candidate.slots * _MODEL_SERVICE_TIME_S
    memory_limit = candidate.memory_tokens * _MAX_MEMORY_SHARE
    memory_needed = (
        candidate.memory_tokens_used
        + demand.input_tokens
        + demand.output_tokens
    )
    if memory_needed > memory_limit > 0:
        wait += (
            (memory_needed - memory_limit)
            / memory_limit
            * _MODEL_SERVICE_TIME_S
            * 2
        )
    return wait


def _estimate_plain_wait(candidate: Candidate) -> float:
    utilization = candidate.in_flight / candidate.slots
    queued_per_slot = max(0.0, utilization - 1.0 + 1.0 / candidate.slots)
    return _PLAIN_SERVICE_TIME_S * (
        0.3 * min(1.0, utilization) + queued_per_slot
    )


def _estimate_interference(candidate: Candidate, demand: TokenDemand) -> float:
    """Return the cost of a request to other requests, in seconds."""
    prefill_tokens = candidate.prefill_plan.prefill_tokens(demand.input_tokens)
    pause_cost = (prefill_tokens / _PAUSE_TOKENS) ** 2 * _PAUSE_COST_S
    interference = pause_cost * candidate.long_in_flight
    extension = max(0.0, demand.decode_time() - candidate.busy_for)
    return interference + extension * _EXTENSION_COST_S_PER_S


def estimate_cost(candidate: Candidate, demand: TokenDemand) -> float:
    """Return the cost of a request at a target, in seconds."""
    cost = estimate_wait(candidate, demand)
    cost += _estimate_interference(candidate, demand)
    cost += candidate.failure_rate * _FAILURE_COST_S
    if candidate.has_stale_weights:
        cost += _STALE_WEIGHTS_COST_S
    if not candidate.is_local:
        cost += _REMOTE_COST_S
    return cost


def compute_sample_size(targets: int, unreported: float) -> int:
    """Return how many of the targets are compared for a request.

    ``unreported`` requests were sent by other VMs since the last reports
    of their loads. Without sampling, all VMs would choose the same target:
    the more requests are unreported, the fewer targets each VM compares.
    """
    unreported_per_target = unreported / max(1, targets)
    return max(
        _MIN_SAMPLED_TARGETS,
        math.ceil(targets / (1.0 + unreported_per_target)),
    )


def pick_sample(
    cached_tokens: Sequence[float], size: int, random: Random
) -> list[int]:
    """Return the indices of the targets that are compared for a request.

    ``cached_tokens`` holds the tokens that each target has cached of the
    prompt. The sample is random, but always has one of the targets that
    have cached most: prompts that share segments then meet at an engine
    however few engines each VM compares.
    """
    count = len(cached_tokens)
    sample = random.sample(range(count), min(size, count))
    most = max(cached_tokens, default=0.0)
    if not most or any(cached_tokens[i] == most for i in sample):
        return sample
    holders = [i for i in range(count) if cached_tokens[i] == most]
    return [*sample, random.choice(holders)]


def choose_target(
    candidates: Iterable[Candidate], demand: TokenDemand
) -> TargetChoice | None:
    """Return the target with the lowest cost; None without candidates."""
    best = min(
        candidates, key=lambda c: estimate_cost(c, demand), default=None
    )
    if best is None:
        return None
    return TargetChoice(
        best.name, estimate_wait(best, demand), best.prefill_plan
    )


__all__ = [
    'Candidate',
    'choose_target',
    'compute_sample_size',
    'estimate_cost',
    'estimate_wait',
    'LONG_DECODE_S',
    'pick_sample',
    'TargetChoice',
    'TokenDemand',
]
