"""Limits on the memory that collected responses use."""

from __future__ import annotations

from typing import NamedTuple


class MemoryLimits(NamedTuple):
    """The most that is collected, in bytes.

    ``response`` is the limit of one response, ``total`` that of all
    responses in flight.
    """

    response: int
    total: int


_MIB = 1024 * 1024
DEFAULT_MEMORY_LIMITS = MemoryLimits(8 * _MIB, 32 * _MIB)


class MemoryBudget:
    """Counts the bytes of the responses that are being collected."""

    def __init__(self, limits: MemoryLimits) -> None:
        self._limits = limits
        self._used = 0

    def take(self, collected: int, added: int) -> bool:
        """Count ``added`` bytes of a response; return whether they fit.

        ``collected`` bytes of the response were counted before. Bytes that
        do not fit are not counted.
        """
        if collected + added > self._limits.response:
            return False
        if self._used + added > self._limits.total:
            return False
        self._used += added
        return True

    def release(self, collected: int) -> None:
        """Stop counting the bytes of a response."""
        self._used -= collected


__all__ = ['DEFAULT_MEMORY_LIMITS', 'MemoryBudget', 'MemoryLimits']
