"""A workspace's quota over all VMs, without a call for each request.

The load that this answers: a workspace that sends many times its rate
through VMs that each see only a part of it, some of them cut off. Every
VM counts what all VMs let in during the last window, assumes that the
others have let in as much since their last message as it did itself, and
reserves a share for those that say nothing.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Use is counted in slots of this length, in seconds.
_SLOT_S = 0.25
# How much of what the users allow beyond the limit is made use of.
_SLACK_SHARE = 0.6
# What may have been let in before a restart that all VMs went through, as
# a share of the rate and burst in a window. Use beyond it is written down.
_UNKNOWN_SHARE = 0.5


# What other VMs let in is known after about this time, in seconds.
_LAG_S = 0.35
# The use of this time before tells what they let in meanwhile, in slots.
_RECENT_SLOTS = 4


class QuotaTolerance(NamedTuple):
    """What the users allow beyond rate and burst; ``window`` in s.

    ``overage`` is a share of rate and burst, ``slack`` is in tokens.
    """

    window: float
    overage: float
    slack: float


class UsageWindow:
    """What all VMs let in for one workspace lately; sizes in tokens.

    ``unreported_tokens`` is what this VM let in since its last message.
    """

    def __init__(self, allowance: QuotaTolerance) -> None:
        self._allowance = allowance
        self._slots: dict[int, float] = {}
        self.used_tokens = 0.0
        self.unreported_tokens = 0.0
        self.rate = 0.0
        self.burst = 0.0

    def set_limits(self, rate: float, burst: float) -> None:
        """Take another rate, in tokens a second, and burst."""
        self.rate = rate
        self.burst = burst

    def entitlement(self) -> float:
        """Return what rate and burst give in a window."""
        return self.rate * self._allowance.window + self.burst

    def limit(self) -> float:
        """Return what may be let in during any window."""
        owed = self.entitlement()
        extra = owed * self._allowance.overage + self._allowance.slack
        return owed + extra * _SLACK_SHARE

    def add(self, tokens: float, now: float) -> None:
        """Count tokens that were let in, or taken back."""
        slot = int(now / _SLOT_S)
        self._slots[slot] = self._slots.get(slot, 0.0) + tokens
        self.used_tokens += tokens

    def discard_expired(self, now: float) -> None:
        """Forget what lies before the window."""
        oldest = int((now - self._allowance.window) / _SLOT_S) - 1
        for slot in [s for s in self._slots if s < oldest]:
            self.used_tokens -= self._slots.pop(slot)

    def export(self, now: float) -> list[int]:
        """Return the use of each second before ``now``, newest first."""
        self.discard_expired(now)
        seconds = [0.0] * (math.ceil(self._allowance.window) + 1)
        for slot, tokens in self._slots.items():
            age = now - slot * _SLOT_S
            index = min(len(seconds) - 1, max(0, int(age)))
            seconds[index] += tokens
        while seconds and not round(seconds[-1]):
            seconds.pop()
        return [round(s) for s in seconds]

    def adopt(self, seconds: Sequence[float], until: float) -> None:
        """Take another VM's counts up to a time, if they are higher."""
        if sum(seconds) <= self.used_tokens:
            return
        self._slots.clear()
        self.used_tokens = 0.0
        for index, tokens in enumerate(seconds):
            self.add(tokens, until - index)

    def assume_prior_use(self, now: float) -> None:
        """Count what may have been let in before all VMs restarted."""
        length = math.ceil(self._allowance.window)
        share = _UNKNOWN_SHARE * self.entitlement() / length
        self.adopt([share] * length, now)

    def needs_checkpoint(self) -> bool:
        """Return whether the use must outlive a restart of all VMs."""
        return self.used_tokens > _UNKNOWN_SHARE * self.entitlement() > 0.0

    def _expect_untold(self, now: float) -> float:
        """Return what all VMs let in before it is known, by their rate."""
        newest = int(now / _SLOT_S)
        recent = sum(
            self._slots.get(newest - i, 0.0) for i in range(_RECENT_SLOTS)
        )
        return recent / (_RECENT_SLOTS * _SLOT_S) * _LAG_S

    def compute_delay(
        self,
        tokens: float,
        members: int,
        silent: int,
        now: float,
        chance: float = 0.0,
    ) -> float:
        """Return after how long a request fits, in seconds; 0 if now.

        ``silent`` of the ``members`` VMs have said nothing lately. Near
        the limit all others may see the same room at the same time:
        ``chance``, from 0 to 1, decides who takes it.
        """
        self.discard_expired(now)
        limit = self.limit() * (1.0 - silent / max(1, members))
        others = max(1, members - silent) - 1
        expected = self._expect_untold(now)
        assumed = min(self.unreported_tokens * others, expected)
        room = limit - self.used_tokens - assumed
        if tokens > room:
            return self._find_room(tokens - room, now)
        wanted = tokens + min(others * tokens, expected)
        return 0.0 if chance * wanted <= room else _LAG_S

    def _find_room(self, excess: float, now: float) -> float:
        """Return after how long so much use is out of the window."""
        for slot in sorted(self._slots):
            excess -= self._slots[slot]
            if excess <= 0.0:
                ends = (slot + 2) * _SLOT_S + self._allowance.window
                return max(_SLOT_S, ends - now)
        return self._allowance.window


__all__ = ['QuotaTolerance', 'UsageWindow']
