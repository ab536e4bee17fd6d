"""The memory that the messages of a process use, counted in one budget."""

from __future__ import annotations

import collections
import itertools
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..decisions.memory import classify_body
from ..decisions.memory import compute_owner_shortfall
from ..decisions.memory import compute_shortfall
from ..decisions.memory import Holder
from ..decisions.memory import Kind
from ..decisions.memory import list_stalled
from ..decisions.memory import MemoryPlan

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.memory import Owner

_MIB = 1024 * 1024
# Bytes that must arrive within a stall to count as progress. A client that
# sends less would keep its memory with a byte now and then.
PROGRESS_BYTES = 4096


class MemoryLimits(NamedTuple):
    """The most that is collected, in bytes.

    ``response`` is the limit of one response, ``total`` that of all
    responses in flight.
    """

    response: int
    total: int


DEFAULT_MEMORY_LIMITS = MemoryLimits(8 * _MIB, 32 * _MIB)
# For clients that share no process's budget.
_UNLIMITED = MemoryPlan(1 << 62)


def _do_nothing(is_timeout: bool) -> None:
    """End no request, as it has been received whole."""


class BodyHold:
    """The memory of one request's body, until ``release``."""

    __slots__ = (
        '_end',
        '_memory',
        '_unseen_bytes',
        'key',
        'owners',
        'progressed_at',
        'size',
    )

    def __init__(
        self,
        memory: ProcessMemory,
        owners: tuple[Owner, ...],
        end: Callable[[bool], None],
        now: float,
    ) -> None:
        self._memory = memory
        self.owners = owners
        self._end = end
        self.size = 0
        self.progressed_at = now
        self.key = memory.assign_key()
        self._unseen_bytes = 0

    def yield_memory(self) -> None:
        """End the request, as others need the memory."""
        self._end(False)

    def time_out(self) -> None:
        """End the request, as its body makes no progress."""
        self._end(True)

    def grow(self, size: int, now: float) -> bool:
        """Count ``size`` bytes in all; return whether they fit."""
        return self._memory.grow_body(self, size, now)

    def record_progress(self, received: int, now: float) -> None:
        """Record that so many more bytes have arrived."""
        self._unseen_bytes += received
        if self._unseen_bytes >= PROGRESS_BYTES:
            self._unseen_bytes = 0
            self.progressed_at = now

    def complete(self, size: int) -> None:
        """Record that the body has arrived: it can't be ended any more."""
        # The request refers to its hold: this ends a reference cycle.
        self._end = _do_nothing
        self._memory.complete_body(self, size)

    def release(self) -> None:
        """Stop counting the body."""
        self._memory.release_body(self)


