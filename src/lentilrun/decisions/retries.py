"""How many requests all VMs together may send again.

Designed for this load: targets refuse or fail many requests at the same
time, and retries would double the requests that they get.
"""

from __future__ import annotations

import collections

# Share of the common limit that the VMs use together. The rest is a margin,
# because the requests that allow a retry may be counted in another window.
_USED_LIMIT_SHARE = 0.75


class RetryBudget:
    """One service's retry budget at this VM, over a sliding window."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        slack_from: float = float('-inf'),
    ) -> None:
        """Allow ``ratio`` retries per request, plus ``slack``.

        ``slack`` is a number of retries that all VMs share in a window, and
        ``window`` is in seconds. Before the time ``slack_from`` the slack
        counts as spent, as by VMs that have forgotten that they did.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._slack_from = slack_from
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._discard_expired(now)

    def request_rate(self, now: float) -> float:
        """Return the callers' requests per second."""
        self._discard_expired(now)
        return len(self._requests) / self._window

    def _discard_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()

    def spend(self, now: float, members: int, max_share: float = 1.0) -> bool:
        """Spend one retry; return whether the limit allows it.

        ``members`` is the number of VMs that share the slack. At most
        ``max_share`` of the limit is used.
        """
        self._discard_expired(now)
        allowed_retries = self._ratio * len(self._requests)
        if now >= self._slack_from:
            allowed_retries += self._slack / max(1, members)
        limit = allowed_retries * _USED_LIMIT_SHARE * max_share
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now)
        return True


__all__ = ['RetryBudget']
