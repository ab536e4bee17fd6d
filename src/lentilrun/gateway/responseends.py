"""Whether the end of a connection was the end of a response.

A response without a length or chunks ends with its connection. The end of a
process that was killed looks the same to its peer, and may come between two
events. A target that still runs, in the same start, has ended the response
itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import PlatformError
from ..platform import engines

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..web.client import Client
    from .call import Call
    from .logs import Log
    from .targetstate import TargetState


# A busy target sends its report late.
_REPORT_TIMEOUT_S = 1.0


class ResponseEnds:
    """Asks targets whether they still run after a response has ended."""

    def __init__(self, clock: Clock, client: Client, log: Log) -> None:
        self._clock = clock
        self._client = client
        self._log = log

    async def confirm_body(self, state: TargetState) -> bool:
        """Return whether a body is not known to be cut off.

        A target that is gone refuses connections; any other connection is
        kept for the next request.
        """
        return not await self._client.is_refused(state.target.address)

    async def confirm_stream(self, call: Call, state: TargetState) -> bool:
        """Return whether a target runs that ended a call's stream."""
        asked_at = self._clock.now()
        if self._may_read_report(state):
            is_running = await self._read_report(state)
        else:
            is_running = await self._client.open_idle(state.target.address)
        self._log.write(
            'stream_end',
            id=call.request_id,
            target=state.target.incarnation,
            running=is_running,
            seconds=round(self._clock.now() - asked_at, 3),
        )
        return is_running

    def _may_read_report(self, state: TargetState) -> bool:
        """Return whether a target has a report and takes a request now."""
        if not state.target.weights_versions:
            return False
        return state.statements.may_ask(self._clock.now())

    async def _read_report(self, state: TargetState) -> bool:
        """Return whether the same start of the target sends its report."""
        state.rate_limit.record_sent()
        try:
            report = await engines.read_report(
                self._client, state.target, _REPORT_TIMEOUT_S
            )
        except PlatformError as error:
            name = state.target.incarnation
            self._log.write('report_unread', target=name, error=error)
            return False
        if not report.started_at_ms or not state.target.started_at_ms:
            return True
        return report.started_at_ms == state.target.started_at_ms


__all__ = ['ResponseEnds']
