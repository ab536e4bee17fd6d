"""Ends connections and bodies that make no progress, on all ports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..web.memory import ProcessMemory
    from .limitedlog import LimitedLog
    from .listener import GuardedServer
    from .server import CallerPort

_INTERVAL_S = 0.25
# A check that is late by more shows that one task kept the event loop.
_MAX_LATENESS_S = 0.25
# Longer than operators let connections idle, so that no client inside their
# limits reaches it.
_BODY_TIMEOUT_S = 40.0


class Guard:
    """Checks the connections of all servers at intervals."""

    def __init__(
        self,
        memory: ProcessMemory,
        clock: Clock,
        ports: tuple[CallerPort, ...],
        servers: tuple[GuardedServer, ...],
        log: LimitedLog,
        idle_timeout: float,
    ) -> None:
        """Close connections without a request after ``idle_timeout`` s."""
        self._memory = memory
        self._clock = clock
        self._ports = ports
        self._servers = servers
        self._log = log
        self._idle_timeout = idle_timeout
        self._logged_heads = 0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            due_at = self._clock.now() + _INTERVAL_S
            await asyncio.sleep(_INTERVAL_S)
            self._record_lateness(self._clock.now() - due_at)
            self.check()

    def _record_lateness(self, lateness: float) -> None:
        """Log that nothing else ran for some time, in seconds."""
        if lateness > _MAX_LATENESS_S:
            self._log.write('loop_stalled', seconds=round(lateness, 3))

    def check(self) -> None:
        """End what has stalled, and let servers accept again."""
        now = self._clock.now()
        for hold in self._memory.list_silent(now - _BODY_TIMEOUT_S):
            hold.time_out()
        for port in self._ports:
            port.close_refused(now)
            port.close_idle(now - self._idle_timeout)
        for server in self._servers:
            server.count_buffers()
            server.resume()
        closed = self._memory.closed_heads - self._logged_heads
        if closed:
            self._logged_heads += closed
            self._log.write('long_heads_closed', connections=closed)


__all__ = ['Guard']
