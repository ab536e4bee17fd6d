"""Whether a target crashed under a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..targets import loads
from ..web.client import InterruptedExchangeError
from ..web.client import NotSentError

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..web.client import Client


_PROBES = 2


_PROBE_TIMEOUT = 0.5


_PROBE_PAUSE = 0.05


async def has_crashed(
    client: Client, address: Address, incarnation: str
) -> bool:
    """Return whether a target is gone, or came back empty."""
    for _ in range(_PROBES):
        try:
            load = await loads.read_load(client, address, _PROBE_TIMEOUT)
        except NotSentError:
            return True
        except InterruptedExchangeError:
            await asyncio.sleep(_PROBE_PAUSE)
            continue
        if load is None or not incarnation:
            return False
        return load.incarnation != incarnation
    return False


__all__ = ['has_crashed']
