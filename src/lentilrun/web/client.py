"""HTTP client that reports whether any byte of a request was sent.

A failed exchange raises ``NotSentError`` if the request can't have run at
the server, and ``InterruptedExchangeError`` if it may have.
"""

from __future__ import annotations

import asyncio
import re
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from ..decisions.memory import Kind
from ..errors import LentilrunError
from .body import BodyBuffer
from .body import read_body
from .memory import DEFAULT_MEMORY_LIMITS
from .memory import MemoryBudget
from .sockets import abort
from .sockets import DEFAULT_ACK_TIMEOUT_S
from .sockets import has_input
from .sockets import make_socket
from .sockets import RequestStream
from .sockets import set_ack_timeout
from .turns import TurnQueue

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import TracebackType

    from tornado.iostream import IOStream

    from ..config.ini import Address
    from .body import Body
    from .memory import MemoryLimits
    from .memory import ProcessMemory

_CONNECT_TIMEOUT_S = 1.0
_MAX_HEADER_BYTES = 64 * 1024
_MAX_BODY_BYTES = 64 * 1024 * 1024
# What is received but not handled yet; larger than any head or chunk.
_MAX_BUFFERED_BYTES = 1024 * 1024
_MAX_IDLE_CONNECTIONS = 64
_READ_CHUNK_BYTES = 64 * 1024
# What a response may take of the event loop before others have their turn.
# The least that handling a chunk costs counts as this many bytes.
_TURN_BYTES = 64 * 1024
_CHUNK_COST_BYTES = 1024
# Larger bodies are written apart from the head, as joining copies them.
_JOINED_BODY_BYTES = 16 * 1024
_MAX_MISMATCHED_RESPONSES = 4
# Servers state for how long they keep an idle connection open. The client
# stops using it this much earlier, as a request may otherwise be sent while
# the server closes the connection.
_IDLE_TIMEOUT_MARGIN_S = 0.7
_DEFAULT_IDLE_TIMEOUT_S = 60.0
# The same for a connection over which the server has not stated a time yet.
_UNUSED_IDLE_TIMEOUT_S = 3.0
_MIN_STATUS = 100
_SWITCHING_PROTOCOLS = 101
_STATUS_END = 600
_HTTP_1_0 = 'HTTP/1.0'
_IDLE_TIMEOUT_PATTERN = re.compile(r'timeout=(\d+)')


class NotSentError(LentilrunError):
    """No connection was made, so no byte of the request was sent."""


class InterruptedExchangeError(LentilrunError):
    """The exchange failed after bytes of the request may have been sent."""


class ExchangeTimeoutError(InterruptedExchangeError):
    """The client itself ended the exchange at the request's timeout."""


class Request(NamedTuple):
    """A request; times in seconds.

    ``timeout`` covers the whole exchange; within ``ack_timeout`` the server
    must acknowledge what it is sent, or the connection is closed.
    A request with an ``identity`` isn't sent over the connection whose last
    request had the same one: a late copy of the response to that would be
    taken for the response to this. For the same reason one that isn't
    ``idempotent`` isn't sent over a connection with a rejection that stated
    no request.
    """

    method: str
    path: str
    headers: dict[str, str] | HTTPHeaders
    body: bytes | Body
    timeout: float
    ack_timeout: float = DEFAULT_ACK_TIMEOUT_S
    identity: str = ''
    idempotent: bool = True


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: HTTPHeaders
    body: bytes


