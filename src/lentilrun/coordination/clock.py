"""One source of time, so that tests need not sleep."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Gives the time since some start, in seconds, never stepping back."""

    def now(self) -> float:
        """Return the time in seconds."""


class SystemClock:
    """The time since boot: it goes on while a VM is suspended."""

    def now(self) -> float:
        """Return the time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock on."""
        self._now += seconds


__all__ = ['Clock', 'ManualClock', 'SystemClock']
