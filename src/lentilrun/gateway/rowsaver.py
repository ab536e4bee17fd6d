"""Saves state that must outlast all processes in rows of the fleet's table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..errors import PlatformError
from ..platform.rows import Write
from .discovery import FLEET_TABLE
from .events import wait_for_event
from .recent import Origin

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..platform.rows import RowStore
    from .logs import Log
    from .peers import Peers

# A VM writes at once, and then at most this often; so it repeats a write too.
_WRITE_INTERVAL_S = 1.0
# After this time a VM writes what another one should have written.
_TAKEOVER_DELAY_S = 1.0
_MAX_ROWS_PER_CALL = 50
# The oldest request is dropped beyond this number.
_MAX_PENDING_ROWS = 500
_IDLE_S = 60.0


class RowSaver:
    """Writes rows whose state has changed; removes those without a value.

    The VM at which a state changes writes its row at once, many rows in one
    call. The first lease candidate writes the row again, in case the other VM
    has lost the store or ends before it could write. There are no calls
    without a change. A row is written until the store confirms it.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        peers: Peers,
        make_value: Callable[[str], bytes | None],
        log: Log,
    ) -> None:
        """Write what ``make_value`` returns for a key, if anything."""
        self._store = store
        self._clock = clock
        self._peers = peers
        self._make_value = make_value
        self._log = log
        # When to write a row at the earliest, by key.
        self._own: dict[str, float] = {}
        self._others: dict[str, float] = {}
        self._requested = asyncio.Event()
        self._may_write_at = float('-inf')

    def request(self, key: str, origin: Origin) -> None:
        """Request a write of a row whose state a VM has changed."""
        now = self._clock.now()
        if origin is Origin.OWN:
            pending, due_at = self._own, now
        else:
            pending, due_at = self._others, now + _TAKEOVER_DELAY_S
        pending.setdefault(key, due_at)
        if len(pending) > _MAX_PENDING_ROWS:
            del pending[next(iter(pending))]
        self._requested.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await wait_for_event(self._requested, self._time_until_due())
            self._requested.clear()
            if self._time_until_due() > 0.0:
                continue
            try:
                await self._write_due()
            except PlatformError as error:
                self._log.write('rows_unsaved', error=error)

    def _time_until_due(self) -> float:
        now = self._clock.now()
        due_at = min(
            (*self._own.values(), *self._others.values()),
            default=now + _IDLE_S,
        )
        return max(due_at, self._may_write_at) - now

    async def _write_due(self) -> None:
        """Write the rows that are due; raises ``PlatformError``."""
        keys = self._take_due()
        if not keys:
            return
        writes = [
            Write(FLEET_TABLE, k, self._make_value(k), None) for k in keys
        ]
        self._may_write_at = self._clock.now() + _WRITE_INTERVAL_S
        try:
            await self._store.write(writes)
        except PlatformError:
            for key in keys:
                self._own.setdefault(key, self._clock.now())
            raise
        removed = sum(w.value is None for w in writes)
        self._log.write(
            'rows_saved', rows=keys, removed=removed, pending=len(self._own)
        )

    def _take_due(self) -> list[str]:
        """Remove and return the keys of rows that this VM is to write now."""
        now = self._clock.now()
        if not self._peers.is_first_candidate():
            self._leave_to_candidate(now)
        due = [
            k
            for pending in (self._own, self._others)
            for k, at in pending.items()
            if at <= now
        ]
        keys = list(dict.fromkeys(due))[:_MAX_ROWS_PER_CALL]
        for key in keys:
            self._own.pop(key, None)
            self._others.pop(key, None)
        return keys

    def _leave_to_candidate(self, now: float) -> None:
        """Drop due rows of other VMs, which the first candidate has too."""
        for key in [k for k, at in self._others.items() if at <= now]:
            del self._others[key]


__all__ = ['RowSaver']
