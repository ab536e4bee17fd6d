"""HTTP exchanges that know whether any byte of a request was sent."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from ..errors import LentilrunError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import TracebackType

    from ..config.ini import Address

_CONNECT_TIMEOUT = 1.0
_MAX_HEADER = 64 * 1024
_MAX_BODY = 64 * 1024 * 1024
_MAX_IDLE = 64
_PIECE_BYTES = 64 * 1024
_MAX_FOREIGN_ANSWERS = 4
# Sent bytes that stay unacknowledged for so long end a connection, and so
# does a far end that leaves probes unanswered: a VM without power or
# behind a partition says nothing.
_UNACKNOWLEDGED_MS = 1000
_PROBE_IDLE_S = 1
_PROBE_PAUSE_S = 1
_PROBES = 2
# Far ends say for how long they keep an idle connection; it is given up
# this much earlier, as a request may cross their closing.
_KEEP_MARGIN_S = 0.7
_KEPT_BY_DEFAULT_S = 60.0
_KEPT = re.compile(r'timeout=(\d+)')


class NotSentError(LentilrunError):
    """No connection was made, so no byte of the request left."""


class InterruptedExchangeError(LentilrunError):
    """The exchange broke after bytes of the request may have left."""


class Request(NamedTuple):
    """A request; ``timeout`` in seconds covers the whole exchange."""

    method: str
    path: str
    headers: dict[str, str] | HTTPHeaders
    body: bytes
    timeout: float


class Response(NamedTuple):
    """A whole response."""

    status: int
    headers: HTTPHeaders
    body: bytes


class ResponseHandler:
    """Takes a response as it arrives; collects it unless overridden.

    ``stop`` closes the connection, so that the exchange is interrupted.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self.stop: Callable[[], None] = lambda: None

    def is_response_to_request(self, headers: HTTPHeaders) -> bool:
        """Return whether an answer belongs to the request.

        One that does not is skipped, and the next one is read.
        """
        return True

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Take the status and headers."""
        self.status = status
        self.headers = headers
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a piece of the body."""
        self._chunks.append(chunk)
        return None

    def response(self) -> Response:
        """Return the whole response."""
        return Response(self.status, self.headers, b''.join(self._chunks))


def _read_kept(headers: HTTPHeaders) -> float:
    """Return for how long the far end keeps an idle connection."""
    found = _KEPT.search(headers.get('Keep-Alive', ''))
    return float(found[1]) if found else _KEPT_BY_DEFAULT_S


