"""Ends the requests of a VM that leaves."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from .dispatch import Dispatcher
    from .listener import GuardedServer
    from .server import CallerPort

# A leaving VM reports that it is not ready for this time before it closes
# its port, so that new callers go elsewhere; at most for this share of the
# time that it has.
NOTICE_S = 2.5
_MAX_NOTICE_SHARE = 0.5
# Requests that have begun to arrive are refused this long after the port was
# closed, if they are not complete.
_RECEIVE_TIMEOUT_S = 1.0
# Before the end of ``shutdown_grace``: calls are not sent to targets any more,
# calls without a response are refused, and the last responses are delivered.
_LAST_SEND_S = 2.0
_LAST_RESPONSE_S = 1.0
_LAST_DELIVERY_S = 0.7
_POLL_S = 0.1


class ServedPort(NamedTuple):
    """A port that takes calls, with its server."""

    port: CallerPort
    server: GuardedServer

    def close(self) -> None:
        """Take no more connections, and no more requests."""
        self.server.stop()
        self.port.close()


class Shutdown:
    """Answers all requests that arrive before the ports are closed.

    Times are by the clock, in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        dispatcher: Dispatcher,
        callers: ServedPort,
        forwarding: ServedPort,
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._callers = callers
        self._forwarding = forwarding
        self._ports = (callers.port, forwarding.port)

    async def run(self, ends_at: float) -> None:
        """Answer requests until there are none, or nearly until a time.

        Other VMs send their calls elsewhere at once.
        """
        for port in self._ports:
            port.is_leaving = True
        self._forwarding.close()
        time_left = ends_at - self._clock.now()
        await asyncio.sleep(min(NOTICE_S, _MAX_NOTICE_SHARE * time_left))
        self._callers.close()
        # The tasks of the connections that were accepted last begin, as the
        # port knows only of those.
        await asyncio.sleep(0)
        await self._finish(self._clock.now() + _RECEIVE_TIMEOUT_S)
        for port in self._ports:
            port.end_unread()
        await self._finish(ends_at - _LAST_SEND_S)
        self._dispatcher.stop()
        await self._finish(ends_at - _LAST_RESPONSE_S)
        for port in self._ports:
            port.log_open()
            port.end_calls()
        await self._finish(ends_at - _LAST_DELIVERY_S)

    async def _finish(self, until: float) -> None:
        """Wait for the end of all requests, at most until a time."""
        while True:
            for port in self._ports:
                port.close_quiet()
            if not any(p.has_open() for p in self._ports):
                return
            # Before any end: what arrived during a stall is handled.
            await asyncio.sleep(_POLL_S)
            if self._clock.now() >= until:
                return


__all__ = ['NOTICE_S', 'ServedPort', 'Shutdown']
