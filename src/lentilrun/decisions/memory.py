"""What a process may keep in memory: what to admit, and what to end first."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_MB = 1_000_000
# Resident memory of a process without requests: 36 MB after its
# start, the rest is for the rows and peers of a large deployment.
_OWN_BYTES = 52 * _MB
# Of the rest, this share is counted out. What remains is for copies of one
# message, memory that the allocator has not returned, and garbage.
_BUDGET_SHARE = 0.7
# The budget of a machine with hardly more memory than the process needs.
_MIN_BUDGET_SHARE = 1.0 / 8.0
# A body of this size or less is small.
SMALL_BODY_BYTES = 64 * 1024
# A holder without progress for this time may be ended for others.
MIN_STALL_S = 1.0


class Kind(enum.Enum):
    """What bytes are held for; the value is the share of the budget.

    An addition is refused if more than that share were in use with it, so
    that large bodies leave room for small ones, all bodies for responses, and
    all of these for what the store sends.
    """

    LARGE_BODY = 0.6
    SMALL_BODY = 0.75
    RESPONSE = 1.0
    # Rows must be read whatever callers and targets do.
    STORE_RESPONSE = 1.15


# The shares of the budget that bodies of one address, or of one workspace, may
# hold, so that others can send some.
_OWNER_SHARES = {Kind.LARGE_BODY: 0.4, Kind.SMALL_BODY: 0.55}


# The address or the workspace for which a body is held. Each request counts
# for its owners, so that they are texts, which are hashed once.
Owner = str


def list_owners(address: str, workspace: str) -> tuple[Owner, ...]:
    """Return the owners of a body; it may have no workspace."""
    by_address = f'address {address}'
    if not workspace:
        return (by_address,)
    return (by_address, f'workspace {workspace}')


class Holder(NamedTuple):
    """A body that is being received; ``progressed_at`` is by the clock."""

    key: int
    size: int
    progressed_at: float


class MemoryPlan(NamedTuple):
    """The budget of a process, in bytes.

    It ``is_minimal`` if the process hardly has memory beyond its own: one
    body of the largest size then takes most of it.
    """

    total: int
    is_minimal: bool = False

    def limit(self, kind: Kind) -> int:
        """Return how much may be in use with an addition of this kind."""
        return int(self.total * kind.value)

    def owner_limit(self, kind: Kind) -> int:
        """Return how much the bodies of one owner may use with this one."""
        return int(self.total * _OWNER_SHARES[kind])


def plan_memory(memory_bytes: int) -> MemoryPlan:
    """Return the budget of a process that may use ``memory_bytes``."""
    spare = int((memory_bytes - _OWN_BYTES) * _BUDGET_SHARE)
    least = int(memory_bytes * _MIN_BUDGET_SHARE)
    return MemoryPlan(max(spare, least), spare < least)


def classify_body(size: int) -> Kind:
    """Return the kind of a body of this size."""
    return Kind.SMALL_BODY if size <= SMALL_BODY_BYTES else Kind.LARGE_BODY


def compute_shortfall(
    plan: MemoryPlan, used: int, kind: Kind, added: int
) -> int:
    """Return how many bytes must be released before ``added`` ones fit."""
    return max(0, used + added - plan.limit(kind))


def compute_owner_shortfall(
    plan: MemoryPlan, owned: int, kind: Kind, added: int
) -> int:
    """Return how many bytes an owner must release before others fit."""
    return max(0, owned + added - plan.owner_limit(kind))


def list_stalled(
    holders: Iterable[Holder], needed: int, now: float
) -> list[Holder]:
    """Return the holders to end so that ``needed`` bytes are released.

    They have made no progress for longest. The list is empty if those that
    may be ended do not hold enough: ending some would help nobody.
    """
    stalled = [h for h in holders if now - h.progressed_at >= MIN_STALL_S]
    stalled.sort(key=lambda h: h.progressed_at)
    chosen = []
    for holder in stalled:
        if needed <= 0:
            break
        chosen.append(holder)
        needed -= holder.size
    return chosen if needed <= 0 else []


__all__ = [
    'classify_body',
    'compute_owner_shortfall',
    'compute_shortfall',
    'Holder',
    'Kind',
    'list_owners',
    'list_stalled',
    'MemoryPlan',
    'MIN_STALL_S',
    'Owner',
    'plan_memory',
    'SMALL_BODY_BYTES',
]
