"""HTTP exchanges that know whether any byte of a request was sent."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from ..errors import LentilrunError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import TracebackType

    from tornado.iostream import IOStream

    from ..config.ini import Address

_CONNECT_TIMEOUT = 1.0
_MAX_HEADER = 64 * 1024
_MAX_BODY = 64 * 1024 * 1024
_MAX_IDLE = 64


class NotSentError(LentilrunError):
    """No connection was made, so no byte of the request left."""


class InterruptedExchangeError(LentilrunError):
    """The exchange broke after bytes of the request may have left."""


class Request(NamedTuple):
    """A request; ``timeout`` in seconds covers the whole exchange."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: float


class Response(NamedTuple):
    """A whole response."""

    status: int
    headers: HTTPHeaders
    body: bytes


class Receiver:
    """Takes a response as it arrives; collects it unless overridden.

    ``stop`` closes the connection, so that the exchange is interrupted.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self.stop: Callable[[], None] = lambda: None

    def begin(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Take the status and headers."""
        self.status = status
        self.headers = headers
        return None

    def take(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a piece of the body."""
        self._chunks.append(chunk)
        return None

    def response(self) -> Response:
        """Return the whole response."""
        return Response(self.status, self.headers, b''.join(self._chunks))


class _Delegate(HTTPMessageDelegate):
    def __init__(self, receiver: Receiver) -> None:
        self._receiver = receiver
        self.finished = False
        self.keep_alive = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < 200:
            return None
        framed = 'Content-Length' in headers or (
            headers.get('Transfer-Encoding', '').lower() == 'chunked'
        )
        asked = headers.get('Connection', '').lower()
        self.keep_alive = framed and asked != 'close'
        return self._receiver.begin(start_line.code, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._receiver.take(chunk)

    def finish(self) -> None:
        self.finished = True


class Client:
    """A pool of connections by address; closes them all on exit."""

    def __init__(self) -> None:
        self._tcp = TCPClient()
        self._idle: dict[Address, list[IOStream]] = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=_MAX_HEADER, max_body_size=_MAX_BODY
        )

    def __enter__(self) -> Client:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for streams in self._idle.values():
            for stream in streams:
                stream.close()
        self._idle.clear()

    def _reuse(self, address: Address) -> IOStream | None:
        streams = self._idle.get(address, [])
        while streams:
            stream = streams.pop()
            stream.set_close_callback(None)
            if not stream.closed():
                return stream
        return None

    def _keep(self, address: Address, stream: IOStream) -> None:
        streams = self._idle.setdefault(address, [])
        if len(streams) >= _MAX_IDLE:
            stream.close()
            return
        # A close callback makes the stream watch for the far end closing.
        stream.set_close_callback(lambda: None)
        streams.append(stream)

    async def _connect(self, address: Address, timeout: float) -> IOStream:
        limit = min(_CONNECT_TIMEOUT, timeout)
        try:
            async with asyncio.timeout(limit):
                stream = await self._tcp.connect(
                    address.host, address.port, max_buffer_size=_MAX_BODY
                )
        except (OSError, TimeoutError, StreamClosedError) as error:
            raise NotSentError(f'no connection to {address}') from error
        stream.set_nodelay(True)
        return stream

    async def exchange(
        self,
        address: Address,
        request: Request,
        receiver: Receiver,
        reuse: bool = True,
    ) -> None:
        """Send a request once and hand the response to the receiver.

        A request is never sent twice. With ``reuse`` an idle connection
        may carry it, whose far end may close at that moment.
        Raises ``NotSentError`` or ``InterruptedExchangeError``.
        """
        stream = self._reuse(address) if reuse else None
        if stream is None:
            stream = await self._connect(address, request.timeout)
        receiver.stop = stream.close
        delegate = _Delegate(receiver)
        kept = False
        try:
            async with asyncio.timeout(request.timeout):
                kept = await self._converse(stream, address, request, delegate)
        except (StreamClosedError, OSError) as error:
            text = f'{address} closed the connection'
            raise InterruptedExchangeError(text) from error
        except TimeoutError as error:
            text = f'{address} gave no answer in time'
            raise InterruptedExchangeError(text) from error
        finally:
            if not kept:
                stream.close()
        if not delegate.finished:
            raise InterruptedExchangeError(f'{address} cut the answer off')
        if delegate.keep_alive:
            self._keep(address, stream)
        else:
            stream.close()

    async def _converse(
        self,
        stream: IOStream,
        address: Address,
        request: Request,
        delegate: _Delegate,
    ) -> bool:
        connection = HTTP1Connection(stream, True, self._parameters)
        headers = HTTPHeaders(request.headers)
        headers['Host'] = str(address)
        headers['Content-Length'] = str(len(request.body))
        start = RequestStartLine(request.method, request.path, 'HTTP/1.1')
        connection.write_headers(start, headers, request.body)
        connection.finish()
        return await connection.read_response(delegate)

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        """Send a request once and return the whole response."""
        receiver = Receiver()
        await self.exchange(address, request, receiver, reuse)
        return receiver.response()


__all__ = [
    'Client',
    'InterruptedExchangeError',
    'NotSentError',
    'Receiver',
    'Request',
    'Response',
]
