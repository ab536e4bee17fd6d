"""How recent a VM's knowledge of the store must be before it reads itself.

Designed for this load: hundreds of VMs to which two relay the changes of the
store, and which lose it at once, unnoticed, while a key is taken away. The
other VMs rely on them only as long as they know that the changes up to a
short time ago have been read. Past that time each reads the store itself,
not all at the same moment. Only an outage of the store lets a VM know
nothing for longer than that.
"""

from __future__ import annotations

from typing import NamedTuple

# Shares of the time within which a change must be in force.
_FEED_WAIT_SHARE = 0.2
_HUB_AGE_SHARE = 0.5
# A VM that is no hub hears of the readers over one VM more.
_SPOKE_AGE_SHARE = 0.65
_SPREAD_SHARE = 0.1
# Messages between VMs are not sent more often.
_MIN_CHANGE_LIMIT_S = 1.0
# An outage has to be told from the time between two reads before the first
# rows expire in it.
_MAX_CHANGE_LIMIT_S = 2.5
# A VM's own read takes less, if the store answers it.
_READ_S = 0.4


class ReadLimits(NamedTuple):
    """When a VM reads the store; in seconds.

    A reader's call waits ``feed_wait`` for changes. Another VM reads the
    store once its knowledge is ``max_age`` old, and up to ``spread`` later.
    If it learns nothing for longer than ``outage``, the store was away.
    """

    feed_wait: float
    max_age: float
    spread: float
    outage: float


def limit_reads(change_limit: float, is_hub: bool) -> ReadLimits:
    """Return the limits if changes must be in force in ``change_limit`` s."""
    limit = max(change_limit, _MIN_CHANGE_LIMIT_S)
    limit = min(limit, _MAX_CHANGE_LIMIT_S)
    age_share = _HUB_AGE_SHARE if is_hub else _SPOKE_AGE_SHARE
    max_age = limit * age_share
    spread = limit * _SPREAD_SHARE
    return ReadLimits(
        limit * _FEED_WAIT_SHARE, max_age, spread, max_age + spread + _READ_S
    )


__all__ = ['limit_reads', 'ReadLimits']
