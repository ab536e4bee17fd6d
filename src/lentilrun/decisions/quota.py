"""A workspace's quota over all VMs, without a call for each request.

The load that this answers: a workspace that sends many times its rate
through VMs that each see only a part of it, some of them cut off. Every
VM counts what all VMs let in during the last window, assumes that the
others have let in as much since their last message as it did itself, and
reserves a share for those that say nothing.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

# Use is counted in pieces of this length, in seconds.
_PIECE_S = 0.25
# How much of what the users allow beyond the limit is made use of.
_SLACK_SHARE = 0.6
# What may have been let in before a restart that all VMs went through, as
# a share of the rate and burst in a window.
_UNKNOWN_SHARE = 0.5


class Allowance(NamedTuple):
    """What the users allow beyond rate and burst; ``window`` in s.

    ``overage`` is a share of rate and burst, ``slack`` is in tokens.
    """

    window: float
    overage: float
    slack: float


class UsageWindow:
    """What all VMs let in for one workspace lately; sizes in tokens."""

    def __init__(
        self, rate: float, burst: float, allowance: Allowance, now: float
    ) -> None:
        self._allowance = allowance
        self._pieces: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.used = 0.0
        self.untold = 0.0
        self.rate = rate
        self.burst = burst
        self.add(_UNKNOWN_SHARE * self._owed(), now)

    def change(self, rate: float, burst: float) -> None:
        """Take another rate, in tokens a second, and burst."""
        self.rate = rate
        self.burst = burst

    def _owed(self) -> float:
        return self.rate * self._allowance.window + self.burst

    def limit(self) -> float:
        """Return what may be let in during any window."""
        owed = self._owed()
        extra = owed * self._allowance.overage + self._allowance.slack
        return owed + extra * _SLACK_SHARE

    def add(self, tokens: float, now: float) -> None:
        """Count tokens that were let in, or taken back."""
        self.used += tokens
        if self._pieces and now - self._pieces[-1][0] < _PIECE_S:
            began, before = self._pieces[-1]
            self._pieces[-1] = (began, before + tokens)
        else:
            self._pieces.append((now, tokens))

    def drop_old(self, now: float) -> None:
        """Forget what lies before the window."""
        oldest = now - self._allowance.window - _PIECE_S
        while self._pieces and self._pieces[0][0] < oldest:
            self.used -= self._pieces.popleft()[1]

    def replace(self, tokens: float, now: float) -> None:
        """Take what another VM counted as the whole use until now."""
        self._pieces.clear()
        self.used = 0.0
        self.add(tokens, now)

    def find_delay(
        self, tokens: float, members: int, silent: int, now: float
    ) -> float:
        """Return after how long a request fits, in seconds; 0 if now.

        ``silent`` of the ``members`` VMs have said nothing lately.
        """
        self.drop_old(now)
        limit = self.limit() * (1.0 - silent / max(1, members))
        talking = max(1, members - silent)
        assumed = self.untold * (talking - 1)
        excess = self.used + assumed + tokens - limit
        if excess <= 0.0:
            return 0.0
        for began, piece in self._pieces:
            excess -= piece
            if excess <= 0.0:
                window = self._allowance.window + _PIECE_S
                return max(_PIECE_S, began + window - now)
        return self._allowance.window


__all__ = ['Allowance', 'UsageWindow']
