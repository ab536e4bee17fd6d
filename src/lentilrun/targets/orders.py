"""Orders to targets, with fencing tokens."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from ..web.client import Request
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..web.client import Client

_CONFLICT = 409
_OK_STATUSES = (200, 202, 204)


class OrderOutcome(enum.StrEnum):
    """The outcome of an order.

    ``FENCED`` if the target knows a newer fencing token. A ``FAILED``
    order may have reached the target.
    """

    DONE = 'done'
    FENCED = 'fenced'
    FAILED = 'failed'


async def order_weights_load(
    client: Client, address: Address, version: str, fence: int, timeout: float
) -> OrderOutcome:
    """Order a target to load a weights version.

    ``fence`` is the fencing token; ``timeout`` is in seconds.
    """
    body = msgspec.json.encode({'version': version, 'fence': fence})
    request = Request('POST', '/orders/load', {}, body, timeout)
    try:
        response = await client.fetch(address, request, reuse=False)
    except (NotSentError, InterruptedExchangeError):
        return OrderOutcome.FAILED
    if response.status == _CONFLICT:
        return OrderOutcome.FENCED
    return (
        OrderOutcome.DONE
        if response.status in _OK_STATUSES
        else OrderOutcome.FAILED
    )


__all__ = ['order_weights_load', 'OrderOutcome']