class ResponseHandler:
    """Handles a response as it arrives; collects it unless overridden."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.is_stopped = False
        # Whether the request was sent over a connection that was open before.
        self.is_on_kept_connection = False
        self._body = BodyBuffer()
        self._collected_bytes = 0
        self._close: Callable[[], None] | None = None
        self._memory: MemoryBudget | None = None

    def stop(self) -> None:
        """End the exchange; a request that was not sent yet is not sent."""
        self.is_stopped = True
        if self._close is not None:
            self._close()

    def start(self, close: Callable[[], None], memory: MemoryBudget) -> None:
        """Record how to close the connection that is used from now on.

        What is collected counts in ``memory`` until ``end``.
        """
        self._close = close
        self._memory = memory

    def end(self) -> None:
        """Record that the exchange has ended."""
        if self._memory is not None:
            self._memory.release(self._collected_bytes)
        self._memory = None
        self._collected_bytes = 0

    def is_response_to_request(self, headers: HTTPHeaders) -> bool:
        """Return whether a response belongs to the request.

        The client skips a response that doesn't, and reads the next one.
        """
        return True

    def is_identified(self, headers: HTTPHeaders) -> bool:
        """Return whether a response states which request it is for.

        Any other response, unless it is a rejection, is believed only as the
        first on its connection, which isn't used again: servers may send a
        response twice. A client whose servers don't never asks.
        """
        return False

    def is_rejection(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether a response states that the request was not run.

        Without the request that it is for, it is believed, but may be a copy.
        """
        return False

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Handle the status and headers."""
        self.status = status
        self.headers = headers
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a chunk of the body.

        A response that exceeds the memory limits ends the exchange.
        """
        if self.hold(self._collected_bytes + len(chunk)):
            self._body.append(chunk)
        return None

    def hold(self, size: int) -> bool:
        """Count ``size`` bytes as held in memory; return whether they fit.

        If they don't, what was collected is dropped and the exchange ends.
        """
        memory = self._memory
        added = size - self._collected_bytes
        if memory is not None and not memory.take(
            self._collected_bytes, added
        ):
            self._body.take()
            self.stop()
            return False
        self._collected_bytes = size
        return True

    def response(self) -> Response:
        """Return the response that was collected."""
        body = bytes(self._body.take())
        self._body.append(body)
        return Response(self.status, self.headers, body)

    def take_body(self) -> bytes | bytearray:
        """Remove and return the body that was collected."""
        return self._body.take()


def is_framed(headers: HTTPHeaders) -> bool:
    """Return whether a response has a length or comes in chunks.

    Any other one ends with its connection.
    """
    encoding = headers.get('Transfer-Encoding', '').lower()
    return 'Content-Length' in headers or encoding == 'chunked'


def _is_status(code: int) -> bool:
    """Return whether a response to a request of this client may have it.

    The client never asks for another protocol, which would begin after 101.
    """
    return _MIN_STATUS <= code < _STATUS_END and code != _SWITCHING_PROTOCOLS


def _is_kept_open(version: str, headers: HTTPHeaders) -> bool:
    """Return whether a server keeps the connection after a response.

    HTTP/1.0 servers do so only if they state it.
    """
    text = headers.get('Connection', '').lower()
    options = {option.strip() for option in text.split(',')}
    if version == _HTTP_1_0:
        return 'keep-alive' in options
    return 'close' not in options


def _is_refusal(error: BaseException | None) -> bool:
    """Return whether a connection failed as nothing takes any."""
    if isinstance(error, StreamClosedError):
        error = error.real_error
    return isinstance(error, ConnectionRefusedError)


def _read_idle_timeout(headers: HTTPHeaders) -> float:
    """Return for how long the server keeps idle connections, in seconds."""
    match = _IDLE_TIMEOUT_PATTERN.search(headers.get('Keep-Alive', ''))
    return float(match[1]) if match else _DEFAULT_IDLE_TIMEOUT_S


