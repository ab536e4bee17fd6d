"""A timer that may be set again, and never fires after its owner's end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Timer:
    """Calls a function once; at most one call is pending."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        self._handle: asyncio.TimerHandle | None = None

    def start(self, delay: float) -> None:
        """Call after ``delay`` seconds, in place of a pending call."""
        self.cancel()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(max(0.0, delay), self._call)

    def cancel(self) -> None:
        """Call off the pending call, if any."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None


__all__ = ['Timer']
