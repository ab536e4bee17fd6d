"""Targets that send prepared bytes in response to each request."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from typing import NamedTuple
from typing import TYPE_CHECKING

from deployments import Deployment
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import MODEL
import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

_LOOPBACK = '127.0.0.1'
_LINGER_OFF = struct.pack('ii', 1, 0)
# The router reads in the meantime, so that packets aren't joined.
_PACKET_PAUSE_S = 0.01
_STARTED_AT_MS = 1000
_RESTARTED_AT_MS = 2000


class Fate(enum.Enum):
    """What becomes of a target after a response.

    One that is ``GONE`` takes no connection, as its process has ended; one
    that is ``MUTE`` takes connections and closes them. One that has
    ``RESTARTED`` answers as another start of the same target.
    """

    RUNS = enum.auto()
    GONE = enum.auto()
    MUTE = enum.auto()
    RESTARTED = enum.auto()


class Script(NamedTuple):
    """A response: its head's own lines, its packets, and its ``ending``.

    The ending is fin, reset or open.
    """

    head: str
    packets: tuple[bytes, ...]
    ending: str = 'open'
    fate: Fate = Fate.RUNS


def make_events(*numbers: int, end: str = '\n') -> bytes:
    """Return events with these numbers."""
    return b''.join(
        f'id: {n}{end}data: piece {n}{end}{end}'.encode() for n in numbers
    )


def make_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; no data makes the last chunk."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def make_chunked(*parts: bytes, is_ended: bool = True) -> Script:
    """Return a stream in chunks, which is reset unless it ``is_ended``."""
    packets = tuple(make_chunk(p) for p in parts)
    if is_ended:
        return Script(CHUNKED, (*packets, make_chunk(b'')))
    return Script(CHUNKED, packets, 'reset')


_STREAM = '200 OK\r\nContent-Type: text/event-stream\r\n'
CHUNKED = f'{_STREAM}Transfer-Encoding: chunked\r\n'
UNFRAMED = _STREAM


class ScriptedTargets:
    """Two engines that play the scripts in the order of the requests."""

    def __init__(
        self, deployment: Deployment, scripts: Sequence[Script]
    ) -> None:
        self._deployment = deployment
        self._scripts = list(scripts)
        self._fates = {'e1': Fate.RUNS, 'e2': Fate.RUNS}
        self._servers: dict[str, asyncio.Server] = {}
        self._stack = contextlib.AsyncExitStack()
        # The Last-Event-Id of each request that was run, in their order.
        self.resumed_after: list[str | None] = []
        self.reports = 0

    async def __aenter__(self) -> ScriptedTargets:
        for name in self._fates:
            await self._start(name)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._stack.aclose()

    async def _start(self, name: str) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(name, reader, writer)

        server = await asyncio.start_server(serve, _LOOPBACK, 0)
        self._stack.callback(server.close)
        self._servers[name] = server
        port = server.sockets[0].getsockname()[1]
        value = make_target_row(
            'llm',
            f'{_LOOPBACK}:{port}',
            {MODEL: 1},
            'ready',
            _STARTED_AT_MS,
        )
        self._deployment.store.put('servers', name, value)

    async def _serve(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            is_open = True
            while is_open and self._fates[name] is not Fate.MUTE:
                is_open = await self._answer(name, reader, writer)
        writer.close()

    async def _answer(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = text.strip().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines[1:])
        await reader.readexactly(int(fields.get('Content-Length', 0)))
        if self._fates[name] in (Fate.GONE, Fate.MUTE):
            return False
        if lines[0].startswith('GET /lentilrun/report '):
            self.reports += 1
            writer.write(_encode_report(self._fates[name]))
            return True
        self.resumed_after.append(fields.get('Last-Event-Id'))
        script = self._scripts.pop(0)
        request_id = fields['X-Request-Id']
        head = (
            f'HTTP/1.1 {script.head}X-Request-Id: {request_id}\r\n'
            f'X-Response-Signature: s\r\nX-Instance-Id: {name}\r\n\r\n'
        )
        writer.write(head.encode())
        for packet in script.packets:
            writer.write(packet)
            await asyncio.sleep(_PACKET_PAUSE_S)
        self._fates[name] = script.fate
        if script.fate is Fate.GONE:
            self._servers[name].close()
        if script.ending == 'reset':
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF
            )
        return script.ending == 'open'


def _encode_report(fate: Fate) -> bytes:
    is_restarted = fate is Fate.RESTARTED
    body = msgspec.json.encode(
        {
            'models': [{'name': MODEL, 'version': 1}],
            'born': _RESTARTED_AT_MS if is_restarted else _STARTED_AT_MS,
        }
    )
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


__all__ = [
    'CHUNKED',
    'Fate',
    'make_chunk',
    'make_chunked',
    'make_events',
    'Script',
    'ScriptedTargets',
    'UNFRAMED',
]
