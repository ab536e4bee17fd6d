"""How many requests may be sent once more, over all VMs together.

The load that this answers: targets that refuse or fail many requests at
once, where retries would double what they get.
"""

from __future__ import annotations

import collections

# The part of the common limit that the VMs use together, as the requests
# that each counts on may be counted in another window.
_USED = 0.75


class RetryBudget:
    """One service's retries by this VM in a sliding window."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Allow ``ratio`` of the requests and ``slack``, in ``window`` s."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._drop_old(now)

    def request_rate(self, now: float) -> float:
        """Return the requests of callers a second."""
        self._drop_old(now)
        return len(self._requests) / self._window

    def _drop_old(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()

    def spend(self, now: float, members: int) -> bool:
        """Take one retry if the limit allows it."""
        self._drop_old(now)
        allowed = self._ratio * len(self._requests)
        allowed += self._slack / max(1, members)
        if len(self._retries) + 1 > allowed * _USED:
            return False
        self._retries.append(now)
        return True


__all__ = ['RetryBudget']
