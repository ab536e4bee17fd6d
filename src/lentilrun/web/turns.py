"""Turns of the event loop for tasks that always have bytes to handle.

Awaiting what is done already doesn't give way to other tasks, so that a task
whose peer sends fast enough would keep the loop to itself.
"""

from __future__ import annotations

import asyncio


class TurnQueue:
    """Lets such tasks go on one after the other.

    However many they are, only one of them goes on in each iteration of the
    loop, so that other tasks wait for one turn at most.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def wait(self) -> None:
        """Return in a later iteration of the loop, in order of arrival."""
        async with self._lock:
            await asyncio.sleep(0)


__all__ = ['TurnQueue']
