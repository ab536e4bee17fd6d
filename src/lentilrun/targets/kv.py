"""Export and import of cached blocks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..web.client import Request

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..web.client import Client

_OK = 200
_decoder = msgspec.json.Decoder(list[int])


async def _ask(
    client: Client,
    address: Address,
    verb: str,
    blocks: tuple[int, ...],
    timeout: float,
) -> tuple[int, ...]:
    body = msgspec.json.encode(blocks)
    request = Request('POST', f'/kv/{verb}', {}, body, timeout)
    response = await client.fetch(address, request)
    if response.status != _OK:
        return ()
    try:
        return tuple(_decoder.decode(response.body))
    except msgspec.MsgspecError:
        return ()


async def export_blocks(
    client: Client, address: Address, blocks: tuple[int, ...], timeout: float
) -> tuple[int, ...]:
    """Return the blocks that an engine exported of those asked for."""
    return await _ask(client, address, 'export', blocks, timeout)


async def import_blocks(
    client: Client, address: Address, blocks: tuple[int, ...], timeout: float
) -> None:
    """Make an engine import blocks from the store of kept cache."""
    await _ask(client, address, 'import', blocks, timeout)


__all__ = ['export_blocks', 'import_blocks']
