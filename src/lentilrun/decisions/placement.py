"""Which target takes a request: the least estimated time to an answer.

The load that this answers: long prompts that share parts, sent to a few
engines whose memory holds the shared parts of a few requests each, while
short requests must not wait behind the reading of long prompts.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

# Prompt tokens that an engine reads a second.
READ_RATE = 35_000.0
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
# How sure it is that the first place by hash holds a shared part.
_FIRST_PLACE = 0.6


class Candidate(NamedTuple):
    """A target as a request sees it; all sizes in tokens.

    ``running`` counts the requests of all VMs there, ``unread`` their
    prompt tokens still to be read and ``held`` the memory that they
    take. ``cached`` is what it is thought to hold of the prompt.
    ``failing`` is the share of answers that failed lately.
    """

    name: str
    is_near: bool
    slots: int
    running: int
    unread: float
    held: float
    memory: int
    cached: float
    failing: float


class Need(NamedTuple):
    """What a request takes, in tokens; both 0 for a plain one."""

    input_tokens: int
    output_tokens: int


class Choice(NamedTuple):
    """A target, the time to its answer in seconds, and what it holds."""

    name: str
    wait: float
    cached: float


def estimate_wait(candidate: Candidate, need: Need) -> float:
    """Return the time to the first part of the answer, in seconds."""
    if not need.input_tokens:
        return _estimate_plain(candidate)
    to_read = max(0.0, need.input_tokens - candidate.cached)
    wait = (candidate.unread + to_read) / READ_RATE
    wait += candidate.running * _DECODE_S_PER_RUNNING
    queued = max(0, candidate.running - candidate.slots + 1)
    wait += queued / candidate.slots * _MODEL_SERVICE_S
    room = candidate.memory * _MEMORY_SHARE
    wanted = candidate.held + need.input_tokens + need.output_tokens
    if wanted > room > 0:
        wait += (wanted - room) / room * _MODEL_SERVICE_S * 2
    return wait


def _estimate_plain(candidate: Candidate) -> float:
    filled = candidate.running / candidate.slots
    queued = max(0.0, filled - 1.0 + 1.0 / candidate.slots)
    return _PLAIN_SERVICE_S * (0.3 * min(1.0, filled) + queued)


def choose(candidates: Iterable[Candidate], need: Need) -> Choice | None:
    """Return the target with the least cost, or nothing without any."""
    best: Choice | None = None
    least = float('inf')
    for candidate in candidates:
        wait = estimate_wait(candidate, need)
        cost = wait + candidate.failing * _FAILURE_S
        if not candidate.is_near:
            cost += _FAR_S
        if cost < least:
            least = cost
            best = Choice(candidate.name, wait, candidate.cached)
    return best


def _score(part: str, name: str) -> bytes:
    return hashlib.blake2b(f'{part}/{name}'.encode(), digest_size=8).digest()


def guess_share(part: str, names: Sequence[str]) -> dict[str, float]:
    """Return how likely targets hold a part that nobody was seen to hold.

    All VMs send a part to the same place by hash while load allows it,
    so that they agree without a word.
    """
    if not names:
        return {}
    first = max(names, key=lambda n: _score(part, n))
    return {first: _FIRST_PLACE}


__all__ = [
    'Candidate',
    'Choice',
    'choose',
    'estimate_wait',
    'guess_share',
    'Need',
    'READ_RATE',
]
