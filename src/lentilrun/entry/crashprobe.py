"""Probing of a target that may have crashed during a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..targets import loads
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..web.client import Client


_MAX_PROBES = 2
_PROBE_TIMEOUT_S = 0.5
_PROBE_PAUSE_S = 0.05


async def has_crashed(
    client: Client, address: Address, incarnation: str
) -> bool:
    """Return whether a target is unreachable or was restarted.

    A restarted target reports another incarnation than ``incarnation``.
    A target that accepts connections but does not answer, or gives no
    valid report, is not taken as crashed.
    """
    for _ in range(_MAX_PROBES):
        try:
            load = await loads.read_load(client, address, _PROBE_TIMEOUT_S)
        except NotSentError:
            return True
        except InterruptedExchangeError:
            await asyncio.sleep(_PROBE_PAUSE_S)
            continue
        if load is None or not incarnation:
            return False
        return load.incarnation != incarnation
    return False


__all__ = ['has_crashed']
