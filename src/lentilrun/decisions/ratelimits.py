"""Which VM may send the next request to a target that states a rate limit.

Designed for this load: a target in need takes one request per second from
all VMs together, and eight or two hundred VMs, each with more requests than
its share, learn of that from its responses. A share per VM would be far
below one request, and what the VMs know of each other's requests is too old.
So the requests that the limit allows are numbered, and the VMs take them in
round-robin order by a clock that all of them can read. A turn that its VM
does not use in its period is lost, so that no burst adds up.

The same turns serve targets that crash if they must reject more than some
requests per second: a request that may find no room counts as a rejection.

Times are in seconds by the common clock, limits in requests per second.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# Turns are valid for the period to which they belong.
_PERIOD_S = 1.0
# A target that takes less gets requests at this rate, as only a response
# shows that the limit has ended.
_MIN_LIMIT_PER_S = 0.1

# Requests for a turn must arrive in its period at targets that are limited
# in each second. A new connection may take this long.
_MAX_SEND_DELAY_S = 0.4

# A target surely has room while it is used up to this share.
_SURE_SHARE = 0.5
_MAX_VMS_PER_SLOT = 2


class Room(NamedTuple):
    """What is known of a target's use by the requests of all VMs.

    ``in_flight`` are the known ones. This VM sent ``unreported`` of its own
    so lately that others can't know of them. Sizes of memory are in tokens,
    0 for targets without models.
    """

    slots: int
    in_flight: int
    unreported: int
    memory_tokens: int
    memory_tokens_used: float


def has_sure_room(room: Room, members: int) -> bool:
    """Return whether a target takes a request even if its queue is gone.

    Each of the other VMs, ``members`` with this one, is assumed to have sent
    as many requests unnoticed as this VM.
    """
    if not sees_room(members, room.slots):
        # A request of each at the same moment would be too many.
        return False
    assumed = room.in_flight + room.unreported * (members - 1)
    if assumed + 1 > room.slots * _SURE_SHARE:
        return False
    if not room.memory_tokens:
        return True
    return room.memory_tokens_used <= room.memory_tokens * _SURE_SHARE


def sees_room(members: int, slots: int) -> bool:
    """Return whether each VM sees for itself that a target has room."""
    return members <= _MAX_VMS_PER_SLOT * slots


def count_spare_turns(room: Room, members: int, limit: float) -> float | None:
    """Return how many turns a target bears besides its ``limit``.

    A turn is one request at a time. Those of a period may begin at its end,
    while those of the next begin at once: so many of both don't find room as
    the target may reject. All VMs must take turns at the same number, so it
    doesn't depend on what each knows; but a VM that knows of no room sends
    none, and then it is nothing. It is 0 where each VM sees for itself that
    there is room.
    """
    if sees_room(members, room.slots):
        return 0.0
    if room.in_flight >= room.slots * _SURE_SHARE:
        return None
    return max(0.0, math.floor(room.slots + limit) / 2.0 - limit)


class Place(NamedTuple):
    """A VM's place in the round robin for one target.

    ``members`` VMs take turns; this one is at ``rank``.
    """

    rank: int
    members: int


def compute_period(now: float) -> int:
    """Return the number of the period at a time."""
    return math.floor(now / _PERIOD_S)


def compute_end(period: int) -> float:
    """Return when a period ends."""
    return (period + 1) * _PERIOD_S


def is_early(now: float) -> bool:
    """Return whether a request that is sent now arrives in this period."""
    return compute_end(compute_period(now)) - now >= _MAX_SEND_DELAY_S


def _first_turn(limit: float, period: int) -> int:
    return math.floor(max(limit, _MIN_LIMIT_PER_S) * _PERIOD_S * period)


def _next_own_turn(turn: int, place: Place) -> int:
    """Return the first turn from ``turn`` on that the VM may take."""
    return turn + (place.rank - turn) % place.members


def count_turns(limit: float, place: Place, period: int) -> int:
    """Return how many requests a VM may send in a period."""
    first = _next_own_turn(_first_turn(limit, period), place)
    end = _first_turn(limit, period + 1)
    return max(0, math.ceil((end - first) / place.members))


def list_turn_starts(
    limit: float, place: Place, period: int
) -> Iterator[float]:
    """Yield when each turn of a VM begins, for turns after a period."""
    rate = max(limit, _MIN_LIMIT_PER_S) * _PERIOD_S
    turn = _next_own_turn(_first_turn(limit, period + 1), place)
    while True:
        yield (math.ceil((turn + 1) / rate) - 1) * _PERIOD_S
        turn += place.members


def find_turn(starts: Iterable[Iterable[float]], number: int) -> float:
    """Return when a VM may send its ``number``-th request, from 0.

    ``starts`` holds the starts of its turns at each target; infinite
    without targets.
    """
    merged = heapq.merge(*starts)
    return next(itertools.islice(merged, number, None), math.inf)


__all__ = [
    'compute_end',
    'compute_period',
    'count_spare_turns',
    'count_turns',
    'find_turn',
    'has_sure_room',
    'is_early',
    'list_turn_starts',
    'Place',
    'Room',
    'sees_room',
]
