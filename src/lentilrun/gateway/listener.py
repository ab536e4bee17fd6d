"""A server that keeps no more connections than the process has room for."""

from __future__ import annotations

import socket
from typing import Any
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import add_accept_handler
from tornado.netutil import bind_sockets

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPServerConnectionDelegate

    from ..config.ini import Address
    from ..coordination.clock import Clock
    from ..decisions.connections import ConnectionTable

# What a connection's objects use: 9 KB measured for one without a request.
_CONNECTION_BYTES = 10_000
# What the system keeps of a connection before it is read. Without a limit it
# grows to 6 MB. Half of it is usable, which lets a distant caller (120 ms)
# send 1 MB a second.
_RECEIVE_BUFFER_BYTES = 128 * 1024


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
        **parameters: Any,
    ) -> None:
        """Serve a port with the parameters of ``HTTPServer``."""
        super().initialize(port, **parameters)
        self._port = port
        self._table = table
        self._clock = clock
        self._end_connection = end_connection
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

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection; make room for it if there is none."""
        while self._table.is_full() and self._close_one():
            pass
        self._table.add(stream, str(address[0]), self._clock.now())
        super().handle_stream(stream, address)
        if self._table.is_full() and not self._has_closable():
            self._pause()

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection, and tell the port."""
        super().on_close(server_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._table.remove(server_conn.stream)
        self._port.on_close(server_conn)
        self.resume()

    def _has_closable(self) -> bool:
        return self._table.pick_closable(self._clock.now()) is not None

    def _close_one(self) -> bool:
        stream = self._table.pick_closable(self._clock.now())
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

    def count_buffered(self) -> int:
        """Return the bytes that connections use apart from calls."""
        buffered = sum(s._read_buffer_size for s in self._table)
        return buffered + _CONNECTION_BYTES * len(self._table)

    def close_long_heads(self, size: int, excess: int) -> int:
        """Close connections with an unfinished head of ``size`` or more.

        Stop after ``excess`` bytes; return how many were closed.
        """
        long_heads = [
            s
            for s in self._table
            if s._read_buffer_size >= size and self._table.is_closable(s)
        ]
        count = 0
        for stream in long_heads:
            if excess <= 0:
                break
            excess -= stream._read_buffer_size
            self._table.remove(stream)
            stream.close()
            count += 1
        return count


__all__ = ['GuardedServer']
