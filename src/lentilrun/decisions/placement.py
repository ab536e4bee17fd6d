"""Which target takes a request: the least estimated cost, in seconds.

The load that this answers: requests with long prompts and short answers
beside requests with short prompts and long answers, on the same engines.
While an engine reads a long prompt, the answers that it makes pause; and
an engine can take new weights only once its longest answer is made. So
long answers gather on a few engines, long prompts on the others, and each
shared part of a prompt is read once. Where many VMs choose at once from
news of the same age, each compares a few targets only, drawn by chance.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from typing import TYPE_CHECKING

from .sources import PREFILL_TOKENS_PER_S
from .sources import PrefillPlan

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time that an engine takes for a token of an answer, in seconds.
DECODE_S_PER_TOKEN = 0.0055
# Answers are this share of the most that their requests allow.
_ANSWER_SHARE = 0.3
# An answer that is expected to take longer counts as long, in seconds.
LONG_DECODE_S = 0.7
# Time of a request at a target while nothing else runs, in seconds.
_MODEL_SERVICE_S = 0.35
_PLAIN_SERVICE_S = 0.025
# Cost of a data centre further away: its delay, in seconds.
_FAR_S = 0.004
# Share of an engine's memory that running requests should take.
_MEMORY_SHARE = 0.92
# What a failed answer costs, as a time in seconds.
_FAILURE_S = 1.5
_DECODE_S_PER_RUNNING = 0.0006
# Cost for each long answer that pauses while so many tokens are read; it
# grows with the square of the tokens.
_PAUSE_S = 0.02
_PAUSE_TOKENS = 5000.0
# Cost of a second by which an engine is in use for longer.
_LONGER_SHARE = 0.02
# However little a VM knows, it compares so many targets.
_LEAST_SAMPLED = 2
# Cost of beginning on weights that were replaced, in seconds.
_STALE_S = 0.15


class Candidate(NamedTuple):
    """A target as a request sees it; all sizes in tokens.

    ``in_flight`` counts the requests of all VMs there, ``long_in_flight``
    those with long answers, ``prefill_tokens`` their prompt tokens still
    to be read and ``memory_tokens_used`` the memory that they take; they
    are all done after ``busy_for`` seconds. ``prefill_plan`` tells what it
    is thought to hold of the prompt. ``failure_rate`` is the share of
    answers that failed lately.
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
    """What a request takes, in tokens; both 0 for a plain one."""

    input_tokens: int
    output_tokens: int

    def decode_time(self) -> float:
        """Return the time that the answer is expected to take, in s."""
        return self.output_tokens * _ANSWER_SHARE * DECODE_S_PER_TOKEN


class TargetChoice(NamedTuple):
    """A target, the time to its answer in s, and what it holds."""

    name: str
    estimated_wait: float
    prefill_plan: PrefillPlan


def estimate_wait(candidate: Candidate, need: TokenDemand) -> float:
    """Return the time to the first part of the answer, in seconds."""
    if not need.input_tokens:
        return _estimate_plain(candidate)
    to_read = candidate.prefill_plan.prefill_tokens(need.input_tokens)
    wait = (candidate.prefill_tokens + to_read) / PREFILL_TOKENS_PER_S
    wait += candidate.in_flight * _DECODE_S_PER_RUNNING
    queued = max(0, candidate.in_flight - candidate.slots + 1)
    wait += queued / candidate.slots * _MODEL_SERVICE_S
    room = candidate.memory_tokens * _MEMORY_SHARE
    wanted = (
        candidate.memory_tokens_used + need.input_tokens + need.output_tokens
    )
    if wanted > room > 0:
        wait += (wanted - room) / room * _MODEL_SERVICE_S * 2
    return wait


def _estimate_plain(candidate: Candidate) -> float:
    filled = candidate.in_flight / candidate.slots
    queued = max(0.0, filled - 1.0 + 1.0 / candidate.slots)
    return _PLAIN_SERVICE_S * (0.3 * min(1.0, filled) + queued)


def _estimate_harm(candidate: Candidate, need: TokenDemand) -> float:
    """Return what the request costs others, in seconds."""
    to_read = candidate.prefill_plan.prefill_tokens(need.input_tokens)
    paused = (to_read / _PAUSE_TOKENS) ** 2 * _PAUSE_S
    harm = paused * candidate.long_in_flight
    longer = max(0.0, need.decode_time() - candidate.busy_for)
    return harm + longer * _LONGER_SHARE


def estimate_cost(candidate: Candidate, need: TokenDemand) -> float:
    """Return what a request costs at a target, in seconds."""
    cost = estimate_wait(candidate, need)
    cost += _estimate_harm(candidate, need)
    cost += candidate.failure_rate * _FAILURE_S
    if candidate.has_stale_weights:
        cost += _STALE_S
    if not candidate.is_local:
        cost += _FAR_S
    return cost


def compute_sample_size(targets: int, unseen: float) -> int:
    """Return how many targets a request chooses among.

    ``unseen`` requests were sent by other VMs since they last told of
    their loads. All VMs see the same target as the best: the more go
    there unseen, the fewer targets each VM may compare.
    """
    each = unseen / max(1, targets)
    return max(_LEAST_SAMPLED, math.ceil(targets / (1.0 + each)))


def choose_target(
    candidates: Iterable[Candidate], need: TokenDemand
) -> TargetChoice | None:
    """Return the target with the least cost, or nothing without any."""
    best = min(candidates, key=lambda c: estimate_cost(c, need), default=None)
    if best is None:
        return None
    return TargetChoice(
        best.name, estimate_wait(best, need), best.prefill_plan
    )


__all__ = [
    'Candidate',
    'choose_target',
    'compute_sample_size',
    'estimate_cost',
    'estimate_wait',
    'LONG_DECODE_S',
    'TargetChoice',
    'TokenDemand',
]
