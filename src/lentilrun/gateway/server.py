"""The port for callers: runs their requests as calls."""

from __future__ import annotations

import asyncio
import functools
import inspect
import math
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import StreamClosedError

from ..decisions.memory import list_owners
from ..platform import dialect
from ..web.quietness import is_active
from ..web.quietness import is_quiet
from .bodies import BodyRules
from .call import Reason
from .call import Refusal
from .requestreceiver import RequestReceiver

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from ..coordination.clock import Clock
    from ..decisions.connections import ConnectionTable
    from ..web.memory import ProcessMemory
    from .call import Call
    from .call import Cancellation
    from .call import IncomingRequest
    from .call import ResponseWriter
    from .connectionwriter import ConnectionWriter
    from .limitedlog import LimitedLog
    from .logs import Log
    from .requestreceiver import OpenRequest

_INTERNAL_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_LEAVING_RETRY_S = 0.1
# A caller that has not read its response this long after its deadline is
# disconnected.
_DELIVERY_GRACE_S = 1.0
# A refused request's body is discarded for this long, as callers that send it
# would otherwise not read the response.
_MAX_DISCARDING_S = 3.0
# Beyond this number the earliest of them are closed: each connection whose
# body is read holds the last 64 KiB of it.
_MAX_DISCARDING = 32
# The largest body unless the owner of a port limits it.
DEFAULT_BODY_BYTES = 16 * 1024 * 1024
_STALLED_RETRY_S = 1.0
_MAX_CACHED_OWNERS = 1024

_list_owners = functools.lru_cache(_MAX_CACHED_OWNERS)(list_owners)


