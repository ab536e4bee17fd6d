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

_QUEUED = 1000
_RECONNECT_MS = 100
_HANDSHAKE_MS = 1000
_HEARTBEAT_MS = 1000
_HEARTBEAT_TIMEOUT_MS = 3000


class _FleetOnly:
    """Lets in only those who hold the fleet's key."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's key is the fleet's."""
        return key == self._public


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
        self._links: dict[str, zmq.Socket[bytes]] = {}
        self._addresses: dict[str, Address] = {}

    def __enter__(self) -> Mesh:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for link in self._links.values():
            link.close(linger=0)
        if self._listener is not None:
            self._listener.close(linger=0)
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def _secure(self, socket: zmq.Socket[Any], server: bool) -> None:
        socket.curve_publickey = self._secrets.curve_public
        socket.curve_secretkey = self._secrets.curve_secret
        if server:
            socket.curve_server = True
        else:
            socket.curve_serverkey = self._secrets.curve_public
        socket.linger = 0
        # A handshake that was lost is tried again soon, and a connection
        # whose far end is gone without a word is given up.
        socket.handshake_ivl = _HANDSHAKE_MS
        socket.heartbeat_ivl = _HEARTBEAT_MS
        socket.heartbeat_timeout = _HEARTBEAT_TIMEOUT_MS
        socket.sndhwm = _QUEUED
        socket.rcvhwm = _QUEUED
        socket.maxmsgsize = codec.MAX_MESSAGE_BYTES

    def listen(self, address: Address) -> None:
        """Take messages at an address; raises ``zmq.ZMQError``."""
        self._authenticator.start()
        gate = _FleetOnly(self._secrets.curve_public)
        self._authenticator.configure_curve_callback('*', gate)
        socket = self._context.socket(zmq.ROUTER)
        self._secure(socket, server=True)
        socket.bind(f'tcp://{address}')
        self._listener = socket

    def connect(self, name: str, address: Address) -> None:
        """Connect to a peer, unless that stands already."""
        if self._addresses.get(name) == address:
            return
        self.disconnect(name)
        plain = zmq.Context(self._context)
        socket = plain.socket(zmq.DEALER)
        self._secure(socket, server=False)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.reconnect_ivl = _RECONNECT_MS
        socket.connect(f'tcp://{address}')
        self._links[name] = socket
        self._addresses[name] = address

    def disconnect(self, name: str) -> None:
        """Drop the connection to a peer."""
        link = self._links.pop(name, None)
        self._addresses.pop(name, None)
        if link is not None:
            link.close(linger=0)

    def list_peers(self) -> list[str]:
        """Return the peers that are connected to."""
        return list(self._links)

    def send(self, name: str, message: NamedTuple) -> bool:
        """Send a message if the peer can take it; return if it went."""
        return self._send(name, codec.encode(self._sender, message))

    def _send(self, name: str, data: bytes) -> bool:
        link = self._links.get(name)
        if link is None:
            return False
        try:
            link.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self._metrics.add(Count.PEER_MESSAGES, 'sent')
        self._metrics.add(Count.PEER_BYTES, 'sent', len(data))
        return True

    def broadcast(self, message: NamedTuple) -> None:
        """Send a message to every peer that can take it."""
        data = codec.encode(self._sender, message)
        for name in self._links:
            self._send(name, data)

    async def receive(self, handle: Callable[[Envelope], None]) -> None:
        """Hand every message that arrives to ``handle``, for ever."""
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
