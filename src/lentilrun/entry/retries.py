"""A budget that keeps retries from adding to an overload."""

from __future__ import annotations

_RETRY_SHARE = 0.1
_MAX_SAVED_RETRIES = 32.0


class RetryBudget:
    """Limits retries to a share of requests.

    Each request adds ``share`` retries to the budget, which starts with
    ``max_saved`` retries and never has more.
    """

    def __init__(
        self,
        share: float = _RETRY_SHARE,
        max_saved: float = _MAX_SAVED_RETRIES,
    ) -> None:
        self._share = share
        self._max_saved = max_saved
        self._available = max_saved

    def add_request(self) -> None:
        """Add the retries that one more request allows."""
        self._available = min(self._max_saved, self._available + self._share)

    def has_room(self) -> bool:
        """Return whether the budget allows a retry."""
        return self._available >= 1.0

    def spend(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        if not self.has_room():
            return False
        self._available -= 1.0
        return True


__all__ = ['RetryBudget']
