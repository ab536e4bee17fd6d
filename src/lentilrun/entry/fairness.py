"""Tokens served: in total by workspace, and the recent rate.

The tokens of a call are estimated and count when it gets a target.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..coordination.clock import Clock


_RATE_TIME_CONSTANT_S = 5.0


class Throughput:
    """An exponentially decaying mean of the tokens served per second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._updated_at = clock.now()
        self._rate = 0.0

    def record(self, tokens: float) -> None:
        """Count tokens that are served now."""
        self._decay()
        self._rate += tokens / _RATE_TIME_CONSTANT_S

    def _decay(self) -> None:
        now = self._clock.now()
        factor = math.exp((self._updated_at - now) / _RATE_TIME_CONSTANT_S)
        self._rate *= factor
        self._updated_at = now

    def get(self) -> float:
        """Return the rate in tokens per second."""
        self._decay()
        return self._rate


class FairClock:
    """The virtual times of workspaces: tokens served, divided by weight."""

    def __init__(self) -> None:
        self._virtual_times: dict[str, float] = {}
        self._floor = 0.0

    def get(self, workspace: str) -> float:
        """Return a workspace's virtual time."""
        return max(self._virtual_times.get(workspace, 0.0), self._floor)

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Advance a workspace's virtual time by tokens that it is served."""
        self._virtual_times[workspace] = self.get(workspace) + tokens / weight

    def raise_floor(self, value: float) -> None:
        """Raise all virtual times to at least ``value``.

        So a workspace gets no priority for time in which it was idle.
        """
        self._floor = max(self._floor, value)
        behind = [
            w for w, v in self._virtual_times.items() if v <= self._floor
        ]
        for workspace in behind:
            del self._virtual_times[workspace]


__all__ = ['FairClock', 'Throughput']
