"""Targets that answer a request before they have read its body."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import re
import socket
import struct
from typing import TYPE_CHECKING

from lentilrun.config.ini import Address
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import MODEL

if TYPE_CHECKING:
    from deployments import Deployment

LONG_UPLOAD_BYTES = 900_000
_LOOPBACK = '127.0.0.1'
_RECEIVE_BUFFER_BYTES = 4096
_LINGER_OFF = struct.pack('ii', 1, 0)
# The client reads in the meantime, so that the ends come one by one.
_PAUSE_S = 0.03
_DRAIN_S = 2.0
_READ_BYTES = 65536
_REQUEST_ID = re.compile(rb'X-Request-Id: (\S+)\r\n')
_LENGTH = re.compile(rb'Content-Length: (\d+)\r\n')


class Ending(enum.Enum):
    """How a connection ends after the bytes of the response.

    FIN closes the socket: the kernel sends a reset if bytes are unread.
    """

    RESET = 'reset'
    FIN = 'closed'
    FIN_THEN_RESET = 'its side ended, then reset'
    FIN_AND_RESET = 'its side ended and reset at once'
    FIN_THEN_SILENT = 'its side ended, the rest is not read'
    FIN_THEN_READ = 'its side ended, the rest is read'
    OPEN = 'left open'


class EarlyTarget:
    """Sends its ``packets`` once it has read the head of a request.

    ``{id}`` in a packet becomes the ID of the request. The first
    ``sound_requests`` of the target are read whole and get ``sound_packets``
    over connections that it keeps.
    """

    def __init__(
        self,
        packets: tuple[bytes, ...],
        ending: Ending,
        sound_requests: int = 0,
        sound_packets: tuple[bytes, ...] = (),
        reads_body: bool = False,
    ) -> None:
        self._packets = packets
        self._ending = ending
        self._sound_left = sound_requests
        self._sound_packets = sound_packets
        self._reads_body = reads_body
        self.connections = 0
        self.requests = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket = socket.socket()
        # Few bytes of a body that isn't read fit into the kernel.
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((_LOOPBACK, 0))
        self._socket.listen()
        self._socket.setblocking(False)
        self.address = Address(*self._socket.getsockname())

    async def __aenter__(self) -> EarlyTarget:
        self._accepting = asyncio.ensure_future(self._accept())
        return self

    async def __aexit__(self, *exception: object) -> None:
        tasks = [self._accepting, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._socket.close()

    def register(self, deployment: Deployment, service: str) -> None:
        """Write the target's row."""
        models = {MODEL: 1} if service == 'llm' else {}
        row = make_target_row(service, str(self.address), models, 'ready')
        deployment.store.put('servers', f'early-{service}', row)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._socket)
            self.connections += 1
            connection.setblocking(False)
            self._tasks.add(asyncio.ensure_future(self._serve(connection)))

    async def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(ConnectionError):
            while await self._answer(connection):
                pass

    async def _answer(self, connection: socket.socket) -> bool:
        """Answer a request; return whether the connection stays open."""
        loop = asyncio.get_running_loop()
        head = b''
        while b'\r\n\r\n' not in head:
            data = await loop.sock_recv(connection, 1)
            if not data:
                return False
            head += data
        probed = _PROBES.get(head.partition(b' HTTP/')[0])
        if probed is not None:
            await self._send(connection, head, (_frame(probed),))
            return True
        self.requests += 1
        if self._sound_left:
            self._sound_left -= 1
            await self._read_body(connection, head)
            await self._send(connection, head, self._sound_packets)
            return True
        if self._reads_body:
            await self._read_body(connection, head)
        await self._send(connection, head, self._packets)
        await self._end(connection)
        return False

    async def _read_body(self, connection: socket.socket, head: bytes) -> None:
        loop = asyncio.get_running_loop()
        found = _LENGTH.search(head)
        left = int(found[1]) if found else 0
        while left:
            left -= len(await loop.sock_recv(connection, min(left, 65536)))

    async def _send(
        self,
        connection: socket.socket,
        head: bytes,
        packets: tuple[bytes, ...],
    ) -> None:
        loop = asyncio.get_running_loop()
        found = _REQUEST_ID.search(head)
        request_id = found[1] if found else b''
        for packet in packets:
            await loop.sock_sendall(
                connection, packet.replace(b'{id}', request_id)
            )
            await asyncio.sleep(_PAUSE_S)

    async def _end(self, connection: socket.socket) -> None:
        if self._ending is Ending.FIN:
            return
        if self._ending is Ending.OPEN:
            await asyncio.sleep(_DRAIN_S)
            return
        if self._ending is not Ending.RESET:
            connection.shutdown(socket.SHUT_WR)
        if self._ending is Ending.FIN_THEN_SILENT:
            await asyncio.sleep(_DRAIN_S)
        if self._ending is Ending.FIN_THEN_READ:
            await self._drain(connection)
            return
        if self._ending is Ending.FIN_THEN_RESET:
            await asyncio.sleep(_PAUSE_S)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF)

    async def _drain(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(connection, _READ_BYTES):
            pass


def _frame(body: bytes) -> bytes:
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    return head + body


# What it answers to requests for its own state.
_PROBES = {
    b'GET /lentilrun/report': b'{"models":[{"name":"model","version":1}]}',
    b'GET /load': b'{"incarnation":"i1"}',
}

__all__ = ['EarlyTarget', 'Ending', 'LONG_UPLOAD_BYTES']
