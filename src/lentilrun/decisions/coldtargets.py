"""Which targets are cold, and how many requests they get meanwhile.

Designed for this load: a whole data centre returns with empty caches, and
up to 200 VMs learn of it within seconds of each other. A cold target
tolerates a few requests a second from all VMs together. So the VMs take the
turns of ``ratelimits`` at it, as with a target that states a limit.

The bound is for any second; one may overlap two periods of turns, so that
the turns of both must fit in.
"""

from __future__ import annotations

import enum
import math
from typing import NamedTuple


class ColdTolerance(NamedTuple):
    """What the users allow beyond the rate of a cold target.

    In a second it may get ``overage`` times its rate, and ``slack``
    requests. Where both are 0, none is stated, and there is no limit.
    """

    overage: float = 0.0
    slack: float = 0.0


class ColdReason(enum.StrEnum):
    """Why a target counts as cold."""

    ROW = 'row'
    START = 'start'
    RETURN = 'return'


class ColdTimes(NamedTuple):
    """What is known of a target; by the clock, in seconds.

    Its row states that it is cold until ``row_until``. It registered a new
    start at ``started_at``, while the VM served, and the evacuation of its
    data centre ended at ``returned_at``; these are minus infinity if that
    has not happened.
    """

    row_until: float
    started_at: float
    returned_at: float


class Coldness(NamedTuple):
    """Until when a target counts as cold, by the clock in seconds."""

    until: float
    reason: ColdReason


def compute_slot_rate(
    cold_per_s: float, tolerance: ColdTolerance
) -> float | None:
    """Return the turns a second of a cold target; nothing without a limit.

    Two periods have at most as many turns as the bound allows.
    """
    bound = cold_per_s * tolerance.overage + tolerance.slack
    if cold_per_s <= 0.0 or tolerance == ColdTolerance():
        return None
    return min(cold_per_s, math.floor(bound) / 2.0)


def find_coldness(
    times: ColdTimes, cold_start: float, now: float
) -> Coldness | None:
    """Return until when a target is cold, and why; nothing if it is warm.

    A target is cold for ``cold_start`` seconds after its start.
    """
    last = max(
        Coldness(times.row_until, ColdReason.ROW),
        Coldness(times.started_at + cold_start, ColdReason.START),
        Coldness(times.returned_at + cold_start, ColdReason.RETURN),
    )
    return last if last.until > now else None


__all__ = [
    'ColdReason',
    'ColdTimes',
    'ColdTolerance',
    'Coldness',
    'compute_slot_rate',
    'find_coldness',
]
