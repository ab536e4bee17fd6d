"""Whether a call is sent to a target, waits at the router, or is refused.

Designed for this load: for some seconds more prompts arrive than the engines
can prefill, as many users come at once, engines fail, or new weights have
emptied all caches. If every call were sent at once, the queues at the engines
would make all of them late. So a call is sent only where it is expected to
be on time. One that can't be on time any more waits until an engine is nearly
free, behind those that still can, or until it would miss its deadline; one
that would miss it anyway is refused at once, with the time after which the
queue is expected to be short enough.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

# A late call is sent where it waits at most this share of the time in which
# its response would have been on time.
_MAX_LATE_QUEUE_SHARE = 0.15
# A call is sent to any queue when it could wait no longer than this.
_LAST_CHANCE_S = 0.4
_MIN_RETRY_AFTER_S = 0.25
# Callers follow a Retry-After only up to this share of their time left.
_MAX_RETRY_AFTER_SHARE = 1.0 / 3.0
# Callers that are refused together return within this share of their
# Retry-After.
_RETRY_SPREAD = 0.5


class Decision(enum.Enum):
    """What happens to a call now."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Prospect(NamedTuple):
    """What a call can expect at its best target; all times in seconds.

    Its first token, or its response without a model, is expected after
    ``estimated_wait``, of which it waits ``queue_wait`` for other requests.
    It would be on time within ``time_to_aim``, and must begin within
    ``time_left``, or the caller is gone. ``aim`` is the time to be on time
    from its arrival.
    """

    estimated_wait: float
    queue_wait: float
    time_to_aim: float
    time_left: float
    aim: float


def decide(prospect: Prospect) -> Decision:
    """Return what to do with a call now."""
    if prospect.estimated_wait > prospect.time_left:
        return Decision.REFUSE
    if prospect.estimated_wait <= prospect.time_to_aim:
        return Decision.SEND
    if prospect.queue_wait <= _MAX_LATE_QUEUE_SHARE * prospect.aim:
        return Decision.SEND
    if prospect.time_left - prospect.estimated_wait < _LAST_CHANCE_S:
        return Decision.SEND
    return Decision.WAIT


def compute_retry_after(prospect: Prospect, fraction: float) -> float:
    """Return when a refused caller should return, in seconds.

    By then the queue is expected to be short enough for the call to be on
    time. ``fraction`` is a random number between 0 and 1 that spreads
    callers who are refused at the same time.
    """
    excess = prospect.queue_wait - _MAX_LATE_QUEUE_SHARE * prospect.aim
    delay = max(_MIN_RETRY_AFTER_S, excess)
    delay *= 1.0 + _RETRY_SPREAD * (fraction - 0.5)
    longest = max(0.0, prospect.time_left) * _MAX_RETRY_AFTER_SHARE
    return min(delay, max(_MIN_RETRY_AFTER_S, longest))


__all__ = ['compute_retry_after', 'decide', 'Decision', 'Prospect']
