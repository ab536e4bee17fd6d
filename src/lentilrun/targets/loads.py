"""Load reports of targets, which lag."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

from ..web.client import Request

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..web.client import Client

_TIMEOUT = 1.0
_OK = 200


class ReportedLoad(NamedTuple):
    """A report; ``running`` and ``waiting`` count requests."""

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
    client: Client, address: Address, timeout: float = _TIMEOUT
) -> ReportedLoad | None:
    """Return a target's report, or nothing if it gives none.

    Raises what ``web.client`` raises if the target can't be reached.
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
