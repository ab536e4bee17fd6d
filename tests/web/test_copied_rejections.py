"""Late copies of rejections that state no request ID."""

from __future__ import annotations

import asyncio
import socket
from typing import NamedTuple

from lentilrun.config.ini import Address
from lentilrun.decisions.streamorder import StreamProgress
from lentilrun.gateway.relay import ResponseReceiver
from lentilrun.web.client import Client
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import Request
import pytest
from rawservers import NoWriter
from rawservers import read_request_id
from rawservers import ServedConnection

_TIMEOUT_S = 2.0
_OK = 200
_REJECTED = 503
_REJECTIONS = {
    'full': b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n',
    'misdirected': b'HTTP/1.1 421 Misdirected\r\nX-Instance-Id: i\r\n',
}


class _Server:
    """Rejects some requests; a copy comes before the next response.

    ``runs`` holds the names of the requests that it ran, ``connections`` how
    many were opened.
    """

    def __init__(self, rejection: bytes, rejected: set[str]) -> None:
        self._rejection = rejection + b'Content-Length: 0\r\n\r\n'
        self._rejected = rejected
        self.runs: list[str] = []
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        copy = b''
        async with ServedConnection(writer):
            while True:
                name = await read_request_id(reader)
                if name in self._rejected:
                    writer.write(copy + self._rejection)
                    copy = self._rejection
                    continue
                self.runs.append(name)
                writer.write(
                    copy + b'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n'
                    b'X-Request-Id: %b\r\nContent-Length: 2\r\n\r\nok'
                    % name.encode()
                )
                copy = b''


async def _ask(
    client: Client, address: Address, name: str, idempotent: bool
) -> int:
    """Return the status that a request gets, 0 if it broke."""
    receiver = ResponseReceiver(
        name, NoWriter(), StreamProgress(0), lambda: None
    )
    request = Request(
        'POST',
        '/',
        {'X-Request-Id': name},
        b'{}',
        _TIMEOUT_S,
        idempotent=idempotent,
    )
    try:
        await client.exchange(address, request, receiver)
    except InterruptedExchangeError:
        return 0
    return receiver.status


class _Case(NamedTuple):
    """Requests in order: their names and whether they are idempotent."""

    requests: list[tuple[str, bool]]
    rejected: set[str]
    # The connections that they need at most.
    connections: int


_CASES = {
    'unsafe_after_safe': _Case(
        [('a', True), ('b', False), ('c', False)], {'a'}, 2
    ),
    'unsafe_after_unsafe': _Case(
        [('a', False), ('b', False), ('c', False)], {'a'}, 2
    ),
    'rejected_twice': _Case(
        [('a', True), ('b', True), ('c', False), ('d', False)], {'a', 'b'}, 2
    ),
    'safe_between': _Case(
        [('a', True), ('b', True), ('c', False), ('d', True)], {'a'}, 2
    ),
    'no_rejection': _Case([('a', False), ('b', True), ('c', False)], set(), 1),
}


@pytest.mark.parametrize('rejection', _REJECTIONS.values(), ids=_REJECTIONS)
@pytest.mark.parametrize('case', _CASES.values(), ids=_CASES)
def test_copy_of_a_rejection(case: _Case, rejection: bytes) -> None:
    """Guards against unsafe requests that ran and count as rejected."""

    async def body() -> None:
        server = _Server(rejection, case.rejected)
        listener = socket.create_server(('127.0.0.1', 0))
        address = Address('127.0.0.1', listener.getsockname()[1])
        async with await asyncio.start_server(server.serve, sock=listener):
            with Client() as client:
                for name, idempotent in case.requests:
                    status = await _ask(client, address, name, idempotent)
                    if name in case.rejected:
                        assert status != _OK
                    elif not idempotent:
                        assert status == _OK
                        assert server.runs.count(name) == 1
                await asyncio.sleep(0)
        assert server.connections <= case.connections

    asyncio.run(body())
