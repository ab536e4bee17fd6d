"""Late copies of responses at the product's own interface for targets."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.config.ini import Address
from lentilrun.entry.relay import ResponseReceiver
from lentilrun.entry.relay import StreamState
from lentilrun.targets import kv
from lentilrun.targets import loads
from lentilrun.targets import requests
from lentilrun.targets.requests import ForwardedHeaders
from lentilrun.targets.requests import OutgoingRequest
from lentilrun.web.client import Client
import pytest
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_TIMEOUT_S = 2.0


class _NoWriter:
    """Gets nothing, as no stream is relayed."""

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        raise AssertionError

    async def write(self, data: bytes) -> None:
        raise AssertionError


class _Step(NamedTuple):
    """A request, and the body that a target responds to it with."""

    send: Callable[[Client, Address], Awaitable[object]]
    body: bytes
    result: object


async def _read_running(client: Client, address: Address) -> object:
    load = await loads.read_load(client, address)
    return load.running if load is not None else None


async def _export(client: Client, address: Address) -> object:
    return await kv.export_blocks(client, address, (1, 2), _TIMEOUT_S)


async def _call(client: Client, address: Address) -> object:
    receiver = ResponseReceiver(StreamState('attempt'), _NoWriter())
    forwarded = ForwardedHeaders('call', 'attempt', 'ws', '', 0, _TIMEOUT_S)
    outgoing = OutgoingRequest('POST', '/', {}, b'{}')
    await requests.send(client, address, outgoing, forwarded, receiver, True)
    return receiver.response().body


_LOAD = _Step(_read_running, b'{"running":3}', 3)
_LATER_LOAD = _Step(_read_running, b'{"running":4}', 4)
_EXPORT = _Step(_export, b'[1,2]', (1, 2))
_CALL = _Step(_call, b'"called"', b'"called"')
_LATER_CALL = _Step(_call, b'"again"', b'"again"')
_CASES = {
    'loads': [_LOAD, _LATER_LOAD, _LOAD],
    'call_after_load': [_LOAD, _CALL],
    'load_after_call': [_CALL, _LOAD],
    'export_after_load': [_LOAD, _EXPORT],
    'calls_without_id': [_CALL, _LATER_CALL],
}


@pytest.mark.parametrize('steps', _CASES.values(), ids=_CASES)
def test_copy_is_not_believed(steps: list[_Step]) -> None:
    """Guards against copies of own requests' responses taken as new ones."""
    bodies = iter([step.body for step in steps])

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        copy = b''
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                headers = HTTPHeaders.parse(head.partition('\r\n')[2])
                size = int(headers.get('Content-Length', '0'))
                await reader.readexactly(size)
                body = next(bodies)
                response = (
                    b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
                    % (len(body), body)
                )
                writer.write(copy + response)
                copy = response
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def body() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        async with server:
            with Client() as client:
                for step in steps:
                    assert await step.send(client, address) == step.result

    asyncio.run(body())
