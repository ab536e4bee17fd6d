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

from .sources import PrefillPlan
from .speeds import PRIOR_SPEEDS

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    from random import Random

    from .speeds import Speeds

# A response that is expected to take longer to generate counts as long.
LONG_RESPONSE_S = 0.7
# Output tokens that the requests at an engine allow on average; sets the time
# until some of the memory is free.
_MEAN_OUTPUT_TOKENS = 212
# Cost of a target in a remote data centre: the network delay.
_REMOTE_COST_S = 0.004
# Share of an engine's memory that requests in flight should use at most.
_MAX_MEMORY_SHARE = 0.92
# Cost of a response that fails; multiplied by the failure rate.
_FAILURE_COST_S = 1.5
# Delay of the first token for each other request that an engine decodes.
_DECODE_DELAY_S_PER_REQUEST = 0.0006
# Cost of each second that a prompt is prefilled, for the requests that arrive
# meanwhile and wait for it.
_DELAY_COST_S_PER_S = 1.5
# Cost for each long response that pauses for _PAUSE_S while a prompt is
# prefilled; it grows with the square of the time.
_PAUSE_COST_S = 0.02
_PAUSE_S = 0.143
# Cost of each second by which a request extends the time that an engine is
# in use.
_EXTENSION_COST_S_PER_S = 0.02
# A VM compares at least this many targets, however old its reports are.
_MIN_SAMPLED_TARGETS = 2
# Cost of starting a request on weights that were replaced.
_STALE_WEIGHTS_COST_S = 0.15
# Cost of each second of a response on weights that were replaced: until its
# end, the engine can't load the new ones.
_OUTDATED_COST_S_PER_S = 0.15


