"""How long requests may be sent to, or wait at, engines with old weights.

Designed for this load: engines keep weights that were replaced, as their
orders fail or the VM that sends them was lost, while so many requests arrive
that they wait at the engines. A request must not begin on weights that were
replaced longer ago than the operators' limit. So none is sent that is
expected to begin later, and one that has not begun shortly before the limit
is taken back.

A VM that has just started, or has read no rows for a time, can't see how old
an announcement is. It must keep the limit once it has run undisturbed for a
time that the operators set.
"""

from __future__ import annotations

# The wait at an engine that every request is assumed to have at least.
_MIN_ASSUMED_WAIT_S = 1.2
# A request is taken back this long before the limit: the time in which its
# engine learns of it.
_WITHDRAWAL_MARGIN_S = 0.4
# A process reads the store's rows within this time after it starts or
# resumes.
_FIRST_READ_S = 1.0


def may_begin_in_time(
    stale_for: float, stale_limit: float, estimated_wait: float = 0.0
) -> bool:
    """Return whether a request that is sent now will begin before the limit.

    The weights were replaced ``stale_for`` seconds ago, 0 if they are the
    newest; the request is expected to wait ``estimated_wait`` seconds.
    """
    if stale_for <= 0.0:
        return True
    wait = max(_MIN_ASSUMED_WAIT_S, estimated_wait + _WITHDRAWAL_MARGIN_S)
    return stale_for + wait < stale_limit


def compute_withdrawal_delay(stale_for: float, stale_limit: float) -> float:
    """Return after how many seconds a waiting request must be taken back.

    The weights were replaced ``stale_for`` seconds ago.
    """
    return max(0.0, stale_limit - _WITHDRAWAL_MARGIN_S - stale_for)


def compute_unknown_age(stale_limit: float, undisturbed_time: float) -> float:
    """Return the age assumed for an undated announcement, in seconds.

    It reaches ``stale_limit`` once the VM has run undisturbed for
    ``undisturbed_time`` seconds.
    """
    return max(0.0, stale_limit - undisturbed_time + _FIRST_READ_S)


__all__ = [
    'compute_unknown_age',
    'compute_withdrawal_delay',
    'may_begin_in_time',
]
