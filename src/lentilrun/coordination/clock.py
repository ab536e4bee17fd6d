"""Monotonic clocks: the system's, and one that tests advance."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock that counts seconds from an arbitrary start."""

    def now(self) -> float:
        """Return the time in seconds."""


class SystemClock:
    """The time since boot, including the time a VM was suspended."""

    def now(self) -> float:
        """Return the time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that only moves when ``advance`` is called."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now += seconds


__all__ = ['Clock', 'ManualClock', 'SystemClock']
