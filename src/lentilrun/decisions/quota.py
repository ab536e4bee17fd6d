"""A workspace's quota over all VMs, without a remote call per request.

Designed for this load: a workspace sends many times its rate through VMs
that each see only some of its requests, and some of the VMs have lost
contact with the others. Every VM counts the tokens that all VMs admitted
during the last window, assumes that each of the others has admitted as
much since its last message as the VM itself, and reserves a share of the
limit for unresponsive VMs.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Use is counted in time slots of this length.
_SLOT_S = 0.25
# Two VMs count the same tokens at times that differ by up to this, as counts
# are stated by the second.
_ADOPTED_TIME_TOLERANCE_S = 1.0
# Share of the tolerance (overage and slack) that is kept for what VMs admit
# while they do not know of each other's use, for each second of that time.
_KEPT_TOLERANCE_SHARE_PER_S = 1.14
# Tokens that all VMs are assumed to have admitted before all of them
# restarted, as a share of what rate and burst allow in a window. Use beyond
# it is written to a checkpoint.
_ASSUMED_PRIOR_USE_SHARE = 0.5


# The use of this many slots gives the rate at which VMs admit tokens that
# they have not reported yet.
_RECENT_SLOTS = 4


class QuotaTolerance(NamedTuple):
    """How far use may exceed rate and burst; ``window`` in s.

    ``overage`` is a share of what rate and burst allow in a window,
    ``slack`` is in tokens.
    """

    window: float
    overage: float
    slack: float


class UsageWindow:
    """The use of one workspace over all VMs during a window, in tokens.

    ``unreported_tokens`` were admitted by this VM since its last message.
    """

    def __init__(self, tolerance: QuotaTolerance) -> None:
        self._tolerance = tolerance
        self._slots: dict[int, float] = {}
        self.used_tokens = 0.0
        self.unreported_tokens = 0.0
        self.rate = 0.0
        self.burst = 0.0

    def set_limits(self, rate: float, burst: float) -> None:
        """Set the rate, in tokens per second, and the burst, in tokens."""
        self.rate = rate
        self.burst = burst

    def entitlement(self) -> float:
        """Return the tokens that rate and burst allow in a window."""
        return self.rate * self._tolerance.window + self.burst

    def count_allowed(self) -> float:
        """Return the tokens that may run in a window at most."""
        overage = 1.0 + self._tolerance.overage
        return self.entitlement() * overage + self._tolerance.slack

    def limit(self, report_lag: float) -> float:
        """Return the tokens that a VM admits if it knows of all use.

        It takes ``report_lag`` seconds until it does.
        """
        entitlement = self.entitlement()
        excess = entitlement * self._tolerance.overage + self._tolerance.slack
        used_share = max(0.0, 1.0 - _KEPT_TOLERANCE_SHARE_PER_S * report_lag)
        return entitlement + excess * used_share

    def add(self, tokens: float, now: float) -> None:
        """Count admitted tokens; the number is negative for a refund."""
        slot = int(now / _SLOT_S)
        self._slots[slot] = self._slots.get(slot, 0.0) + tokens
        self.used_tokens += tokens

    def discard_expired(self, now: float) -> None:
        """Discard slots that ended at least one slot before the window."""
        oldest = int((now - self._tolerance.window) / _SLOT_S) - 1
        for slot in [s for s in self._slots if s < oldest]:
            self.used_tokens -= self._slots.pop(slot)

    def export(self, now: float) -> list[int]:
        """Return the tokens of each second before ``now``, newest first."""
        self.discard_expired(now)
        used_per_second = [0.0] * (math.ceil(self._tolerance.window) + 1)
        for slot, tokens in self._slots.items():
            age = now - slot * _SLOT_S
            index = min(len(used_per_second) - 1, max(0, int(age)))
            used_per_second[index] += tokens
        while used_per_second and not round(used_per_second[-1]):
            used_per_second.pop()
        return [round(t) for t in used_per_second]

    def adopt(self, used_per_second: Sequence[float], until: float) -> None:
        """Raise the counts to the given ones where these are higher.

        ``used_per_second`` holds the tokens of each second before
        ``until``, newest first. What is counted already remains, at its
        own time: VMs that adopt each other's counts in turn would otherwise
        round the times of the same tokens over and over.
        """
        limit = max(self.used_tokens, sum(used_per_second))
        stated = 0.0
        for index, tokens in enumerate(used_per_second):
            stated += tokens
            since = until - index - 1.0 - _ADOPTED_TIME_TOLERANCE_S
            missing = stated - self._count_since(since)
            if missing > 0.0:
                self.add(missing, until - index)
        self._discard_oldest(self.used_tokens - limit)

    def _count_since(self, since: float) -> float:
        """Return the tokens that count from a time on."""
        oldest = int(since / _SLOT_S)
        return sum(t for s, t in self._slots.items() if s >= oldest)

    def _discard_oldest(self, excess: float) -> None:
        """Discard ``excess`` tokens, which younger ones replace."""
        for slot in sorted(self._slots):
            if excess <= 0.0:
                return
            tokens = min(excess, max(0.0, self._slots[slot]))
            self._slots[slot] -= tokens
            self.used_tokens -= tokens
            excess -= tokens

    def assume_prior_use(self, now: float) -> None:
        """Count tokens that all VMs may have admitted before a restart."""
        seconds = math.ceil(self._tolerance.window)
        tokens = _ASSUMED_PRIOR_USE_SHARE * self.entitlement() / seconds
        self.adopt([tokens] * seconds, now)

    def needs_checkpoint(self) -> bool:
        """Return whether the use must be kept if all VMs restart."""
        return (
            self.used_tokens
            > _ASSUMED_PRIOR_USE_SHARE * self.entitlement()
            > 0.0
        )

    def _estimate_unreported(self, now: float, report_lag: float) -> float:
        """Return the tokens that all VMs admit until they report them.

        The estimate uses the recent rate of all VMs.
        """
        newest_slot = int(now / _SLOT_S)
        recent_tokens = sum(
            self._slots.get(newest_slot - i, 0.0) for i in range(_RECENT_SLOTS)
        )
        return recent_tokens / (_RECENT_SLOTS * _SLOT_S) * report_lag

    def _estimate_peak_unreported(self, report_lag: float) -> float:
        """Return the tokens that were unreported at the highest rate.

        A workspace that sends in bursts reaches this rate before any VM
        knows of the next burst.
        """
        peak_tokens = max(
            (
                sum(self._slots.get(s + i, 0.0) for i in range(_RECENT_SLOTS))
                for s in self._slots
            ),
            default=0.0,
        )
        return peak_tokens / (_RECENT_SLOTS * _SLOT_S) * report_lag

    def compute_delay(
        self,
        tokens: float,
        members: int,
        unresponsive: int,
        now: float,
        report_lag: float,
        random_factor: float = 0.0,
    ) -> float:
        """Return the delay until a request fits, in seconds; 0 if now.

        ``unresponsive`` of the ``members`` VMs have sent nothing lately. It
        takes ``report_lag`` seconds until a VM knows what others admitted.
        Near the limit, all others may admit requests into the same
        remaining tokens at the same time: ``random_factor``, a random
        number from 0 to 1, decides which of them do.
        """
        self.discard_expired(now)
        limit = self.limit(report_lag) * (1.0 - unresponsive / max(1, members))
        others = max(1, members - unresponsive) - 1
        max_unreported = self._estimate_unreported(now, report_lag)
        unreported = min(self.unreported_tokens * others, max_unreported)
        available = limit - self.used_tokens - unreported
        if tokens > available:
            return self._compute_expiry_delay(tokens - available, now)
        peak_unreported = self._estimate_peak_unreported(report_lag)
        demand = tokens + min(others * tokens, peak_unreported)
        return 0.0 if random_factor * demand <= available else report_lag

    def _compute_expiry_delay(self, excess: float, now: float) -> float:
        """Return the time until ``excess`` tokens leave the window, in s."""
        for slot in sorted(self._slots):
            excess -= self._slots[slot]
            if excess <= 0.0:
                expires_at = (slot + 2) * _SLOT_S + self._tolerance.window
                return max(_SLOT_S, expires_at - now)
        return self._tolerance.window


__all__ = ['QuotaTolerance', 'UsageWindow']
