"""Tasks that start again after an unexpected error."""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .logs import Log

_RESTART_PAUSE_S = 1.0


class Runnable(Protocol):
    """A component with a task of its own."""

    async def run(self) -> None:
        """Run until cancelled; may be called again after an error."""


async def supervise(component: Runnable, log: Log) -> None:
    """Run a component until cancelled; log its errors and restart it."""
    while True:
        try:
            await component.run()
        except Exception as error:
            log.write(
                'job_failed', job=type(component).__name__, error=repr(error)
            )
        await asyncio.sleep(_RESTART_PAUSE_S)


__all__ = ['Runnable', 'supervise']
