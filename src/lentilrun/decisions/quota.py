"""A workspace's rate over all VMs, without a call for each request.

The load that this answers: a workspace that sends many times its rate
through VMs that each see only a part of it, some of them cut off.
Every VM keeps the whole bucket, charges it with what it lets in and with
what the others say they let in, and reserves a share for those that say
nothing.
"""

from __future__ import annotations

import math


class Bucket:
    """One workspace's bucket; ``rate`` in tokens a second."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = 0.0
        self._refilled = now

    def change(self, rate: float, burst: float) -> None:
        """Take another rate and burst."""
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def refill(self, now: float) -> None:
        """Add what came since the last time."""
        gained = (now - self._refilled) * self.rate
        self.level = min(self.burst, self.level + gained)
        self._refilled = now

    def charge(self, tokens: float) -> None:
        """Take tokens out, also beyond what there is."""
        self.level = min(self.burst, self.level - tokens)

    def find_delay(self, floor: float) -> float:
        """Return the time until the level is above ``floor``, in seconds."""
        if self.level > floor:
            return 0.0
        if not self.rate:
            return math.inf
        return (floor - self.level) / self.rate + 1e-3


def share_of_silent(rate: float, members: int, silent: int) -> float:
    """Return the rate to reserve for VMs that may be cut off.

    A VM that hears from nobody keeps one share for itself.
    """
    return rate * silent / max(1, members)


__all__ = ['Bucket', 'share_of_silent']
