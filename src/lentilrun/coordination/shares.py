"""One token bucket held in parts by many members.

A bucket is ``UNITS_PER_BUCKET`` units; each accrues its part of the
rate up to its part of the burst. A member spends only what its own units
accrued or what peers lent it. Units are given out by surveys alone, so
the units held never add up to more than ``UNITS_PER_BUCKET``, and no
window of T seconds sees more spent than rate x T + burst.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .clock import Clock

UNITS_PER_BUCKET = 1_000_000
LOAN_TTL_S = 0.5
_LOAN_SHADOW = 2 * LOAN_TTL_S
_DEMAND_HORIZON = 0.25
_DEMAND_MEMORY = 1.0


class RateLimit(NamedTuple):
    """A bucket's rate in tokens a second and burst in tokens."""

    rate: float
    burst: float


class LoanRequest(NamedTuple):
    """A wish to borrow ``amount`` tokens, with at least ``min_amount``.

    Loans that answered asks up to ``settled`` have arrived and count
    in the borrower's own part.
    """

    number: int
    bucket: str
    amount: float
    min_amount: float
    settled: int


class Loan(NamedTuple):
    """Tokens lent, taken off before this was sent, and those left."""

    number: int
    bucket: str
    amount: float
    remaining: float


class _Shadow(NamedTuple):
    """A loan that may be on its way until ``until``."""

    borrower: str
    number: int
    amount: float
    until: float


@dataclasses.dataclass
class _Part:
    limit: RateLimit
    units: int = 0
    level: float = 0.0
    filled: float = 0.0
    demand: float = 0.0
    demanded: float = 0.0
    shadows: list[_Shadow] = dataclasses.field(default_factory=list)


class BucketShares:
    """The parts of buckets that one member holds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._parts: dict[str, _Part] = {}

    def configure(self, limits: dict[str, RateLimit]) -> None:
        """Set the limits; parts of buckets that are gone are dropped."""
        for name in self._parts.keys() - limits.keys():
            del self._parts[name]
        for name, limit in limits.items():
            part = self._parts.get(name)
            if part is None:
                now = self._clock.now()
                self._parts[name] = _Part(limit, filled=now, demanded=now)
            elif part.limit != limit:
                self._fill(part)
                part.limit = limit
                self._fill(part)

    def drop_units(self) -> None:
        """Give up all units: another member may have been given them."""
        for part in self._parts.values():
            part.units = 0
            part.level = min(part.level, 0.0)

    def count_units(self) -> dict[str, int]:
        """Return the units held of each bucket."""
        return {name: part.units for name, part in self._parts.items()}

    def set_units(self, name: str, units: int, full: bool = False) -> None:
        """Set the units held; added ones start full only if ``full``."""
        part = self._parts.get(name)
        if part is None:
            return
        self._fill(part)
        added = max(0, units - part.units)
        part.units = units
        if full:
            part.level += part.limit.burst * added / UNITS_PER_BUCKET
        self._fill(part)

    def _cap(self, part: _Part) -> float:
        cap = part.limit.burst * part.units / UNITS_PER_BUCKET
        if not part.shadows:
            return cap
        now = self._clock.now()
        part.shadows = [s for s in part.shadows if s.until > now]
        lent = sum(shadow.amount for shadow in part.shadows)
        return max(0.0, cap - lent)

    def _fill(self, part: _Part) -> None:
        now = self._clock.now()
        elapsed = max(0.0, now - part.filled)
        part.filled = now
        cap = self._cap(part)
        if part.level >= cap:
            part.level = min(part.level, cap)
            return
        gained = part.limit.rate * part.units / UNITS_PER_BUCKET * elapsed
        part.level = min(cap, part.level + gained)

    def _note_demand(self, part: _Part, amount: float) -> None:
        now = self._clock.now()
        kept = max(0.0, 1.0 - (now - part.demanded) / _DEMAND_MEMORY)
        part.demand = part.demand * kept + amount
        part.demanded = now

    def _reserve(self, part: _Part) -> float:
        idle = self._clock.now() - part.demanded
        kept = max(0.0, 1.0 - idle / _DEMAND_MEMORY)
        return part.demand * kept * _DEMAND_HORIZON / _DEMAND_MEMORY

    def get_limit(self, name: str) -> RateLimit | None:
        """Return the limit of a bucket, if it is known."""
        part = self._parts.get(name)
        return part.limit if part is not None else None

    def count_available_tokens(self, name: str) -> float:
        """Return the tokens that may be spent here now."""
        part = self._parts.get(name)
        if part is None:
            return 0.0
        self._fill(part)
        return part.level

    def spend(self, name: str, amount: float) -> bool:
        """Take tokens if there are enough; return whether it did."""
        part = self._parts.get(name)
        if part is None:
            return False
        self._fill(part)
        self._note_demand(part, amount)
        if part.level < amount:
            return False
        part.level -= amount
        return True

    def refund(self, name: str, amount: float) -> None:
        """Give back unused tokens; a negative amount is a debt."""
        part = self._parts.get(name)
        if part is None:
            return
        self._fill(part)
        part.level += amount
        self._fill(part)

    def compute_loan(self, name: str, need: float) -> float:
        """Return how much to borrow so that ``need`` can be spent."""
        part = self._parts.get(name)
        if part is None:
            return 0.0
        self._fill(part)
        room = max(0.0, self._cap(part) - part.level)
        wish = need - part.level + self._reserve(part)
        return max(need - part.level, min(wish, room))

    def lend(self, ask: LoanRequest, borrower: str) -> float:
        """Take off and return what can be lent of what is asked for.

        What this member is about to use itself is lent only in half.
        Until the loan has arrived, this part does not refill its place.
        """
        part = self._parts.get(ask.bucket)
        if part is None or ask.amount <= 0.0:
            return 0.0
        part.shadows = [
            s
            for s in part.shadows
            if s.borrower != borrower or s.number > ask.settled
        ]
        self._fill(part)
        spare = part.level - self._reserve(part)
        lent = max(
            min(ask.amount, spare), min(ask.min_amount, part.level / 2.0)
        )
        if lent <= 0.0:
            return 0.0
        part.level -= lent
        until = self._clock.now() + _LOAN_SHADOW
        part.shadows.append(_Shadow(borrower, ask.number, lent, until))
        return lent

    def spend_with_loans(
        self, name: str, amounts: list[float], lent: float
    ) -> list[bool]:
        """Spend loans and own tokens together, on what fits, in order.

        Returns which amounts were taken. What stays of the loans is
        kept up to the part's cap; the rest is given up.
        """
        part = self._parts.get(name)
        if part is None:
            return [False] * len(amounts)
        self._fill(part)
        part.level += lent
        taken = []
        for amount in amounts:
            taken.append(part.level >= amount)
            if taken[-1]:
                part.level -= amount
        self._fill(part)
        return taken


__all__ = [
    'BucketShares',
    'Loan',
    'LOAN_TTL_S',
    'LoanRequest',
    'RateLimit',
    'UNITS_PER_BUCKET',
]
