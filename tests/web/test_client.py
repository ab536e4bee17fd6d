"""The client's errors state whether any byte of a request was sent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from lentilrun.config.ini import Address
from lentilrun.entry.relay import ResponseReceiver
from lentilrun.entry.relay import StreamState
from lentilrun.web.client import Client
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import NotSentError
from lentilrun.web.client import Request
from lentilrun.web.client import ResponseHandler
import pytest

_REQUEST = Request('POST', '/', {}, b'body', 0.5)
_ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def _respond_with(data: bytes) -> _ConnectionHandler:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'body')
        writer.write(data)
        await writer.drain()
        writer.close()

    return serve


async def _never_respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()
    writer.close()


async def _exchange(
    serve: _ConnectionHandler, receiver: ResponseHandler
) -> None:
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        with Client() as client:
            address = Address('127.0.0.1', port)
            await client.exchange(address, _REQUEST, receiver)


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe',
        b'nonsense\r\n\r\n',
    ],
)
def test_truncated_response_is_interrupted(data: bytes) -> None:
    """An incomplete response is never returned as a complete one."""
    with pytest.raises(InterruptedExchangeError):
        asyncio.run(_exchange(_respond_with(data), ResponseHandler()))


def test_missing_response_is_interrupted() -> None:
    """Without a response in time the request may have run."""
    with pytest.raises(InterruptedExchangeError):
        asyncio.run(_exchange(_never_respond, ResponseHandler()))


def test_stopped_request_is_not_sent() -> None:
    """A caller that leaves while the client connects causes no request."""
    received: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.append(await reader.read())
        writer.close()

    handler = ResponseHandler()
    handler.stop()
    with pytest.raises(NotSentError):
        asyncio.run(_exchange(serve, handler))
    assert not b''.join(received)


def test_stopped_response_is_not_complete() -> None:
    """A response without a length does not end because it was stopped."""

    class _Stopping(ResponseHandler):
        def receive_chunk(self, chunk: bytes) -> None:
            self.stop()

    serve = _respond_with(b'HTTP/1.1 200 OK\r\n\r\nfirst event')
    with pytest.raises(InterruptedExchangeError):
        asyncio.run(_exchange(serve, _Stopping()))


def test_no_connection_is_not_sent() -> None:
    """Without a listening server no byte of the request is sent."""

    async def main() -> None:
        with Client() as client:
            await client.fetch(Address('127.0.0.1', 1), _REQUEST)

    with pytest.raises(NotSentError):
        asyncio.run(main())


class _ResponseWriter:
    def __init__(self) -> None:
        self.data = b''

    def begin(self, status: int, headers: object) -> None:
        self.data += b''

    async def write(self, data: bytes) -> None:
        self.data += data


@pytest.mark.parametrize('owner', ['other', 'mine'])
@pytest.mark.parametrize('kind', ['text/event-stream', 'text/plain'])
def test_response_to_another_attempt_is_dropped(owner: str, kind: str) -> None:
    """No byte of a response to another attempt reaches the caller.

    A faulty target may send the response to another attempt.
    """
    body = b'id: 1\ndata: secret\n\n'
    head = (
        f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n'
        f'Content-Type: {kind}\r\nX-Attempt-Id: {owner}\r\n\r\n'
    )
    response_writer = _ResponseWriter()
    receiver = ResponseReceiver(StreamState('mine'), response_writer)
    try:
        asyncio.run(_exchange(_respond_with(head.encode() + body), receiver))
    except InterruptedExchangeError:
        assert owner == 'other'
    assert receiver.misdelivered is (owner == 'other')
    received = response_writer.data + receiver.response().body
    assert (b'secret' in received) is (owner == 'mine')
