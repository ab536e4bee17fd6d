"""Responses without a length or chunks, which end with their connection."""

from __future__ import annotations

import asyncio
from http.client import responses
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tornado.iostream import IOStream

# Makes close send a reset.
_LINGER_OFF = struct.pack('ii', 1, 0)
# Gives the receiver time to read a packet, before the next one or a reset.
_PACKET_PAUSE_S = 0.001
_RESET_PAUSE_S = 0.05


class RawResponse:
    """Writes a response that ends when its connection is closed."""

    def __init__(self, stream: IOStream, packet_bytes: int) -> None:
        """Send packets of ``packet_bytes``; 0 means one for each write."""
        self._stream = stream
        self._packet_bytes = packet_bytes
        self._pending = b''

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Queue the head; it is sent with the first part of the body."""
        fields = ''.join(f'{k}: {v}\r\n' for k, v in headers.items())
        line = f'HTTP/1.1 {status} {responses[status]}\r\n'
        self._pending = f'{line}{fields}\r\n'.encode('latin-1')

    async def write(self, data: bytes) -> None:
        """Send a part of the body.

        Raises ``StreamClosedError`` if the other side has closed.
        """
        data = self._pending + data
        self._pending = b''
        size = self._packet_bytes
        if not size:
            await self._stream.write(data)
            return
        for start in range(0, len(data), size):
            await self._stream.write(data[start : start + size])
            await asyncio.sleep(_PACKET_PAUSE_S)

    def finish(self) -> None:
        """End the response by closing its connection."""
        self._stream.close()

    async def reset(self) -> None:
        """Break the response off by resetting its connection."""
        await asyncio.sleep(_RESET_PAUSE_S)
        if not self._stream.closed():
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF
            )
        self._stream.close()


__all__ = ['RawResponse']
