"""Ports for servers on loopback that nobody else gets meanwhile."""

from __future__ import annotations

import random
import socket
from typing import TYPE_CHECKING

from ..config.ini import Address

if TYPE_CHECKING:
    from types import TracebackType

_LOOPBACK = '127.0.0.1'
# Below the ports that the system gives to outgoing connections and to sockets
# that name none.
_PORTS = (10_000, 32_000)
_random = random.SystemRandom()


def _bind_stream(port: int) -> socket.socket:
    """Return a socket that owns a port; raises ``OSError`` if it is in use.

    Only afterwards may others share the port: two reservations exclude each
    other, while a server that allows itself to share it, as servers do to
    start again, can listen.
    """
    stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        stream.bind((_LOOPBACK, port))
    except OSError:
        stream.close()
        raise
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return stream


def _require_free_datagram_port(port: int) -> None:
    """Raise ``OSError`` if a port is in use for datagrams."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
        datagram.bind((_LOOPBACK, port))


class ReservedPorts:
    """Owns ports of TCP and UDP until it is closed.

    The system refuses a port that is reserved for TCP to all others that
    reserve it, in any process. Datagrams are received at reserved ports
    only, so a port can't be taken for these either. A server may listen,
    stop and start again, also in another process.
    """

    def __init__(self) -> None:
        self._streams: list[socket.socket] = []

    def __enter__(self) -> ReservedPorts:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for stream in self._streams:
            stream.close()
        self._streams.clear()

    def reserve(self) -> int:
        """Return a port of the loopback address."""
        while True:
            port = _random.randrange(*_PORTS)
            try:
                stream = _bind_stream(port)
            except OSError:
                continue
            self._streams.append(stream)
            try:
                _require_free_datagram_port(port)
            except OSError:
                continue
            return port

    def reserve_address(self) -> Address:
        """Return the loopback address with a port."""
        return Address(_LOOPBACK, self.reserve())


__all__ = ['ReservedPorts']
