"""A budget for retries, so that they never add to an overload."""

from __future__ import annotations

_SHARE = 0.1
_RESERVE = 32.0


class RetryBudget:
    """Lets retries be a small share of requests, with a small reserve."""

    def __init__(
        self, share: float = _SHARE, reserve: float = _RESERVE
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def add_request(self) -> None:
        """Count one request."""
        self._balance = min(self._reserve, self._balance + self._share)

    def has_room(self) -> bool:
        """Return whether a retry could be taken."""
        return self._balance >= 1.0

    def spend(self) -> bool:
        """Take one retry if the budget allows it."""
        if not self.has_room():
            return False
        self._balance -= 1.0
        return True


__all__ = ['RetryBudget']
