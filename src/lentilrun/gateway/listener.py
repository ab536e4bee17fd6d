"""A server that keeps no more connections than the process has room for."""

from __future__ import annotations

import socket
from typing import Any
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.iostream import UnsatisfiableReadError
from tornado.netutil import add_accept_handler
from tornado.netutil import bind_sockets

from ..web.quietness import accept_waiting
from ..web.quietness import has_arrivals

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPServerConnectionDelegate

    from ..config.ini import Address
    from ..coordination.clock import Clock
    from ..decisions.connections import ConnectionTable
    from ..web.memory import ProcessMemory

# What a connection's objects use: 9 KB for one without a request.
_CONNECTION_BYTES = 10_000
# Heads up to this size, and so usual ones, are kept whatever the memory.
_LONG_HEAD_BYTES = 16 * 1024
# What the system keeps of a connection before it is read. Without a limit it
# grows to 6 MB. Half of it is usable, which lets a distant caller (120 ms)
# send 1 MB a second.
_RECEIVE_BUFFER_BYTES = 128 * 1024
# What is read from the system at a time. All connections use it in turn.
_scratch = bytearray(64 * 1024)


class GuardedStream(IOStream):
    """A connection whose unread bytes count in the memory of the process."""

    def __init__(self, connection: socket.socket, memory: ProcessMemory):
        super().__init__(connection)
        self._memory = memory
        self._counted_bytes = 0

    def _read_to_buffer(self) -> int | None:
        """Read; raises ``UnsatisfiableReadError`` if there is no room.

        Only heads collect in the buffer. Thousands of connections may be
        read before anything else runs, so that the check belongs here.
        """
        count = self._read_available()
        self.count_buffer()
        is_long_head = (
            self._read_regex is not None
            and self._read_buffer_size > _LONG_HEAD_BYTES
        )
        if is_long_head and self._memory.is_exhausted():
            self._memory.closed_heads += 1
            self.drop_buffer()
            raise UnsatisfiableReadError('no memory for a long head')
        return count

    def _read_available(self) -> int | None:
        """Read without a new buffer of 64 KiB, as the base class makes."""
        try:
            count = self.read_from_fd(_scratch)
        except OSError as error:
            self.close(exc_info=error)
            if self._is_connreset(error):
                return None
            raise
        if count is None:
            return 0
        if not count:
            self.close()
            return 0
        with memoryview(_scratch) as scratch:
            self._read_buffer += scratch[:count]
        self._read_buffer_size += count
        return count

    def drop_buffer(self) -> None:
        """Release what was not read, as the connection is closed.

        Closed streams are parts of reference cycles, which live longer.
        """
        self._read_buffer = bytearray()
        self._read_buffer_size = 0
        self.count_buffer()

    def count_buffer(self) -> None:
        """Count what the buffer holds now."""
        size = self._read_buffer_size
        self._memory.connection_bytes += size - self._counted_bytes
        self._counted_bytes = size


class GuardedServer(HTTPServer):
    """Closes connections of the address that holds most, or stops accepting.

    The connections are closed by ``end_connection``, which may send a
    response before.
    """

    def initialize(  # type: ignore[override]
        self,
        port: HTTPServerConnectionDelegate,
        table: ConnectionTable[IOStream],
        clock: Clock,
        end_connection: Callable[[IOStream], None],
        memory: ProcessMemory,
        **parameters: Any,
    ) -> None:
        """Serve a port with the parameters of ``HTTPServer``."""
        super().initialize(port, **parameters)
        self._port = port
        self._table = table
        self._clock = clock
        self._end_connection = end_connection
        self._memory = memory
        self.is_paused = False
        self.closed_connections = 0

    def serve(self, address: Address, backlog: int) -> None:
        """Listen at an address; raises ``OSError``."""
        sockets = bind_sockets(address.port, address.host, backlog=backlog)
        for listener in sockets:
            # Connections inherit it.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
        self.add_sockets(sockets)

    def _handle_connection(
        self, connection: socket.socket, address: Any
    ) -> None:
        """Serve an accepted connection as a stream that is counted."""
        self.handle_stream(GuardedStream(connection, self._memory), address)

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection; make room for it if there is none."""
        while self._table.is_full() and self._close_one():
            pass
        self._memory.connection_bytes += _CONNECTION_BYTES
        self._table.add(stream, str(address[0]), self._clock.now())
        super().handle_stream(stream, address)
        if self._table.is_full() and not self._has_closable():
            self._pause()

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection, and tell the port."""
        super().on_close(server_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        stream = server_conn.stream
        _as_guarded(stream).drop_buffer()
        self._memory.connection_bytes -= _CONNECTION_BYTES
        self._table.remove(stream)
        self._port.on_close(server_conn)
        self.resume()

    def stop(self) -> None:
        """Accept the connections that were made by now, and no more.

        The system resets those that are left in its queue.
        """
        accept_waiting(
            self._sockets.values(),
            self._handle_connection,
            lambda: self.is_paused,
        )
        super().stop()

    def _pick_closable(self) -> IOStream | None:
        """Return the connection to close first, if any may be closed.

        Bytes may have arrived while the event loop did not run. They count
        as progress.
        """
        now = self._clock.now()
        found = None
        active = []
        for stream in self._table.list_closable(now):
            if not has_arrivals(stream):
                found = stream
                break
            active.append(stream)
        for stream in active:
            self._table.mark_progress(stream, now)
        return found

    def _has_closable(self) -> bool:
        return self._pick_closable() is not None

    def _close_one(self) -> bool:
        stream = self._pick_closable()
        if stream is None:
            return False
        self._table.remove(stream)
        self.closed_connections += 1
        self._end_connection(stream)
        return True

    def _pause(self) -> None:
        """Leave new connections in the system's queue."""
        self.is_paused = True
        for remove_handler in self._handlers.values():
            remove_handler()

    def resume(self) -> None:
        """Accept connections again if there is room, or can be."""
        if not self.is_paused or self._stopped:
            return
        if self._table.is_full() and not self._has_closable():
            return
        self.is_paused = False
        for descriptor, listener in self._sockets.items():
            self._handlers[descriptor] = add_accept_handler(
                listener, self._handle_connection
            )

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._table)

    def count_buffers(self) -> None:
        """Count what the connections hold now, as some was consumed."""
        for stream in self._table:
            _as_guarded(stream).count_buffer()


def _as_guarded(stream: IOStream) -> GuardedStream:
    assert isinstance(stream, GuardedStream)
    return stream


__all__ = ['GuardedServer', 'GuardedStream']
