"""Orders to targets, with fencing numbers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from ..web.client import InterruptedExchangeError
from ..web.client import NotSentError
from ..web.client import Request

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..web.client import Client

_CONFLICT = 409
_OK = (200, 202, 204)


class OrderOutcome(enum.StrEnum):
    """What came of an order."""

    DONE = 'done'
    FENCED = 'fenced'
    FAILED = 'failed'


async def order_weights_load(
    client: Client, address: Address, version: str, fence: int, timeout: float
) -> OrderOutcome:
    """Order a target to load a version; ``timeout`` in seconds."""
    body = msgspec.json.encode({'version': version, 'fence': fence})
    request = Request('POST', '/orders/load', {}, body, timeout)
    try:
        response = await client.fetch(address, request, reuse=False)
    except (NotSentError, InterruptedExchangeError):
        return OrderOutcome.FAILED
    if response.status == _CONFLICT:
        return OrderOutcome.FENCED
    return OrderOutcome.DONE if response.status in _OK else OrderOutcome.FAILED


__all__ = ['order_weights_load', 'OrderOutcome']
