"""Token buckets that are divided into shares held by many members.

A bucket is divided into ``UNITS_PER_BUCKET`` units. A member that holds
a number of units has that fraction of the bucket's rate and burst, and
spends only tokens that its own units accrued or that peers lent it.
Only surveys assign units, so the units held never add up to more than
``UNITS_PER_BUCKET``, and in any window of T seconds at most
rate x T + burst tokens are spent.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .clock import Clock

UNITS_PER_BUCKET = 1_000_000
LOAN_TTL_S = 0.5
_LOAN_RESERVATION_S = 2 * LOAN_TTL_S
_DEMAND_HORIZON_S = 0.25
_DEMAND_WINDOW_S = 1.0


class RateLimit(NamedTuple):
    """A bucket's rate in tokens per second and burst in tokens."""

    rate: float
    burst: float


class LoanRequest(NamedTuple):
    """A request for ``amount`` tokens, of which ``min_amount`` are needed.

    Loans for requests numbered up to ``settled`` are no longer in transit:
    they arrived and count in the borrower's own share, or they are too old
    and would be discarded.
    """

    number: int
    bucket: str
    amount: float
    min_amount: float
    settled: int


class Loan(NamedTuple):
    """Tokens lent, and those that remain with the lender.

    The lender deducts ``amount`` before it sends the loan.
    """

    number: int
    bucket: str
    amount: float
    remaining: float


class _LoanReservation(NamedTuple):
    """Capacity of the lender that a loan in transit occupies.

    It is released at ``expires_at``, in seconds of the clock.
    """

    borrower: str
    number: int
    amount: float
    expires_at: float


@dataclasses.dataclass
class _BucketShare:
    limit: RateLimit
    units: int = 0
    level: float = 0.0
    refilled_at: float = 0.0
    demand: float = 0.0
    demand_updated_at: float = 0.0
    reservations: list[_LoanReservation] = dataclasses.field(
        default_factory=list
    )


