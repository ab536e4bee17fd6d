"""How much each workspace was served, and how fast."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..coordination.clock import Clock


_RATE_MEMORY = 5.0


class Throughput:
    """The tokens a second that were given out lately."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began = clock.now()
        self._rate = 0.0

    def record(self, tokens: float) -> None:
        """Count tokens that are given out now."""
        self._decay()
        self._rate += tokens / _RATE_MEMORY

    def _decay(self) -> None:
        now = self._clock.now()
        kept = math.exp((self._began - now) / _RATE_MEMORY)
        self._rate *= kept
        self._began = now

    def get(self) -> float:
        """Return the rate in tokens a second."""
        self._decay()
        return self._rate


class FairClock:
    """Tokens served by workspace and weight, as virtual time."""

    def __init__(self) -> None:
        self._served: dict[str, float] = {}
        self._floor = 0.0

    def get(self, workspace: str) -> float:
        """Return a workspace's virtual time."""
        return max(self._served.get(workspace, 0.0), self._floor)

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Advance a workspace by what it is served."""
        self._served[workspace] = self.get(workspace) + tokens / weight

    def raise_floor(self, value: float) -> None:
        """Let nobody save up idle time below ``value``."""
        self._floor = max(self._floor, value)
        behind = [w for w, v in self._served.items() if v <= self._floor]
        for workspace in behind:
            del self._served[workspace]


__all__ = ['FairClock', 'Throughput']