class _ResponseDelegate(HTTPMessageDelegate):
    def __init__(
        self,
        stream: IOStream,
        handler: ResponseHandler,
        is_reused: bool,
        has_copies: bool,
        turns: TurnQueue,
    ) -> None:
        """Expect copies of responses on the stream if it ``has_copies``."""
        self._turns = turns
        self._turn_bytes = 0
        self._stream = stream
        self._handler = handler
        self._is_reused = is_reused
        self._has_copies = has_copies
        self.is_mismatched = False
        self.is_rejected = False
        # Whether a late copy of the response would be taken for the next one.
        self.is_copyable = False
        self.finished = False
        self.keep_alive = False
        self.idle_timeout = 0.0

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        if self.is_rejected:
            # Buffered bytes are read though the connection is closed.
            return None
        if not _is_status(start_line.code):
            self._reject()
            return None
        if start_line.code < 200:
            return None
        self.idle_timeout = _read_idle_timeout(headers)
        self.keep_alive = is_framed(headers) and _is_kept_open(
            start_line.version, headers
        )
        self.is_mismatched = not self._handler.is_response_to_request(headers)
        if self.is_mismatched:
            if not is_framed(headers):
                # No response follows one that ends with its connection.
                self._reject()
            return None
        if self._has_copies and not self._handler.is_identified(headers):
            self.is_copyable = self._handler.is_rejection(
                start_line.code, headers
            )
            self.keep_alive &= self.is_copyable
            if self._is_reused and not self.is_copyable:
                self._reject()
                return None
        return self._handler.receive_head(start_line.code, headers)

    def _reject(self) -> None:
        """End the exchange: no later bytes are the response either."""
        self.is_mismatched = True
        self.is_rejected = True
        self._stream.close()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        handling = None
        if not self.is_mismatched:
            handling = self._handler.receive_chunk(chunk)
        self._turn_bytes += len(chunk) + _CHUNK_COST_BYTES
        if self._turn_bytes < _TURN_BYTES:
            return handling
        self._turn_bytes = 0
        return self._end_turn(handling)

    async def _end_turn(self, handling: Awaitable[None] | None) -> None:
        """Finish handling a chunk, then give way to other tasks."""
        if handling is not None:
            await handling
        await self._turns.wait()

    def finish(self) -> None:
        self.finished = True
        if self._stream.writing():
            # The server responded before it read the whole request; it would
            # read the rest of the body as the next request.
            self.keep_alive = False
            self._stream.close()


class _ClientConnection(HTTP1Connection):
    """Passes on responses without a length as they arrive."""

    stream: RequestStream

    def make_successor(self) -> _ClientConnection:
        """Return a connection that reads another response."""
        connection = _ClientConnection(self.stream, True, self.params)
        # Responses to HEAD have no body.
        connection._request_start_line = self._request_start_line
        connection.finish()
        return connection

    async def _read_body_until_close(
        self, delegate: HTTPMessageDelegate
    ) -> None:
        while True:
            try:
                chunk = await self.stream.read_bytes(
                    _READ_CHUNK_BYTES, partial=True
                )
            except StreamClosedError:
                break
            handling = delegate.data_received(chunk)
            if handling is not None:
                await handling
        if self.stream.error is not None:
            # After a reset the response may be incomplete.
            raise StreamClosedError(self.stream.error)
        if self.stream.is_request_cut:
            # A server that has not taken the request may break off as well
            # as end its response: nothing tells them apart.
            raise InterruptedExchangeError(
                'the connection ended before the request was sent'
            )


class _KeptCancellation:
    """Raises ``CancelledError`` if the task was cancelled meanwhile.

    Tornado replaces what is raised while a handler waits with an exception of
    its own, so that a cancellation would look like a closed connection.
    """

    def __enter__(self) -> None:
        self._requests = self._count_requests()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if error is None or isinstance(error, asyncio.CancelledError):
            return
        if self._count_requests() > self._requests:
            raise asyncio.CancelledError from error

    @staticmethod
    def _count_requests() -> int:
        task = asyncio.current_task()
        return task.cancelling() if task is not None else 0


class _IdleConnection(NamedTuple):
    """An open connection, usable until ``expires_at`` in monotonic seconds.

    ``identity`` is that of its last request. A copy of a rejection may follow
    if it ``may_have_copy``.
    """

    stream: IOStream
    expires_at: float
    identity: str
    may_have_copy: bool = False

    def may_carry(self, request: Request) -> bool:
        """Return whether a request may be sent over the connection."""
        if self.may_have_copy and not request.idempotent:
            return False
        return not request.identity or self.identity != request.identity


class _KeptConnection(NamedTuple):
    """How to keep a connection after an exchange.

    The server keeps it for ``idle_timeout`` seconds; 0 means that it can't be
    used again.
    """

    idle_timeout: float
    may_have_copy: bool = False


_NOT_KEPT = _KeptConnection(0.0)


def _plan_reuse(
    request: Request,
    delegate: _ResponseDelegate,
    idle: _IdleConnection | None,
) -> _KeptConnection:
    """Return how to keep a connection after a response to a request.

    ``idle`` is how it was kept before, nothing if it is new. After a rejection
    that may have been a copy itself, the response is still to come.
    """
    had_copy = idle is not None and idle.may_have_copy
    if not delegate.keep_alive:
        return _NOT_KEPT
    if delegate.is_copyable and (had_copy or not request.idempotent):
        return _NOT_KEPT
    return _KeptConnection(
        delegate.idle_timeout, had_copy or delegate.is_copyable
    )