class Candidate(NamedTuple):
    """The state of a target for the choice; all sizes in tokens.

    ``in_flight`` counts the requests of all VMs at the target,
    ``long_in_flight`` those with long responses. ``prefill_tokens`` of
    their prompts are still to be prefilled, ``urgent_prefill_tokens`` of
    these for requests as urgent as the one to place, and they use
    ``memory_tokens_used`` of the target's memory. All of them are expected
    to be complete after ``busy_for`` seconds. ``prefill_plan`` states how
    much of the prompt the target is assumed to have cached.
    ``failure_rate`` is the share of recent responses that failed, and
    ``pace`` how many times as long as expected requests take. Newer weights
    were announced for a target that ``is_outdated``; ``has_stale_weights`` is
    set once that lowers the value of a response.
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
    urgent_prefill_tokens: float = 0.0
    pace: float = 1.0
    is_outdated: bool = False


class TokenDemand(NamedTuple):
    """The tokens that a request needs at most; both 0 without a model."""

    input_tokens: int
    output_tokens: int


class TargetChoice(NamedTuple):
    """The chosen target, and what a request is expected to find there.

    ``estimated_wait`` is the time to the first token, or to the start of a
    response without a model; ``queue_wait`` of it is the wait for other
    requests. ``expected_time`` is the time to the first token or to the
    whole response, at a target with the usual pace. All are in seconds.
    ``prefill_tokens`` are those before the first token, and ``pace`` is the
    target's. A later request there is expected to wait ``added_cost`` longer
    because of this one, at the usual pace.
    """

    name: str
    estimated_wait: float
    queue_wait: float
    expected_time: float
    prefill_tokens: float
    prefill_plan: PrefillPlan
    pace: float
    added_cost: float


def _estimate_usual_wait(
    candidate: Candidate,
    demand: TokenDemand,
    speeds: Speeds,
    prefill_tokens: float,
    unreported: float = 0.0,
) -> float:
    """Return the wait at a target with the usual pace, in seconds.

    ``prefill_tokens`` are prefilled before the request's own. Beside the
    requests in flight, ``unreported`` ones may have been sent there.
    """
    if not demand.input_tokens:
        return speeds.service_time * _count_services_ahead(candidate)
    own_tokens = candidate.prefill_plan.prefill_tokens(demand.input_tokens)
    wait = speeds.first_token
    wait += speeds.prefill_time(prefill_tokens + own_tokens)
    wait += candidate.in_flight * _DECODE_DELAY_S_PER_REQUEST
    in_flight = candidate.in_flight + unreported
    queued = max(0.0, in_flight - candidate.slots + 1.0)
    wait += queued / candidate.slots * speeds.running_time
    run_time = speeds.response_time(_MEAN_OUTPUT_TOKENS)
    return wait + _compute_memory_excess(candidate, demand) * run_time * 2


def _compute_memory_excess(candidate: Candidate, demand: TokenDemand) -> float:
    """Return the memory that is lacking, as a share of the usable one."""
    limit = candidate.memory_tokens * _MAX_MEMORY_SHARE
    needed = (
        candidate.memory_tokens_used
        + demand.input_tokens
        + demand.output_tokens
    )
    return max(0.0, needed - limit) / limit if limit > 0.0 else 0.0


def _count_services_ahead(candidate: Candidate) -> float:
    """Return the wait for a slot, in multiples of the service time."""
    utilization = candidate.in_flight / candidate.slots
    queued_per_slot = max(0.0, utilization - 1.0 + 1.0 / candidate.slots)
    return 0.3 * min(1.0, utilization) + queued_per_slot


def _estimate_interference(
    candidate: Candidate, demand: TokenDemand, speeds: Speeds
) -> float:
    """Return the cost of a request to other requests, in seconds."""
    own_tokens = candidate.prefill_plan.prefill_tokens(demand.input_tokens)
    pause = speeds.prefill_time(own_tokens)
    pause_cost = (pause / _PAUSE_S) ** 2 * _PAUSE_COST_S
    interference = pause_cost * candidate.long_in_flight
    interference += pause * _DELAY_COST_S_PER_S
    response_time = speeds.response_time(demand.output_tokens)
    extension = max(0.0, response_time - candidate.busy_for)
    return interference + extension * _EXTENSION_COST_S_PER_S


def estimate_cost(
    candidate: Candidate,
    demand: TokenDemand,
    speeds: Speeds,
    unreported: float = 0.0,
) -> float:
    """Return the cost of a request at a target, in seconds.

    ``unreported`` requests may have been sent there besides.

    Prompts of less urgent requests count too: while they are prefilled, the
    response to this one pauses.
    """
    time = _estimate_usual_wait(
        candidate, demand, speeds, candidate.prefill_tokens, unreported
    )
    if not demand.input_tokens:
        time += speeds.service_time
    cost = candidate.pace * time
    cost += _estimate_interference(candidate, demand, speeds)
    cost += candidate.failure_rate * _FAILURE_COST_S
    if candidate.has_stale_weights:
        cost += _STALE_WEIGHTS_COST_S
    if candidate.is_outdated:
        response_time = speeds.response_time(demand.output_tokens)
        cost += response_time * _OUTDATED_COST_S_PER_S
    if not candidate.is_local:
        cost += _REMOTE_COST_S
    return cost


def estimate_added_cost(
    candidate: Candidate, demand: TokenDemand, speeds: Speeds
) -> float:
    """Return by how much a request raises the cost of later ones, in seconds.

    It is that at a target with the usual pace.
    """
    if not demand.input_tokens:
        return speeds.service_time / candidate.slots
    own_tokens = candidate.prefill_plan.prefill_tokens(demand.input_tokens)
    return speeds.prefill_time(own_tokens) + _DECODE_DELAY_S_PER_REQUEST


def describe_choice(
    candidate: Candidate, demand: TokenDemand, speeds: Speeds
) -> TargetChoice:
    """Return what a request is expected to find at a target."""
    expected_time = _estimate_usual_wait(
        candidate, demand, speeds, candidate.urgent_prefill_tokens
    )
    own_tokens = candidate.prefill_plan.prefill_tokens(demand.input_tokens)
    own_time = speeds.first_token + speeds.prefill_time(own_tokens)
    wait = candidate.pace * expected_time
    if not demand.input_tokens:
        own_time = 0.0
        expected_time += speeds.service_time
    return TargetChoice(
        candidate.name,
        wait,
        max(0.0, wait - own_time),
        expected_time,
        candidate.urgent_prefill_tokens + own_tokens,
        candidate.prefill_plan,
        candidate.pace,
        estimate_added_cost(candidate, demand, speeds),
    )


def assume_usual_pace(choice: TargetChoice) -> TargetChoice:
    """Return what a request finds if the target has the usual pace again."""
    wait = choice.estimated_wait / choice.pace
    queue_wait = choice.queue_wait - (choice.estimated_wait - wait)
    return choice._replace(
        estimated_wait=wait, queue_wait=max(0.0, queue_wait), pace=1.0
    )


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
    cached_tokens: Sequence[float],
    size: int,
    random: Random,
    min_holders: int = 1,
) -> list[int]:
    """Return the indices of the targets that are compared for a request.

    ``cached_tokens`` holds the tokens that each target has cached of the
    prompt. The sample is random, but always has ``min_holders`` of the
    targets that have cached most, or all of them: prompts that share segments
    then meet at an engine however few engines each VM compares.
    """
    count = len(cached_tokens)
    sample = random.sample(range(count), min(size, count))
    most = max(cached_tokens, default=0.0)
    if not most:
        return sample
    lacking = min_holders - sum(cached_tokens[i] == most for i in sample)
    if lacking <= 0:
        return sample
    holders = [
        i for i in range(count) if cached_tokens[i] == most and i not in sample
    ]
    return sample + random.sample(holders, min(lacking, len(holders)))


def choose_target(
    candidates: Iterable[Candidate],
    demand: TokenDemand,
    speeds: Speeds = PRIOR_SPEEDS,
) -> TargetChoice | None:
    """Return the target with the lowest cost; None without candidates."""
    best = min(
        candidates,
        key=lambda c: estimate_cost(c, demand, speeds),
        default=None,
    )
    if best is None:
        return None
    return describe_choice(best, demand, speeds)


__all__ = [
    'assume_usual_pace',
    'Candidate',
    'choose_target',
    'compute_sample_size',
    'describe_choice',
    'estimate_added_cost',
    'estimate_cost',
    'LONG_RESPONSE_S',
    'pick_sample',
    'TargetChoice',
    'TokenDemand',
]
