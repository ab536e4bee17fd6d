"""Export and import of KV cache blocks by engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..web.client import Request

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..web.client import Client

_OK = 200
_decoder = msgspec.json.Decoder(list[int])


async def _request_blocks(
    client: Client,
    address: Address,
    operation: str,
    blocks: tuple[int, ...],
    timeout: float,
) -> tuple[int, ...]:
    body = msgspec.json.encode(blocks)
    request = Request('POST', f'/kv/{operation}', {}, body, timeout)
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
    """Make an engine export blocks; return those that it exported.

    ``timeout`` is in seconds. Errors are those of ``web.client``.
    """
    return await _request_blocks(client, address, 'export', blocks, timeout)


async def import_blocks(
    client: Client, address: Address, blocks: tuple[int, ...], timeout: float
) -> None:
    """Make an engine import blocks from the KV cache store.

    ``timeout`` is in seconds. Errors are those of ``web.client``.
    """
    await _request_blocks(client, address, 'import', blocks, timeout)


__all__ = ['export_blocks', 'import_blocks']
