"""Bytes that are no response fail the exchange, and nothing else."""

from __future__ import annotations

import asyncio

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.config.ini import Address
from lentilrun.decisions.streamorder import StreamProgress
from lentilrun.decisions.streamorder import StreamRun
from lentilrun.gateway.relay import ResponseReceiver
from lentilrun.web.client import Client
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import NotSentError
from lentilrun.web.client import Request
from lentilrun.web.client import ResponseHandler
import pytest
from tornado.httputil import HTTPHeaders

_REQUEST = Request('GET', '/', {}, b'', 2.0)
_EVENT = b'id: 1\ndata: x\n\n'
_RESPONSES = [
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
    b'HTTP/1.1 200 OK\r\n\r\nok',
    b'HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=5\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 304 Not Modified\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
    b'Content-Type: text/event-stream\r\nX-Response-Signature: s\r\n'
    b'X-Request-Id: r\r\n\r\n'
    b'%x\r\n%s\r\n0\r\n\r\n' % (len(_EVENT), _EVENT),
    b'HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\n'
    b'Content-Length: 0\r\nX-Weight-Versions: 3\r\n\r\n',
]
_LINES = st.sampled_from(
    [
        b'HTTP/1.1 200 OK',
        b'HTTP/1.1 999999 OK',
        b'HTTP/1.1 99 OK',
        b'HTTP/1.1 101 Switching',
        b'HTTP/2 200 OK',
        b'HTTP/1.1 ' + b'9' * 5000 + b' OK',
        b'HTTP/1.1 200',
    ]
)
_FIELDS = st.sampled_from(
    [
        b'Content-Length: 2',
        b'Content-Length: ' + b'9' * 5000,
        b'Content-Length: -1',
        b'Content-Length: 2, 3',
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: gzip, chunked',
        b'Transfer-Encoding: identity',
        b'Keep-Alive: timeout=' + b'9' * 5000,
        b'Connection: close',
        b': no name',
        b' folded',
        b'X-Weight-Versions: ' + b'9' * 5000,
        b'X-Request-Id: r',
        b'Content-Type: text/event-stream',
        b'X-Response-Signature: \xff\xfe',
        b'Name: \x00',
    ]
)
_BODIES = st.sampled_from(
    [
        b'ok',
        b'',
        b'2\r\nok\r\n0\r\n\r\n',
        b'f' * 5000 + b'\r\nok',
        b'2;x=y\r\nok\r\n0\r\n\r\n',
        b'-2\r\nok\r\n0\r\n\r\n',
        b'id: ' + b'9' * 5000 + b'\ndata: x\n\n',
    ]
)


@st.composite
def _draw_from_grammar(draw: st.DrawFn) -> bytes:
    lines = [draw(_LINES), *draw(st.lists(_FIELDS, max_size=4))]
    return b'\r\n'.join([*lines, b'', draw(_BODIES)])


@st.composite
def _draw_mutated(draw: st.DrawFn) -> bytes:
    data = bytearray(draw(st.sampled_from(_RESPONSES)))
    for _ in range(draw(st.integers(1, 4))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data)


class _Writer:
    async def begin(
        self, status: int, headers: HTTPHeaders, data: bytes
    ) -> None:
        assert status == 200
        assert data

    async def write(self, data: bytes) -> None:
        assert data

    async def finish(self) -> None:
        return

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        assert 200 <= status < 600


async def _exchange(data: bytes, handler: ResponseHandler) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    async with server:
        with Client() as client:
            await client.exchange(address, _REQUEST, handler)


@settings(deadline=None)
@given(
    st.binary(max_size=80)
    | st.binary(max_size=80).map(lambda data: b'HTTP/1.1 200 OK\r\n' + data)
    | _draw_from_grammar()
    | _draw_mutated()
)
@example(b'HTTP/1.1 ' + b'9' * 5000 + b' OK\r\n\r\n')
@example(b'HTTP/1.1 999999 OK\r\nContent-Length: 0\r\n\r\n')
@example(b'HTTP/1.1 99 OK\r\nContent-Length: 0\r\n\r\n')
@example(
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Response-Signature: s\r\n\r\nid: ' + b'9' * 5000 + b'\n\n'
)
def test_any_response(data: bytes) -> None:
    """An exchange ends with a response or is interrupted."""

    async def body() -> None:
        receiver = ResponseReceiver(
            'r', _Writer(), StreamProgress(0), lambda: None
        )
        try:
            await _exchange(data, receiver)
        except InterruptedExchangeError:
            return
        assert 200 <= receiver.status < 600
        if receiver.is_usable() and not receiver.is_truncated():
            await receiver.deliver()

    asyncio.run(body())


@pytest.mark.parametrize(
    ('last_event', 'number'),
    [(0, '9' * 5000), (int('9' * 18) - 1, '9' * 18), (6, '7')],
)
def test_event_id_of_any_length(last_event: int, number: str) -> None:
    """The next event is relayed whatever the length of its number."""
    run = StreamRun(StreamProgress(last_event))
    events = f'id: {number}\ndata: x\n\n'.encode()
    selection = run.select(events)
    assert (selection.events, selection.fault) == (events, None)


@pytest.mark.parametrize(
    ('name', 'value'), [('X', 'a\r\nb'), ('X', '\u20ac'), ('X', 'a\nb')]
)
def test_request_that_cannot_be_sent(name: str, value: str) -> None:
    """A header with bytes that HTTP has not is never sent."""
    received = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.append(await reader.read())
        writer.close()

    async def body() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        request = _REQUEST._replace(headers={name: value})
        async with server:
            with Client() as client:
                with pytest.raises(NotSentError):
                    await client.fetch(address, request)
            await asyncio.sleep(0.05)

    asyncio.run(body())
    assert not b''.join(received)
