"""Log lines that a client could cause without end, limited by cause."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from .logs import Log

_INTERVAL_S = 1.0


class LimitedLog:
    """Writes at most one line a second for each event.

    The next line has the number of those that were left out before.
    """

    def __init__(self, log: Log, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._written_at: dict[str, float] = {}
        self._omitted: dict[str, int] = {}

    def write(self, event: str, **fields: Any) -> None:
        """Write a line about an event, unless there was one just now."""
        now = self._clock.now()
        written_at = self._written_at.get(event)
        if written_at is not None and now - written_at < _INTERVAL_S:
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        self._written_at[event] = now
        omitted = self._omitted.pop(event, 0)
        self._log.write(event, **fields, since_last=omitted)


__all__ = ['LimitedLog']