class CallHandler:
    """What ``CallerPort`` does with a request; its owner implements it."""

    def admit(self, incoming: IncomingRequest) -> Call:
        """Return an admitted call; raises ``Refusal``."""
        raise NotImplementedError

    async def run(
        self,
        call: Call,
        writer: ResponseWriter,
        cancellation: Cancellation | None = None,
    ) -> None:
        """Run a call; raises ``Refusal`` if no target answered it."""
        raise NotImplementedError

    def record_end(self, call: Call, refusal: Refusal | None) -> None:
        """Record how a call ended."""
        raise NotImplementedError

    def limit_body(self) -> int:
        """Return the largest body that is admitted, in bytes."""
        return DEFAULT_BODY_BYTES

    def identify(self, headers: HTTPHeaders) -> str:
        """Return the workspace of a request, empty if it has none."""
        return ''

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a call waits, so that no target has it."""
        return False

    def record_unread(self, refusal: Refusal) -> None:
        """Record a request that was refused before its body was read."""

    def make_refusal_headers(
        self, request_id: str, refusal: Refusal
    ) -> HTTPHeaders:
        """Return the headers of a refusal."""
        return dialect.make_refusal_headers(request_id, refusal.retry_after)


class PortLimits(NamedTuple):
    """What the connections and requests of a port are counted in."""

    memory: ProcessMemory
    table: ConnectionTable[IOStream]
    log: LimitedLog


class CallerPort(HTTPServerConnectionDelegate):
    """Answers callers; ``in_flight`` has the open requests by task."""

    def __init__(
        self,
        handler: CallHandler,
        clock: Clock,
        log: Log,
        limits: PortLimits,
    ) -> None:
        self._handler = handler
        self._log = log
        self._table = limits.table
        self._limited_log = limits.log
        self.memory = limits.memory
        # Those of requests whose body is received, by connection.
        self.receivers: dict[IOStream, RequestReceiver] = {}
        # Since when the bodies of refused requests are discarded.
        self.refused: dict[RequestReceiver, float] = {}
        self.clock = clock
        self.is_leaving = False
        self.is_closed = False
        # Calls are ended, as the process stops.
        self.is_ending = False
        self.in_flight: dict[asyncio.Task[None], OpenRequest] = {}
        # Since when no request was found on a connection, the earliest first.
        self._idle: dict[HTTP1ServerConnection, float] = {}

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(server_conn, HTTP1ServerConnection)
        assert isinstance(request_conn, HTTP1Connection)
        self.mark_idle(server_conn)
        return RequestReceiver(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a connection that was closed."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._idle.pop(server_conn, None)

    def mark_busy(self, server_connection: HTTP1ServerConnection) -> None:
        """Mark a connection that has a request in flight."""
        self._idle.pop(server_connection, None)

    def mark_progress(self, server_connection: HTTP1ServerConnection) -> None:
        """Mark a connection over which a part of a request has arrived."""
        self._table.mark_progress(server_connection.stream, self.clock.now())

    def mark_received(self, server_connection: HTTP1ServerConnection) -> None:
        """Mark a connection whose request has arrived, and may run."""
        self._table.mark_busy(server_connection.stream)

    def make_rules(self, headers: HTTPHeaders, address: str) -> BodyRules:
        """Return what applies to a body from an address."""
        owners = _list_owners(address, self._handler.identify(headers))
        return BodyRules(self._handler.limit_body(), owners)

    def refuse_unread(
        self,
        headers: HTTPHeaders,
        writer: ConnectionWriter,
        refusal: Refusal,
    ) -> None:
        """Refuse a request whose body was not read."""
        self._handler.record_unread(refusal)
        request_id = dialect.read_request_id(headers)
        self._limited_log.write(
            f'refused_{refusal.reason}',
            id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            held=self.memory.used,
            connections=self.memory.connection_bytes,
            budget=self.memory.plan.total,
        )
        response_headers = self._handler.make_refusal_headers(
            request_id, refusal
        )
        body = msgspec.json.encode({'error': refusal.reason})
        writer.send_unread(refusal.status, response_headers, body)

    def end_connection(self, stream: IOStream) -> None:
        """Close a connection whose request has not arrived in full."""
        receiver = self.receivers.get(stream)
        self._limited_log.write(
            'connection_closed',
            connections=len(self._table),
            limit=self._table.limit,
        )
        if receiver is not None:
            receiver.end(
                Refusal(_UNAVAILABLE, Reason.NO_CONNECTION, _STALLED_RETRY_S)
            )
        stream.close()

    def limit_refused(self) -> None:
        """Close the earliest refused requests if there are too many."""
        while len(self.refused) > _MAX_DISCARDING:
            next(iter(self.refused)).close()

    def close_refused(self, now: float) -> None:
        """Close connections whose bodies were discarded for long enough."""
        for receiver, since in list(self.refused.items()):
            if now - since > _MAX_DISCARDING_S:
                receiver.close()

    def mark_idle(self, server_connection: HTTP1ServerConnection) -> None:
        """Mark a connection on which no request has been found."""
        if server_connection.stream.closed():
            return
        now = self.clock.now()
        self._table.mark_progress(server_connection.stream, now)
        self._idle.pop(server_connection, None)
        self._idle[server_connection] = now

    def close(self) -> None:
        """Close quiet connections and refuse further requests.

        Those that have arrived are refused once they were read.
        """
        self.is_closed = True
        streams = [c.stream for c in self._idle]
        self._log.write(
            'port_closed',
            connections=len(self._table),
            idle=len(streams),
            unread=sum(not is_quiet(s) for s in streams),
            receiving=len(self.receivers),
        )
        self.close_quiet()

    def close_quiet(self) -> None:
        """Close the connections without a request or a response."""
        for connection in list(self._idle):
            if is_quiet(connection.stream):
                del self._idle[connection]
                connection.stream.close()

    def close_idle(self, before: float) -> None:
        """Close connections on which no request was found since a time.

        One on which bytes have arrived is kept until they were handled.
        """
        for connection, since in list(self._idle.items()):
            if since >= before:
                return
            if not is_active(connection.stream):
                del self._idle[connection]
                connection.stream.close()

    def has_open(self) -> bool:
        """Return whether a request or a response is not complete."""
        is_receiving = len(self.receivers) > len(self.refused)
        return bool(self.in_flight or self._idle) or is_receiving

    def end_unread(self) -> None:
        """Refuse requests whose bodies are late, and end late heads."""
        refusal = Refusal(_UNAVAILABLE, Reason.LEAVING, _LEAVING_RETRY_S)
        for receiver in list(self.receivers.values()):
            receiver.end(refusal)
        self.close_idle(math.inf)

    def end_calls(self) -> None:
        """Refuse the calls whose responses have not begun.

        A task that has not begun would send no response if it were
        cancelled; it refuses its request, as the port is closed.
        """
        self.is_ending = True
        for task, request in list(self.in_flight.items()):
            if not request.writer.has_begun and _has_begun(task):
                task.cancel()

    def log_unread_request(self, incoming: IncomingRequest) -> None:
        """Log a request whose connection was closed before it was run."""
        request_id = dialect.read_request_id(incoming.headers)
        event = 'closed_unread' if self.is_closed else 'caller_gone'
        self._log.write(event, id=request_id)

    def log_open(self) -> None:
        """Log each request that is still open."""
        now = self.clock.now()
        for request in self.in_flight.values():
            request_id = request.identify()
            self._log.write(
                'open_at_end',
                id=request_id,
                seconds=round(now - request.incoming.arrived_at, 3),
                waits=self._handler.is_waiting(request_id),
                begun=request.writer.has_begun,
            )

    async def respond(
        self,
        incoming: IncomingRequest,
        writer: ConnectionWriter,
        cancellation: Cancellation,
    ) -> None:
        """Answer one request: run it as a call, or refuse it."""
        try:
            call = self._admit(incoming)
        except Refusal as refusal:
            await self._refuse(incoming, writer, refusal)
            return
        call_refusal = await self._run(call, writer, cancellation)
        self._handler.record_end(call, call_refusal)
        if call_refusal is not None:
            await self._refuse(incoming, writer, call_refusal)

    def check_open(self) -> None:
        """Raise ``Refusal`` if the port takes no more requests."""
        if self.is_closed:
            raise Refusal(_UNAVAILABLE, Reason.LEAVING, _LEAVING_RETRY_S)

    def _admit(self, incoming: IncomingRequest) -> Call:
        self.check_open()
        try:
            return self._handler.admit(incoming)
        except Refusal:
            raise
        except Exception as error:
            request_id = dialect.read_request_id(incoming.headers)
            self._log.write('request_error', id=request_id, error=repr(error))
            raise Refusal(_INTERNAL_ERROR, Reason.INTERNAL) from error

    async def _run(
        self, call: Call, writer: ConnectionWriter, cancellation: Cancellation
    ) -> Refusal | None:
        time_left = max(0.0, call.deadline - self.clock.now())
        try:
            async with asyncio.timeout(
                time_left + _DELIVERY_GRACE_S
            ) as delivery:
                await self._handler.run(call, writer, cancellation)
        except Refusal as refusal:
            return refusal
        except TimeoutError as error:
            if not delivery.expired():
                return self._record_error(call, error)
            self._log.write('caller_slow', id=call.request_id)
            writer.abort()
        except StreamClosedError:
            self._log.write('caller_gone', id=call.request_id)
        except asyncio.CancelledError:
            if self.is_ending and not writer.is_closed():
                return self._end_call()
            self._log.write('caller_gone', id=call.request_id)
            raise
        except Exception as error:
            return self._record_error(call, error)
        return None

    def _end_call(self) -> Refusal:
        """Go on after ``end_calls``; a target may still run the call."""
        task = asyncio.current_task()
        assert task is not None
        task.uncancel()
        return Refusal(_BAD_GATEWAY, Reason.LEAVING)

    def _record_error(self, call: Call, error: Exception) -> Refusal:
        self._log.write('request_error', id=call.request_id, error=repr(error))
        return Refusal(_BAD_GATEWAY, Reason.INTERNAL)

    async def _refuse(
        self,
        incoming: IncomingRequest,
        writer: ConnectionWriter,
        refusal: Refusal,
    ) -> None:
        request_id = dialect.read_request_id(incoming.headers)
        self._log.write(
            'refused',
            id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            seconds=round(self.clock.now() - incoming.arrived_at, 3),
        )
        if writer.has_begun:
            writer.abort()
            return
        headers = self._handler.make_refusal_headers(request_id, refusal)
        body = msgspec.json.encode({'error': refusal.reason})
        try:
            await writer.send(refusal.status, headers, body)
        except StreamClosedError:
            self._log.write('caller_gone', id=request_id)


def _has_begun(task: asyncio.Task[None]) -> bool:
    coroutine = task.get_coro()
    assert inspect.iscoroutine(coroutine)
    state = inspect.getcoroutinestate(coroutine)
    return state != inspect.CORO_CREATED


__all__ = [
    'CallerPort',
    'CallHandler',
    'DEFAULT_BODY_BYTES',
    'PortLimits',
]
