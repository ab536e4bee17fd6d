"""A TCP proxy that can fall silent, as a cut network path does."""

from __future__ import annotations

import asyncio

from . import http

_CHUNK_BYTES = 65536


class Proxy:
    """Passes bytes on to a port while it is not ``is_silent``."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self.is_silent = False
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._accept, http.LOOPBACK, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Drop everything from now on, in both directions."""
        self.is_silent = True

    def heal(self) -> None:
        """Pass new connections on; those that were cut are reset."""
        self.is_silent = False
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.is_silent:
                await reader.read()
                return
            other_reader, other_writer = await asyncio.open_connection(
                http.LOOPBACK, self._target_port
            )
            self._writers.add(other_writer)
            try:
                await asyncio.gather(
                    self._pass_on(reader, other_writer),
                    self._pass_on(other_reader, writer),
                )
            finally:
                self._writers.discard(other_writer)
                other_writer.close()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if not self.is_silent:
                writer.write(data)
                await writer.drain()
        if not self.is_silent:
            writer.close()