class Client:
    """Pools connections by address; closes the idle ones on exit."""

    def __init__(
        self,
        connect_timeout: float = _CONNECT_TIMEOUT_S,
        max_idle: int = _MAX_IDLE_CONNECTIONS,
        memory_limits: MemoryLimits = DEFAULT_MEMORY_LIMITS,
        memory: ProcessMemory | None = None,
        kind: Kind = Kind.RESPONSE,
        responds_once: bool = False,
    ) -> None:
        """Keep up to ``max_idle`` idle connections for each address.

        ``connect_timeout`` is in seconds. Responses count in the ``memory``
        of the process, if there is one, as this ``kind``. Servers may send a
        response twice, unless each of them ``responds_once``.
        """
        self._responds_once = responds_once
        self._turns = TurnQueue()
        self._memory = MemoryBudget(memory_limits, memory, kind)
        self._connect_timeout = connect_timeout
        self._max_idle = max_idle
        self._idle: dict[Address, list[_IdleConnection]] = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=_MAX_HEADER_BYTES, max_body_size=_MAX_BODY_BYTES
        )

    def __enter__(self) -> Client:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close_all_idle()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for idle in self._idle.pop(address, []):
            idle.stream.close()

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _pop_idle(
        self, address: Address, request: Request
    ) -> _IdleConnection | None:
        idle = self._idle.get(address, [])
        for index in reversed(range(len(idle))):
            if not idle[index].may_carry(request):
                continue
            connection = idle.pop(index)
            stream = connection.stream
            stream.set_close_callback(None)
            if stream.closed():
                continue
            # Bytes received while idle belong to no request: the stream
            # can't be used again.
            is_clean = not stream._read_buffer_size and not has_input(stream)
            if connection.expires_at > time.monotonic() and is_clean:
                return connection
            stream.close()
        return None

    def _add_idle(
        self,
        address: Address,
        stream: IOStream,
        kept: _KeptConnection,
        identity: str = '',
    ) -> None:
        idle = self._idle.setdefault(address, [])
        if (
            len(idle) >= self._max_idle
            or kept.idle_timeout <= _IDLE_TIMEOUT_MARGIN_S
        ):
            stream.close()
            return
        # Only with a close callback does a stream notice that the server
        # closes the connection.
        stream.set_close_callback(lambda: None)
        idle_timeout = kept.idle_timeout - _IDLE_TIMEOUT_MARGIN_S
        expires_at = time.monotonic() + idle_timeout
        idle.append(
            _IdleConnection(stream, expires_at, identity, kept.may_have_copy)
        )

    async def _connect(
        self, address: Address, timeout: float
    ) -> RequestStream:
        connect_timeout = min(self._connect_timeout, timeout)
        stream = RequestStream(
            make_socket(), max_buffer_size=_MAX_BUFFERED_BYTES
        )
        try:
            async with asyncio.timeout(connect_timeout):
                await stream.connect((address.host, address.port))
        except (OSError, TimeoutError, StreamClosedError) as error:
            stream.close()
            raise NotSentError(f'no connection to {address}') from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return stream

    async def open_idle(self, address: Address) -> bool:
        """Open a connection and keep it; return whether it was made."""
        try:
            await self._add_unused(address)
        except NotSentError:
            return False
        return True

    async def is_refused(self, address: Address) -> bool:
        """Return whether a server refuses connections; keep one if not."""
        try:
            await self._add_unused(address)
        except NotSentError as error:
            return _is_refusal(error.__cause__)
        return False

    async def _add_unused(self, address: Address) -> None:
        """Open a connection and keep it; raises ``NotSentError``."""
        stream = await self._connect(address, self._connect_timeout)
        self._add_idle(
            address, stream, _KeptConnection(_UNUSED_IDLE_TIMEOUT_S)
        )

    async def exchange(
        self,
        address: Address,
        request: Request,
        handler: ResponseHandler,
        reuse: bool = True,
    ) -> None:
        """Send a request once and pass the response to the handler.

        A request is never sent twice. With ``reuse`` it may be sent over an
        idle connection, which the server may close at the same time.
        Raises ``NotSentError`` or ``InterruptedExchangeError``.
        """
        idle = None
        # HEAD uses a connection of its own: beside its response, which has a
        # length but no body, the end of a late copy can't be found.
        if reuse and request.method != 'HEAD':
            idle = self._pop_idle(address, request)
        if idle is not None:
            stream = idle.stream
        else:
            stream = await self._connect(address, request.timeout)
        if handler.is_stopped:
            stream.close()
            raise NotSentError(f'stopped before it was sent to {address}')
        set_ack_timeout(stream, request.ack_timeout)
        handler.is_on_kept_connection = idle is not None
        handler.start(lambda: abort(stream), self._memory)
        kept = _NOT_KEPT
        is_complete = False
        try:
            async with asyncio.timeout(request.timeout):
                with _KeptCancellation():
                    kept = await self._send_and_receive(
                        stream, address, request, handler, idle
                    )
            is_complete = True
        except TimeoutError as error:
            message = f'{address} gave no answer in time'
            raise ExchangeTimeoutError(message) from error
        except (StreamClosedError, OSError) as error:
            message = f'{address} closed the connection'
            raise InterruptedExchangeError(message) from error
        except ValueError as error:
            message = f'{address} sent a malformed response: {error!r}'
            raise InterruptedExchangeError(message) from error
        finally:
            handler.end()
            if not is_complete:
                abort(stream)
            elif not kept.idle_timeout:
                stream.close()
        if kept.idle_timeout:
            self._add_idle(address, stream, kept, request.identity)

    async def _send_and_receive(
        self,
        stream: IOStream,
        address: Address,
        request: Request,
        handler: ResponseHandler,
        idle: _IdleConnection | None,
    ) -> _KeptConnection:
        """Return whether and how the connection can be used again."""
        connection = _ClientConnection(stream, True, self._parameters)
        try:
            self._write_request(connection, address, request)
        except ValueError as error:
            raise NotSentError(f'no HTTP request: {error!r}') from error
        for _ in range(_MAX_MISMATCHED_RESPONSES):
            delegate = _ResponseDelegate(
                stream,
                handler,
                idle is not None,
                not self._responds_once,
                self._turns,
            )
            try:
                is_open = await connection.read_response(delegate)
            except StreamClosedError:
                if not delegate.finished or delegate.is_mismatched:
                    raise
                return _NOT_KEPT
            if (
                not delegate.finished
                or delegate.is_rejected
                or handler.is_stopped
            ):
                # A response without a length seems complete when the
                # handler closes its connection.
                break
            if not delegate.is_mismatched:
                if not is_open or request.method == 'HEAD':
                    return _NOT_KEPT
                return _plan_reuse(request, delegate, idle)
            if not is_open:
                break
            connection = connection.make_successor()
        raise InterruptedExchangeError(f'{address} cut the answer off')

    @staticmethod
    def _write_request(
        connection: HTTP1Connection, address: Address, request: Request
    ) -> None:
        headers = HTTPHeaders(request.headers)
        headers.setdefault('Host', str(address))
        body = read_body(request.body)
        if body or request.method not in ('GET', 'HEAD'):
            headers['Content-Length'] = str(len(body))
        start = RequestStartLine(request.method, request.path, 'HTTP/1.1')
        if len(body) <= _JOINED_BODY_BYTES:
            connection.write_headers(start, headers, bytes(body) or None)
        else:
            connection.write_headers(start, headers)
            connection.write(memoryview(body))  # type: ignore[arg-type]
        connection.finish()

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        """Send a request once and return the complete response.

        Its response states no request. If it could be a copy of another one,
        the exchange has a connection of its own, even with ``reuse``.
        Raises ``NotSentError`` or ``InterruptedExchangeError``.
        """
        handler = ResponseHandler()
        reuse = reuse and self._responds_once
        await self.exchange(address, request, handler, reuse)
        return handler.response()


__all__ = [
    'Client',
    'ExchangeTimeoutError',
    'InterruptedExchangeError',
    'is_framed',
    'NotSentError',
    'Request',
    'Response',
    'ResponseHandler',
]
