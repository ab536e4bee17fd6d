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


class Answer(enum.StrEnum):
    """What came of an order."""

    DONE = 'done'
    FENCED = 'fenced'
    FAILED = 'failed'


async def load_version(
    client: Client, address: Address, version: str, fence: int, timeout: float
) -> Answer:
    """Order a target to load a version; ``timeout`` in seconds."""
    body = msgspec.json.encode({'version': version, 'fence': fence})
    request = Request('POST', '/orders/load', {}, body, timeout)
    try:
        response = await client.fetch(address, request, reuse=False)
    except (NotSentError, InterruptedExchangeError):
        return Answer.FAILED
    if response.status == _CONFLICT:
        return Answer.FENCED
    return Answer.DONE if response.status in _OK else Answer.FAILED


__all__ = ['Answer', 'load_version']
