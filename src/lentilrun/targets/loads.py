"""Load reports of targets; they lag behind the actual load."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

from ..web.client import Request

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..web.client import Client

_LOAD_TIMEOUT_S = 1.0
_OK = 200


class ReportedLoad(NamedTuple):
    """A load report; ``running`` and ``waiting`` count requests."""

    incarnation: str
    weights_version: str
    running: int
    waiting: int
    leaving: bool
    loading_weights: bool


class _Body(TypedDict, total=False):
    incarnation: str
    version: str
    running: int
    waiting: int
    leaving: bool
    loading: bool


_decoder = msgspec.json.Decoder(_Body)


async def read_load(
    client: Client, address: Address, timeout: float = _LOAD_TIMEOUT_S
) -> ReportedLoad | None:
    """Return a target's load report, or nothing if it gives no valid one.

    ``timeout`` is in seconds. Errors are those of ``web.client``.
    """
    request = Request('GET', '/load', {}, b'', timeout)
    response = await client.fetch(address, request)
    if response.status != _OK:
        return None
    try:
        body = _decoder.decode(response.body)
    except msgspec.MsgspecError:
        return None
    return ReportedLoad(
        body.get('incarnation', ''),
        body.get('version', ''),
        body.get('running', 0),
        body.get('waiting', 0),
        body.get('leaving', False),
        body.get('loading', False),
    )


__all__ = ['read_load', 'ReportedLoad']
