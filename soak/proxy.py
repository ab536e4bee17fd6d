"""A loopback TCP proxy that delays, blocks and resets connections."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

LOOPBACK = '127.0.0.1'
_CHUNK_BYTES = 64 * 1024
_POLL_INTERVAL_S = 0.02
# With this linger option, closing a socket sends RST.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Disruption(enum.StrEnum):
    """What the proxy does to the traffic."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    NO_REQUESTS = 'no_requests'
    NO_RESPONSES = 'no_answers'
    NO_TRAFFIC = 'silence'


_BLOCKS_REQUESTS = frozenset((Disruption.NO_REQUESTS, Disruption.NO_TRAFFIC))
_BLOCKS_RESPONSES = frozenset((Disruption.NO_RESPONSES, Disruption.NO_TRAFFIC))


class Proxy:
    """Forwards a listening port to one upstream; closes all on exit.

    ``disruption`` applies to existing connections too.
    """

    def __init__(self, upstream: tuple[str, int], delay: float = 0.3) -> None:
        """Delay each chunk by ``delay`` s under ``Disruption.DELAY``."""
        self.upstream = upstream
        self._delay = delay
        self._disruption = Disruption.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    @property
    def disruption(self) -> Disruption:
        """Return the disruption in force."""
        return self._disruption

    def set_disruption(self, disruption: Disruption) -> None:
        """Put a disruption in force; ``RESET`` also closes connections."""
        self._disruption = disruption
        if disruption is Disruption.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
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
        self._disruption = Disruption.NONE
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
        if self._disruption is Disruption.RESET:
            _reset(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.upstream
            )
        except OSError:
            _reset(writer)
            return
        self._writers.update((writer, upstream_writer))
        try:
            await self._relay(reader, writer, upstream_reader, upstream_writer)
        finally:
            self._writers.difference_update((writer, upstream_writer))

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream_reader: asyncio.StreamReader,
        upstream_writer: asyncio.StreamWriter,
    ) -> None:
        requests = asyncio.ensure_future(
            self._copy(reader, upstream_writer, _BLOCKS_REQUESTS)
        )
        responses = asyncio.ensure_future(
            self._copy(upstream_reader, writer, _BLOCKS_RESPONSES)
        )
        try:
            await asyncio.wait(
                (requests, responses), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (requests, responses):
                task.cancel()
            await asyncio.gather(requests, responses, return_exceptions=True)
            for stream in (writer, upstream_writer):
                stream.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking: frozenset[Disruption],
    ) -> None:
        while True:
            try:
                data = await reader.read(_CHUNK_BYTES)
            except OSError:
                _reset(writer)
                return
            while self._disruption in blocking:
                await asyncio.sleep(_POLL_INTERVAL_S)
            if self._disruption is Disruption.DELAY:
                await asyncio.sleep(self._delay)
            if not data:
                return
            writer.write(data)
            try:
                await writer.drain()
            except OSError:
                return


def _reset(writer: asyncio.StreamWriter) -> None:
    raw_socket = writer.get_extra_info('socket')
    if raw_socket is not None and raw_socket.fileno() >= 0:
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    writer.transport.abort()


__all__ = ['Disruption', 'LOOPBACK', 'Proxy']
