"""Authenticated connections to all other daemons."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from . import codec
from ..metrics.registry import Count

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType
    from typing import NamedTuple

    from ..config.ini import Address
    from ..config.settings import Secrets
    from ..metrics.registry import Metrics
    from .codec import Envelope
    from .codec import Sender

_MAX_QUEUED_MESSAGES = 1000
_RECONNECT_INTERVAL_MS = 100
_HANDSHAKE_TIMEOUT_MS = 1000
_HEARTBEAT_INTERVAL_MS = 1000
_HEARTBEAT_TIMEOUT_MS = 3000


class _FleetKeyCheck:
    """Admits only clients that hold the fleet's key."""

    def __init__(self, public_key: bytes) -> None:
        self._public_key = public_key

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's key is the fleet's."""
        return key == self._public_key


class Mesh:
    """One listening socket, and one connection to each peer."""

    def __init__(
        self, sender: Sender, secrets: Secrets, metrics: Metrics
    ) -> None:
        self._sender = sender
        self._secrets = secrets
        self._metrics = metrics
        self._context = zmq.asyncio.Context()
        self._authenticator = AsyncioAuthenticator(self._context)
        self._listener: zmq.asyncio.Socket | None = None
        self._connections: dict[str, zmq.Socket[bytes]] = {}
        self._addresses: dict[str, Address] = {}

    def __enter__(self) -> Mesh:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for connection in self._connections.values():
            connection.close(linger=0)
        if self._listener is not None:
            self._listener.close(linger=0)
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def _configure_socket(self, socket: zmq.Socket[Any], server: bool) -> None:
        socket.curve_publickey = self._secrets.curve_public
        socket.curve_secretkey = self._secrets.curve_secret
        if server:
            socket.curve_server = True
        else:
            socket.curve_serverkey = self._secrets.curve_public
        socket.linger = 0
        # A lost handshake is retried soon, and a connection whose remote
        # end disappeared without closing it is detected and closed.
        socket.handshake_ivl = _HANDSHAKE_TIMEOUT_MS
        socket.heartbeat_ivl = _HEARTBEAT_INTERVAL_MS
        socket.heartbeat_timeout = _HEARTBEAT_TIMEOUT_MS
        socket.sndhwm = _MAX_QUEUED_MESSAGES
        socket.rcvhwm = _MAX_QUEUED_MESSAGES
        socket.maxmsgsize = codec.MAX_MESSAGE_BYTES

    def listen(self, address: Address) -> None:
        """Listen for messages at an address.

        Raises ``zmq.ZMQError`` if the address can't be bound.
        """
        self._authenticator.start()
        key_check = _FleetKeyCheck(self._secrets.curve_public)
        self._authenticator.configure_curve_callback('*', key_check)
        socket = self._context.socket(zmq.ROUTER)
        self._configure_socket(socket, server=True)
        socket.bind(f'tcp://{address}')
        self._listener = socket

    def connect(self, name: str, address: Address) -> None:
        """Connect to a peer, unless already connected to that address."""
        if self._addresses.get(name) == address:
            return
        self.disconnect(name)
        blocking_context = zmq.Context(self._context)
        socket = blocking_context.socket(zmq.DEALER)
        self._configure_socket(socket, server=False)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.reconnect_ivl = _RECONNECT_INTERVAL_MS
        socket.connect(f'tcp://{address}')
        self._connections[name] = socket
        self._addresses[name] = address

    def disconnect(self, name: str) -> None:
        """Close the connection to a peer."""
        connection = self._connections.pop(name, None)
        self._addresses.pop(name, None)
        if connection is not None:
            connection.close(linger=0)

    def list_peers(self) -> list[str]:
        """Return the names of the peers with a connection."""
        return list(self._connections)

    def send(self, name: str, message: NamedTuple) -> bool:
        """Send a message without waiting; return if it was queued."""
        return self._send(name, codec.encode(self._sender, message))

    def _send(self, name: str, data: bytes) -> bool:
        connection = self._connections.get(name)
        if connection is None:
            return False
        try:
            connection.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self._metrics.add(Count.PEER_MESSAGES, 'sent')
        self._metrics.add(Count.PEER_BYTES, 'sent', len(data))
        return True

    def broadcast(self, message: NamedTuple) -> None:
        """Send a message to every peer whose queue is not full."""
        data = codec.encode(self._sender, message)
        for name in self._connections:
            self._send(name, data)

    async def receive(self, handle: Callable[[Envelope], None]) -> None:
        """Pass every received message to ``handle`` until cancelled."""
        assert self._listener is not None
        while True:
            frames = await self._listener.recv_multipart()
            data = frames[-1]
            self._metrics.add(Count.PEER_MESSAGES, 'received')
            self._metrics.add(Count.PEER_BYTES, 'received', len(data))
            try:
                handle(codec.decode(data))
            except codec.BadMessageError:
                self._metrics.add(Count.BAD_MESSAGES)


__all__ = ['Mesh']
