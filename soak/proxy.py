"""A loopback proxy that delays, cuts and resets connections."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

LOOPBACK = '127.0.0.1'
_PIECE_BYTES = 64 * 1024
_LOOK_S = 0.02
# Closing with this option resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Disruption(enum.StrEnum):
    """What happens to bytes on their way."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    NO_REQUESTS = 'no_requests'
    NO_RESPONSES = 'no_answers'
    NO_TRAFFIC = 'silence'


_HELD_ON_THE_WAY = frozenset((Disruption.NO_REQUESTS, Disruption.NO_TRAFFIC))
_HELD_ON_RETURN = frozenset((Disruption.NO_RESPONSES, Disruption.NO_TRAFFIC))


class Proxy:
    """Owns a listening port before one upstream; closes all on exit.

    ``harm`` holds for all its connections, also those that exist.
    """

    def __init__(self, upstream: tuple[str, int], delay: float = 0.3) -> None:
        """Add ``delay`` seconds to each piece under ``Harm.DELAY``."""
        self.upstream = upstream
        self._delay = delay
        self._harm = Disruption.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    @property
    def disruption(self) -> Disruption:
        """Return what happens now."""
        return self._harm

    def set_disruption(self, disruption: Disruption) -> None:
        """Let something else happen from now on."""
        self._harm = disruption
        if disruption is Disruption.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset the connections that exist."""
        for writer in list(self._writers):
            _reset(writer)

    async def __aenter__(self) -> Proxy:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._harm = Disruption.NONE
        if self._server is not None:
            self._server.close()
        self.reset_all()
        await asyncio.gather(*self._tasks)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._harm is Disruption.RESET:
            _reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.upstream
            )
        except OSError:
            _reset(writer)
            return
        self._writers.update((writer, far_writer))
        try:
            await self._join(reader, writer, far_reader, far_writer)
        finally:
            self._writers.difference_update((writer, far_writer))

    async def _join(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        far_reader: asyncio.StreamReader,
        far_writer: asyncio.StreamWriter,
    ) -> None:
        way = asyncio.ensure_future(
            self._pump(reader, far_writer, _HELD_ON_THE_WAY)
        )
        back = asyncio.ensure_future(
            self._pump(far_reader, writer, _HELD_ON_RETURN)
        )
        try:
            await asyncio.wait(
                (way, back), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for pump in (way, back):
                pump.cancel()
            await asyncio.gather(way, back, return_exceptions=True)
            for end in (writer, far_writer):
                end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held: frozenset[Disruption],
    ) -> None:
        while True:
            try:
                data = await reader.read(_PIECE_BYTES)
            except OSError:
                _reset(writer)
                return
            while self._harm in held:
                await asyncio.sleep(_LOOK_S)
            if self._harm is Disruption.DELAY:
                await asyncio.sleep(self._delay)
            if not data:
                return
            writer.write(data)
            try:
                await writer.drain()
            except OSError:
                return


def _reset(writer: asyncio.StreamWriter) -> None:
    found = writer.get_extra_info('socket')
    if found is not None and found.fileno() >= 0:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


__all__ = ['Disruption', 'LOOPBACK', 'Proxy']
