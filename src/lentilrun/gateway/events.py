"""Waiting for an event, but not for longer than a time."""

from __future__ import annotations

import asyncio


async def wait_for_event(event: asyncio.Event, timeout: float) -> bool:
    """Wait for an event; return whether it is set within ``timeout`` s."""
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return False
    return True


__all__ = ['wait_for_event']
