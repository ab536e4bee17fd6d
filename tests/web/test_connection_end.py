"""Responses that end with their connection, and those with a length."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import NamedTuple

from lentilrun.config.ini import Address
from lentilrun.web.client import Client
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import Request
from lentilrun.web.client import Response
import pytest
from rawservers import ServedConnection

_LINGER_OFF = struct.pack('ii', 1, 0)
# The client reads in the meantime, so that packets aren't joined.
_PACKET_PAUSE_S = 0.002
_TIMEOUT_S = 3.0
_BODY = b'a whole body'


class _Script(NamedTuple):
    """What a server sends to each request, and whether it then closes.

    ``ending`` is fin, reset or open.
    """

    packets: tuple[bytes, ...]
    ending: str


class _Server:
    """Sends a script to each request; counts connections and requests."""

    def __init__(self, script: _Script) -> None:
        self._script = script
        self.connections = 0
        self.requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        async with ServedConnection(writer):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                for packet in self._script.packets:
                    writer.write(packet)
                    await asyncio.sleep(_PACKET_PAUSE_S)
                if self._script.ending == 'open':
                    continue
                if self._script.ending == 'reset':
                    connection = writer.get_extra_info('socket')
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF
                    )
                break


async def _fetch(
    client: Client, address: Address, request: Request
) -> Response | BaseException:
    try:
        return await client.fetch(address, request)
    except InterruptedExchangeError as error:
        return error


def _run(
    script: _Script, method: str, times: int = 1
) -> tuple[_Server, list[Response | BaseException]]:
    """Send requests one after the other; return their responses."""

    async def body() -> tuple[_Server, list[Response | BaseException]]:
        behaviour = _Server(script)
        server = await asyncio.start_server(behaviour.serve, '127.0.0.1', 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        request = Request(method, '/', {}, b'', _TIMEOUT_S)
        results: list[Response | BaseException] = []
        loop = asyncio.get_running_loop()
        async with server:
            with Client(responds_once=True) as client:
                for _ in range(times):
                    started_at = loop.time()
                    results.append(await _fetch(client, address, request))
                    assert loop.time() - started_at < _TIMEOUT_S / 2
        return behaviour, results

    return asyncio.run(body())


def _split(data: bytes) -> tuple[bytes, ...]:
    return tuple(bytes([byte]) for byte in data)


_OK = b'HTTP/1.1 200 OK\r\n'
_OLD = b'HTTP/1.0 200 OK\r\n'
_CLOSE = b'Connection: close\r\n'
# The packets of whole responses that end with their connection.
_UNFRAMED = {
    'one packet': (_OK + b'\r\n' + _BODY,),
    'head and part': (_OK + b'\r\n' + _BODY[:4], _BODY[4:]),
    'head alone': (_OK + b'\r\n', _BODY),
    'one-byte packets': _split(_OK + b'\r\n' + _BODY),
    'connection: close': (_OK + _CLOSE + b'\r\n' + _BODY,),
    'HTTP/1.0': (_OLD + b'\r\n' + _BODY,),
    'HTTP/1.0, close': (_OLD + _CLOSE + b'\r\n', _BODY),
}


@pytest.mark.parametrize('name', _UNFRAMED)
def test_unframed_response_ends_with_its_connection(name: str) -> None:
    """Without a length or chunks a closed connection ends the response."""
    server, responses = _run(_Script(_UNFRAMED[name], 'fin'), 'GET', 2)
    bodies = [r.body for r in responses if isinstance(r, Response)]
    assert bodies == [_BODY, _BODY]
    assert server.connections == server.requests == 2


@pytest.mark.parametrize('name', _UNFRAMED)
def test_unframed_response_that_is_reset_is_interrupted(name: str) -> None:
    """A reset connection ends no response."""
    server, responses = _run(_Script(_UNFRAMED[name], 'reset'), 'GET', 2)
    assert all(isinstance(r, InterruptedExchangeError) for r in responses)
    assert server.connections == server.requests == 2


def test_empty_unframed_response_is_whole() -> None:
    """A response without a length may have no body."""
    _, responses = _run(_Script((_OK + b'\r\n',), 'fin'), 'GET')
    assert [r.body for r in responses if isinstance(r, Response)] == [b'']


# The method, and the packet of a response that has no body by its status or
# method; the server leaves the connection open.
_BODILESS = {
    '204': ('GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
    '304': ('GET', b'HTTP/1.1 304 Not Modified\r\n\r\n'),
    '304 with length': (
        'GET',
        b'HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n',
    ),
    'HEAD': ('HEAD', _OK + b'\r\n'),
    'HEAD with length': ('HEAD', _OK + b'Content-Length: 9\r\n\r\n'),
    'HEAD with chunks': ('HEAD', _OK + b'Transfer-Encoding: chunked\r\n\r\n'),
    'HTTP/1.0 204': ('GET', b'HTTP/1.0 204 No Content\r\n\r\n'),
    'after 100': (
        'GET',
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n',
    ),
}


@pytest.mark.parametrize('name', _BODILESS)
def test_response_without_a_body_ends_at_once(name: str) -> None:
    """It isn't read until the connection closes."""
    method, packet = _BODILESS[name]
    server, responses = _run(_Script((packet,), 'open'), method, 2)
    assert [r.body for r in responses if isinstance(r, Response)] == [b'', b'']
    assert server.requests == 2


# The head's lines, and whether the server keeps the connection open after a
# response with a length.
_KEPT = {
    'HTTP/1.1': (_OK, True),
    'close': (_OK + _CLOSE, False),
    'close in capitals': (_OK + b'Connection: CLOSE\r\n', False),
    'close in a list': (_OK + b'Connection: X-Hop, close\r\n', False),
    'close on a second line': (
        _OK + b'Connection: X-Hop\r\nConnection: close\r\n',
        False,
    ),
    'HTTP/1.0': (_OLD, False),
    'HTTP/1.0, kept': (_OLD + b'Connection: Keep-Alive\r\n', True),
}


@pytest.mark.parametrize('name', _KEPT)
def test_connection_is_used_again_only_if_kept(name: str) -> None:
    """A server that says it closes gets no further request there."""
    head, is_kept = _KEPT[name]
    packet = head + b'Content-Length: 2\r\n\r\nok'
    server, responses = _run(_Script((packet,), 'open'), 'GET', 2)
    bodies = [r.body for r in responses if isinstance(r, Response)]
    assert bodies == [b'ok', b'ok']
    assert server.connections == (1 if is_kept else 2)