class _Delegate(HTTPMessageDelegate):
    def __init__(self, stream: IOStream, receiver: ResponseHandler) -> None:
        self._stream = stream
        self._receiver = receiver
        self.is_foreign = False
        self.finished = False
        self.keep_alive = False
        self.kept = 0.0

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
        self.kept = _read_kept(headers)
        self.keep_alive = framed and asked != 'close'
        self.is_foreign = not self._receiver.is_response_to_request(headers)
        if self.is_foreign:
            return None
        return self._receiver.receive_head(start_line.code, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.is_foreign:
            return None
        return self._receiver.receive_chunk(chunk)

    def finish(self) -> None:
        self.finished = True
        if self._stream.writing():
            # The answer came before the request was read to its end: the
            # rest of the body would be taken for the next request.
            self.keep_alive = False
            self._stream.close()


class _Connection(HTTP1Connection):
    """Reads answers without a length as they arrive."""

    async def _read_body_until_close(
        self, delegate: HTTPMessageDelegate
    ) -> None:
        while True:
            try:
                chunk = await self.stream.read_bytes(
                    _PIECE_BYTES, partial=True
                )
            except StreamClosedError:
                break
            taken = delegate.data_received(chunk)
            if taken is not None:
                await taken
        if self.stream.error is not None:
            # A reset is no end: the answer may not be whole.
            raise StreamClosedError(self.stream.error)


class _Idle(NamedTuple):
    """A connection without a request; ``until`` in monotonic seconds."""

    stream: IOStream
    until: float


def _make_socket() -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setblocking(False)
    tcp = socket.IPPROTO_TCP
    made.setsockopt(tcp, socket.TCP_NODELAY, 1)
    made.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(tcp, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    made.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_PAUSE_S)
    made.setsockopt(tcp, socket.TCP_KEEPCNT, _PROBES)
    return made


class Client:
    """A pool of connections by address; closes them all on exit."""

    def __init__(
        self,
        connect_timeout: float = _CONNECT_TIMEOUT,
        max_idle: int = _MAX_IDLE,
    ) -> None:
        """Keep ``max_idle`` connections an address; times in seconds."""
        self._connect_timeout = connect_timeout
        self._max_idle = max_idle
        self._idle: dict[Address, list[_Idle]] = {}
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
        for address in list(self._idle):
            self.close_idle(address)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for idle in self._idle.pop(address, []):
            idle.stream.close()

    def _reuse(self, address: Address) -> IOStream | None:
        idle = self._idle.get(address, [])
        while idle:
            stream, until = idle.pop()
            stream.set_close_callback(None)
            if stream.closed():
                continue
            # Bytes that came without a request belong to none.
            if until > time.monotonic() and not stream._read_buffer_size:
                return stream
            stream.close()
        return None

    def _keep(self, address: Address, stream: IOStream, kept: float) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self._max_idle or kept <= _KEEP_MARGIN_S:
            stream.close()
            return
        # A close callback makes the stream watch for the far end closing.
        stream.set_close_callback(lambda: None)
        until = time.monotonic() + kept - _KEEP_MARGIN_S
        idle.append(_Idle(stream, until))

    async def _connect(self, address: Address, timeout: float) -> IOStream:
        limit = min(self._connect_timeout, timeout)
        stream = IOStream(_make_socket(), max_buffer_size=_MAX_BODY)
        try:
            async with asyncio.timeout(limit):
                await stream.connect((address.host, address.port))
        except (OSError, TimeoutError, StreamClosedError) as error:
            stream.close()
            raise NotSentError(f'no connection to {address}') from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return stream

    async def exchange(
        self,
        address: Address,
        request: Request,
        receiver: ResponseHandler,
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
        keeping = 0.0
        try:
            async with asyncio.timeout(request.timeout):
                keeping = await self._converse(
                    stream, address, request, receiver
                )
        except (StreamClosedError, OSError) as error:
            text = f'{address} closed the connection'
            raise InterruptedExchangeError(text) from error
        except TimeoutError as error:
            text = f'{address} gave no answer in time'
            raise InterruptedExchangeError(text) from error
        finally:
            if not keeping:
                stream.close()
        if keeping:
            self._keep(address, stream, keeping)

    async def _converse(
        self,
        stream: IOStream,
        address: Address,
        request: Request,
        receiver: ResponseHandler,
    ) -> float:
        """Return for how long the connection may be kept, in seconds."""
        connection = _Connection(stream, True, self._parameters)
        self._write(connection, address, request)
        for _ in range(_MAX_FOREIGN_ANSWERS):
            delegate = _Delegate(stream, receiver)
            try:
                kept = await connection.read_response(delegate)
            except StreamClosedError:
                if not delegate.finished or delegate.is_foreign:
                    raise
                return 0.0
            if not delegate.finished:
                break
            if not delegate.is_foreign:
                return delegate.kept if kept and delegate.keep_alive else 0.0
            if not kept:
                break
            connection = _Connection(stream, True, self._parameters)
            connection.finish()
        raise InterruptedExchangeError(f'{address} cut the answer off')

    @staticmethod
    def _write(
        connection: HTTP1Connection, address: Address, request: Request
    ) -> None:
        headers = HTTPHeaders(request.headers)
        headers.setdefault('Host', str(address))
        if request.body or request.method not in ('GET', 'HEAD'):
            headers['Content-Length'] = str(len(request.body))
        start = RequestStartLine(request.method, request.path, 'HTTP/1.1')
        connection.write_headers(start, headers, request.body or None)
        connection.finish()

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        """Send a request once and return the whole response."""
        receiver = ResponseHandler()
        await self.exchange(address, request, receiver, reuse)
        return receiver.response()


__all__ = [
    'Client',
    'InterruptedExchangeError',
    'NotSentError',
    'Request',
    'Response',
    'ResponseHandler',
]
