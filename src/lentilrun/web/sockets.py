"""Sockets of the client, and what they still hold."""

from __future__ import annotations

import array
import asyncio
import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

from tornado.iostream import IOStream

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from .turns import TurnQueue

# A connection is closed if sent bytes or keep-alive probes stay unacknowledged
# for this time: a VM without power or behind a network partition doesn't close
# its connections.
DEFAULT_ACK_TIMEOUT_S = 1.0
_MS_PER_S = 1000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_MAX_KEEPALIVE_PROBES = 2
# What a connection may read before it waits for a turn of the event loop.
# The least that handling a read costs counts as this many bytes.
_TURN_BYTES = 32 * 1024
_READ_COST_BYTES = 1024
# Lingering is on, for 0 s.
_DISCARD_ON_CLOSE = struct.pack('ii', 1, 0)


class RequestStream(IOStream):
    """A connection to a server, which may end before it got the request.

    Connections that always have bytes to read share the event loop by
    ``turns``. ``is_request_cut`` is set if the server ended its side before
    its kernel had acknowledged all bytes that were written, or reset the
    connection right after. A reset then shows in no read: it looks like a
    plain end.
    """

    is_request_cut = False

    def __init__(
        self,
        client_socket: socket.socket,
        turns: TurnQueue,
        max_buffer_bytes: int,
    ) -> None:
        """Hold up to ``max_buffer_bytes`` that were received but not read."""
        super().__init__(client_socket, max_buffer_size=max_buffer_bytes)
        self._turns = turns
        self._turn_bytes = 0

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> Awaitable[bytes]:
        """Read bytes, in a turn of their own if they are many."""
        read = asyncio.ensure_future(super().read_bytes(num_bytes, partial))
        if read.done() and (read.exception() or self._spend(read.result())):
            return read
        return self._read_in_turn(read)

    def _spend(self, data: bytes) -> bool:
        """Count bytes; return whether they need no turn."""
        cost = len(data) + _READ_COST_BYTES
        if self._turn_bytes + cost >= _TURN_BYTES:
            return False
        self._turn_bytes += cost
        return True

    async def _read_in_turn(self, read: Awaitable[bytes]) -> bytes:
        data = await read
        if not self._spend(data):
            await self._turns.wait()
            self._turn_bytes = 0
        return data

    def holds_request(self) -> bool:
        """Return whether the server's kernel lacks a part of the request.

        A closed connection, which carries no other request, holds none.
        """
        if self.closed():
            return False
        return self.writing() or _count_unacknowledged_bytes(self.socket) > 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; return 0 at the end of the server's side.

        Raises ``OSError`` if the connection has failed.
        """
        count = super().read_from_fd(buf)
        if count == 0:
            self.is_request_cut = (
                self.holds_request()
                or self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                != 0
            )
        return count


def _count_unacknowledged_bytes(tcp_socket: socket.socket) -> int:
    """Return how many bytes a socket holds that its peer has not got.

    A server that has read the whole request acknowledges all of it with the
    segment that ends its side, so that none are left then.
    """
    return _read_queue_size(tcp_socket, termios.TIOCOUTQ)


def count_unread_bytes(tcp_socket: socket.socket) -> int:
    """Return how many bytes arrived that were not read from a socket."""
    return _read_queue_size(tcp_socket, termios.FIONREAD)


def _read_queue_size(tcp_socket: socket.socket, queue: int) -> int:
    count = array.array('i', [0])
    fcntl.ioctl(tcp_socket.fileno(), queue, count)
    return count[0]


def make_socket() -> socket.socket:
    """Return a TCP socket that notices when its peer is gone."""
    client_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    client_socket.setblocking(False)
    tcp = socket.IPPROTO_TCP
    client_socket.setsockopt(tcp, socket.TCP_NODELAY, 1)
    client_socket.setsockopt(
        tcp, socket.TCP_USER_TIMEOUT, int(DEFAULT_ACK_TIMEOUT_S * _MS_PER_S)
    )
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    client_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    client_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    client_socket.setsockopt(tcp, socket.TCP_KEEPCNT, _MAX_KEEPALIVE_PROBES)
    return client_socket


def set_ack_timeout(stream: IOStream, seconds: float) -> None:
    """Close a connection if its server acknowledges nothing for so long.

    The number of keep-alive probes then doesn't count.
    """
    stream.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * _MS_PER_S)
    )


def abort(stream: IOStream) -> None:
    """Close a stream; bytes that were not delivered yet are discarded.

    A plain close would still deliver them, so that a server could start a
    request that was given up.
    """
    if not stream.closed():
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_ON_CLOSE
        )
    stream.close()


def has_input(stream: IOStream) -> bool:
    """Return whether bytes or a close arrived that were not read yet."""
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


__all__ = [
    'abort',
    'count_unread_bytes',
    'DEFAULT_ACK_TIMEOUT_S',
    'has_input',
    'make_socket',
    'RequestStream',
    'set_ack_timeout',
]
