"""Bounds of the store's clock, from the times that its responses state.

A response was made after its call was sent and before it arrived. The time
that it states is thus late by at most its way back, and early by at most the
call's way there. Of all responses the narrowest bounds count, so that a slow
response moves neither of them.
"""

from __future__ import annotations

from typing import NamedTuple


class TimedResponse(NamedTuple):
    """A response and when its call was sent, in seconds.

    ``store_time`` is by the store's clock, the others are by the VM's.
    """

    store_time: float
    sent_at: float
    received_at: float


class StoreClock:
    """What a VM knows of the store's clock, which runs at its own rate.

    Both bounds equal the VM's clock before the first response.
    """

    def __init__(self) -> None:
        # By how much the store's clock is ahead, at least and at most.
        self._least_lead = 0.0
        self._greatest_lead = 0.0
        self._has_bounds = False

    def record(self, response: TimedResponse) -> None:
        """Narrow the bounds by a response.

        Bounds that contradict it, as one of the clocks runs faster or was
        set anew, are moved as far as it requires.
        """
        least = response.store_time - response.received_at
        greatest = response.store_time - response.sent_at
        if not self._has_bounds:
            self._has_bounds = True
            self._least_lead, self._greatest_lead = least, greatest
            return
        self._least_lead = min(max(self._least_lead, least), greatest)
        self._greatest_lead = max(min(self._greatest_lead, greatest), least)

    def earliest(self, now: float) -> float:
        """Return the least that the store's clock shows at a time."""
        return now + self._least_lead

    def latest(self, now: float) -> float:
        """Return the most that the store's clock shows at a time."""
        return now + self._greatest_lead


__all__ = ['StoreClock', 'TimedResponse']