class BucketShares:
    """The share that one member holds of each bucket."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_bucket: dict[str, _BucketShare] = {}

    def configure(self, limits: dict[str, RateLimit]) -> None:
        """Set the limits; shares of buckets without a limit are dropped."""
        for name in self._by_bucket.keys() - limits.keys():
            del self._by_bucket[name]
        for name, limit in limits.items():
            share = self._by_bucket.get(name)
            if share is None:
                now = self._clock.now()
                self._by_bucket[name] = _BucketShare(
                    limit, refilled_at=now, demand_updated_at=now
                )
            elif share.limit != limit:
                self._refill(share)
                share.limit = limit
                self._refill(share)

    def drop_units(self) -> None:
        """Give up all units, as a survey may have assigned them to others."""
        for share in self._by_bucket.values():
            share.units = 0
            share.level = min(share.level, 0.0)

    def count_units(self) -> dict[str, int]:
        """Return the units that this member holds, by bucket."""
        return {name: share.units for name, share in self._by_bucket.items()}

    def set_units(
        self, name: str, units: int, starts_full: bool = False
    ) -> None:
        """Set the units held of a bucket.

        Added units start with their fraction of the burst if
        ``starts_full``, else without tokens.
        """
        share = self._by_bucket.get(name)
        if share is None:
            return
        self._refill(share)
        added = max(0, units - share.units)
        share.units = units
        if starts_full:
            share.level += share.limit.burst * added / UNITS_PER_BUCKET
        self._refill(share)

    def _compute_capacity(self, share: _BucketShare) -> float:
        capacity = share.limit.burst * share.units / UNITS_PER_BUCKET
        if not share.reservations:
            return capacity
        now = self._clock.now()
        share.reservations = [
            r for r in share.reservations if r.expires_at > now
        ]
        lent = sum(reservation.amount for reservation in share.reservations)
        return max(0.0, capacity - lent)

    def _refill(self, share: _BucketShare) -> None:
        now = self._clock.now()
        elapsed = max(0.0, now - share.refilled_at)
        share.refilled_at = now
        capacity = self._compute_capacity(share)
        if share.level >= capacity:
            share.level = min(share.level, capacity)
            return
        gained = share.limit.rate * share.units / UNITS_PER_BUCKET * elapsed
        share.level = min(capacity, share.level + gained)

    def _record_demand(self, share: _BucketShare, amount: float) -> None:
        now = self._clock.now()
        decay = max(
            0.0, 1.0 - (now - share.demand_updated_at) / _DEMAND_WINDOW_S
        )
        share.demand = share.demand * decay + amount
        share.demand_updated_at = now

    def _predict_demand(self, share: _BucketShare) -> float:
        idle = self._clock.now() - share.demand_updated_at
        decay = max(0.0, 1.0 - idle / _DEMAND_WINDOW_S)
        return share.demand * decay * _DEMAND_HORIZON_S / _DEMAND_WINDOW_S

    def get_limit(self, name: str) -> RateLimit | None:
        """Return the limit of a bucket, or nothing if none is set."""
        share = self._by_bucket.get(name)
        return share.limit if share is not None else None

    def count_available_tokens(self, name: str) -> float:
        """Return the tokens that this member may spend now.

        The count is below 0 while there is debt from ``refund``.
        """
        share = self._by_bucket.get(name)
        if share is None:
            return 0.0
        self._refill(share)
        return share.level

    def spend(self, name: str, amount: float) -> bool:
        """Spend ``amount`` tokens if there are enough; return if so."""
        share = self._by_bucket.get(name)
        if share is None:
            return False
        self._refill(share)
        self._record_demand(share, amount)
        if share.level < amount:
            return False
        share.level -= amount
        return True

    def refund(self, name: str, amount: float) -> None:
        """Return unused tokens; a negative ``amount`` makes debt."""
        share = self._by_bucket.get(name)
        if share is None:
            return
        self._refill(share)
        share.level += amount
        self._refill(share)

    def compute_loan(self, name: str, need: float) -> float:
        """Return the tokens to borrow so that ``need`` can be spent."""
        share = self._by_bucket.get(name)
        if share is None:
            return 0.0
        self._refill(share)
        room = max(0.0, self._compute_capacity(share) - share.level)
        desired = need - share.level + self._predict_demand(share)
        return max(need - share.level, min(desired, room))

    def lend(self, request: LoanRequest, borrower: str) -> float:
        """Deduct and return the tokens to lend for a loan request.

        Tokens beyond this member's own predicted demand are lent up to
        the requested amount; for the needed minimum, up to half of all
        tokens. While the loan may be in transit, the capacity of this
        share is lower by its amount, so that it isn't refilled.
        """
        share = self._by_bucket.get(request.bucket)
        if share is None or request.amount <= 0.0:
            return 0.0
        share.reservations = [
            r
            for r in share.reservations
            if r.borrower != borrower or r.number > request.settled
        ]
        self._refill(share)
        spare = share.level - self._predict_demand(share)
        lent = max(
            min(request.amount, spare),
            min(request.min_amount, share.level / 2.0),
        )
        if lent <= 0.0:
            return 0.0
        share.level -= lent
        expires_at = self._clock.now() + _LOAN_RESERVATION_S
        share.reservations.append(
            _LoanReservation(borrower, request.number, lent, expires_at)
        )
        return lent

    def spend_with_loans(
        self, name: str, amounts: list[float], borrowed: float
    ) -> list[bool]:
        """Spend ``borrowed`` and own tokens on each amount that fits.

        Returns for each amount, in order, whether it was spent. What
        remains of the loans stays in the share up to its capacity;
        tokens above it are discarded.
        """
        share = self._by_bucket.get(name)
        if share is None:
            return [False] * len(amounts)
        self._refill(share)
        share.level += borrowed
        successes = []
        for amount in amounts:
            successes.append(share.level >= amount)
            if successes[-1]:
                share.level -= amount
        self._refill(share)
        return successes


__all__ = [
    'BucketShares',
    'Loan',
    'LOAN_TTL_S',
    'LoanRequest',
    'RateLimit',
    'UNITS_PER_BUCKET',
]