class ProcessMemory:
    """Counts what is held in memory for all ports and clients."""

    def __init__(self, plan: MemoryPlan = _UNLIMITED) -> None:
        self.plan = plan
        self.used = 0
        # What connections hold: unfinished heads and requests not yet read.
        self.connection_bytes = 0
        self.closed_heads = 0
        self.ended_bodies = 0
        self.refused_bodies = 0
        self._owned: collections.Counter[Owner] = collections.Counter()
        # Bodies that have not arrived in full.
        self._receiving: dict[int, BodyHold] = {}
        self._keys = itertools.count(1)

    def assign_key(self) -> int:
        """Return a number that no other hold has."""
        return next(self._keys)

    def open_body(
        self,
        owners: tuple[Owner, ...],
        size: int,
        end: Callable[[bool], None],
        now: float,
    ) -> BodyHold | None:
        """Return a hold for a body of ``size`` bytes, nothing if none fits.

        ``end`` ends its request and releases the hold. It is called while
        the body makes no progress: with False if the memory is needed for
        others, and with True if that lasts too long.
        """
        hold = BodyHold(self, owners, end, now)
        if not self.grow_body(hold, size, now):
            return None
        self._receiving[hold.key] = hold
        return hold

    def grow_body(self, hold: BodyHold, size: int, now: float) -> bool:
        """Count ``size`` bytes of a body; return whether they fit.

        Bodies that have stalled are ended to make room. Bytes that do not
        fit are not counted.
        """
        if not self._make_room(hold, size, now):
            self.refused_bodies += 1
            return False
        self._resize(hold, size)
        return True

    def _make_room(self, hold: BodyHold, size: int, now: float) -> bool:
        if self.used == hold.size:
            # The operators' limit alone applies to a body if there is none
            # beside it.
            return True
        kind = classify_body(size)
        added = size - hold.size
        for owner in hold.owners:
            shortfall = compute_owner_shortfall(
                self.plan, self._owned[owner], kind, added
            )
            if shortfall and not self._end_stalled(
                [h for h in self._receiving.values() if owner in h.owners],
                shortfall,
                now,
                hold,
            ):
                return False
        used = self.used + self.connection_bytes
        shortfall = compute_shortfall(self.plan, used, kind, added)
        return not shortfall or self._end_stalled(
            list(self._receiving.values()), shortfall, now, hold
        )

    def _end_stalled(
        self,
        holds: list[BodyHold],
        needed: int,
        now: float,
        wanting: BodyHold,
    ) -> bool:
        """End bodies that have stalled; return whether it was enough."""
        holders = [
            Holder(h.key, h.size, h.progressed_at)
            for h in holds
            if h is not wanting
        ]
        stalled = list_stalled(holders, needed, now)
        for holder in stalled:
            self.ended_bodies += 1
            self._receiving[holder.key].yield_memory()
        return bool(stalled)

    def _resize(self, hold: BodyHold, size: int) -> None:
        added = size - hold.size
        hold.size = size
        self.used += added
        for owner in hold.owners:
            self._owned[owner] += added
            if not self._owned[owner]:
                del self._owned[owner]

    def complete_body(self, hold: BodyHold, size: int) -> None:
        """Record that a body has arrived, with its size."""
        self._receiving.pop(hold.key, None)
        if size != hold.size:
            self._resize(hold, size)

    def release_body(self, hold: BodyHold) -> None:
        """Stop counting a body."""
        self._receiving.pop(hold.key, None)
        self._resize(hold, 0)

    def is_exhausted(self) -> bool:
        """Return whether more is held than the budget allows."""
        return self.used + self.connection_bytes > self.plan.total

    def list_silent(self, since: float) -> list[BodyHold]:
        """Return the bodies without progress since a time."""
        return [h for h in self._receiving.values() if h.progressed_at < since]

    def take_response(self, added: int, kind: Kind = Kind.RESPONSE) -> bool:
        """Count bytes of a response; return whether they fit."""
        used = self.used + self.connection_bytes
        if added > 0 and compute_shortfall(self.plan, used, kind, added):
            return False
        self.used += added
        return True

    def release_response(self, size: int) -> None:
        """Stop counting bytes of a response."""
        self.used -= size


class MemoryBudget:
    """Counts the bytes of the responses that a client collects."""

    def __init__(
        self,
        limits: MemoryLimits,
        process: ProcessMemory | None = None,
        kind: Kind = Kind.RESPONSE,
    ) -> None:
        """Count them in the memory of the ``process`` as well."""
        self._limits = limits
        self._kind = kind
        self._process = process or ProcessMemory()
        self._used = 0

    def take(self, collected: int, added: int) -> bool:
        """Count ``added`` bytes of a response; return whether they fit.

        ``collected`` bytes of the response were counted before. Bytes that
        do not fit are not counted.
        """
        if collected + added > self._limits.response:
            return False
        if self._used + added > self._limits.total:
            return False
        if not self._process.take_response(added, self._kind):
            return False
        self._used += added
        return True

    def release(self, collected: int) -> None:
        """Stop counting the bytes of a response."""
        self._used -= collected
        self._process.release_response(collected)


__all__ = [
    'BodyHold',
    'DEFAULT_MEMORY_LIMITS',
    'MemoryBudget',
    'MemoryLimits',
    'ProcessMemory',
    'PROGRESS_BYTES',
]
