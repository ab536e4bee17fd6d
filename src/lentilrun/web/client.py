"""HTTP client that reports whether any byte of a request was sent.

A failed exchange raises ``NotSentError`` if the request can't have run at
the server, and ``InterruptedExchangeError`` if it may have.
"""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine
from tornado.iostream import StreamClosedError

from ..decisions.memory import Kind
from .body import read_body
from .exchangeerrors import ExchangeTimeoutError
from .exchangeerrors import InterruptedExchangeError
from .exchangeerrors import NotSentError
from .idleconnections import IdleConnection
from .idleconnections import KeptConnection
from .idleconnections import NOT_KEPT
from .idleconnections import plan_reuse
from .memory import DEFAULT_MEMORY_LIMITS
from .memory import MemoryBudget
from .responsereading import ClientConnection
from .responsereading import ResponseDelegate
from .responses import is_framed
from .responses import Response
from .responses import ResponseHandler
from .sockets import abort
from .sockets import DEFAULT_ACK_TIMEOUT_S
from .sockets import has_input
from .sockets import make_socket
from .sockets import RequestStream
from .sockets import set_ack_timeout
from .turns import TurnQueue

if TYPE_CHECKING:
    from types import TracebackType

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
# Larger bodies are written apart from the head, as joining copies them.
_JOINED_BODY_BYTES = 16 * 1024
_MAX_MISMATCHED_RESPONSES = 4
# Servers state for how long they keep an idle connection open. The client
# stops using it this much earlier, as a request may otherwise be sent while
# the server closes the connection.
_IDLE_TIMEOUT_MARGIN_S = 0.7
# The same for a connection over which the server has not stated a time yet.
_UNUSED_IDLE_TIMEOUT_S = 3.0


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


def _is_refusal(error: BaseException | None) -> bool:
    """Return whether a connection failed as nothing takes any."""
    if isinstance(error, StreamClosedError):
        error = error.real_error
    return isinstance(error, ConnectionRefusedError)


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
        self._idle: dict[Address, list[IdleConnection]] = {}
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
    ) -> IdleConnection | None:
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
        stream: RequestStream,
        kept: KeptConnection,
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
            IdleConnection(stream, expires_at, identity, kept.may_have_copy)
        )

    async def _connect(
        self, address: Address, timeout: float
    ) -> RequestStream:
        connect_timeout = min(self._connect_timeout, timeout)
        stream = RequestStream(make_socket(), self._turns, _MAX_BUFFERED_BYTES)
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

    async def is_in_reach(self, address: Address) -> bool:
        """Return whether a server takes or refuses connections; keep one."""
        try:
            await self._add_unused(address)
        except NotSentError as error:
            return _is_refusal(error.__cause__)
        return True

    async def _add_unused(self, address: Address) -> None:
        """Open a connection and keep it; raises ``NotSentError``."""
        stream = await self._connect(address, self._connect_timeout)
        self._add_idle(address, stream, KeptConnection(_UNUSED_IDLE_TIMEOUT_S))

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
        kept = NOT_KEPT
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
        stream: RequestStream,
        address: Address,
        request: Request,
        handler: ResponseHandler,
        idle: IdleConnection | None,
    ) -> KeptConnection:
        """Return whether and how the connection can be used again."""
        connection = ClientConnection(stream, True, self._parameters)
        try:
            self._write_request(connection, address, request)
        except ValueError as error:
            raise NotSentError(f'no HTTP request: {error!r}') from error
        for _ in range(_MAX_MISMATCHED_RESPONSES):
            delegate = ResponseDelegate(
                stream, handler, idle is not None, not self._responds_once
            )
            try:
                is_open = await connection.read_response(delegate)
            except StreamClosedError:
                if not delegate.finished or delegate.is_mismatched:
                    raise
                return NOT_KEPT
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
                    return NOT_KEPT
                return plan_reuse(request, delegate, idle)
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

        The response isn't expected to state its request. If it could be a
        copy of another one, the exchange has a connection of its own, also
        with ``reuse``.
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
