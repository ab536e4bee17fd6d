"""The HTTP servers for operators: readiness, metrics and explanations."""

from __future__ import annotations

from http.client import responses
from typing import TYPE_CHECKING

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine

from ..decisions.memory import list_owners
from ..platform.routingquery import EXPLAIN_PATH
from .bodies import BodyCollector
from .bodies import BodyRules
from .call import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..metrics.registry import Metrics
    from ..web.memory import ProcessMemory

_OK = 200
_UNAVAILABLE = 503
# A query holds a body of up to 4 MiB, the usual limit, in Base64.
_MAX_QUERY_BYTES = 6 * 1024 * 1024


class _PlainResponder(HTTPMessageDelegate):
    """Answers any request with the status and body of ``respond``."""

    def __init__(
        self,
        connection: HTTPConnection,
        respond: Callable[[], tuple[int, bytes]],
    ) -> None:
        self._connection = connection
        self._respond = respond

    def finish(self) -> None:
        status, body = self._respond()
        line = ResponseStartLine('HTTP/1.1', status, responses[status])
        headers = HTTPHeaders({'Content-Length': str(len(body))})
        self._connection.write_headers(line, headers, body)
        self._connection.finish()


class ReadinessPort(HTTPServerConnectionDelegate):
    """Answers 200 while this VM accepts new callers, and 503 otherwise."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _PlainResponder(request_conn, self._respond)

    def _respond(self) -> tuple[int, bytes]:
        return (_OK if self._is_ready() else _UNAVAILABLE), b''


class _OperatorResponder(_PlainResponder):
    """Answers queries for where a request would be routed, or ``respond``."""

    def __init__(
        self,
        connection: HTTPConnection,
        respond: Callable[[], tuple[int, bytes]],
        explain: Callable[[bytes], tuple[int, bytes]],
        collector: BodyCollector,
        address: str,
    ) -> None:
        """Collect a query that an ``address`` sends."""
        super().__init__(connection, respond)
        self._explain = explain
        self._collector = collector
        self._address = address
        self._is_query = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        path = start_line.path.partition('?')[0]
        self._is_query = path == EXPLAIN_PATH and start_line.method == 'POST'
        if not self._is_query:
            return
        assert isinstance(self._connection, HTTP1Connection)
        self._connection.set_max_body_size(_MAX_QUERY_BYTES)
        owners = list_owners(self._address, '')
        rules = BodyRules(_MAX_QUERY_BYTES, owners)
        try:
            self._collector.start(headers, rules, self._end_unread)
        except Refusal as refusal:
            self._refuse(refusal)

    def data_received(self, chunk: bytes) -> None:
        if not self._is_query:
            return
        try:
            self._collector.add(chunk)
        except Refusal as refusal:
            self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        """Discard a query that does not fit into the memory."""
        self._is_query = False
        self._collector.abandon()
        error = {'code': refusal.reason, 'message': 'no memory for the query'}
        body = msgspec.json.encode({'error': error})
        self._respond = lambda: (refusal.status, body)

    def _end_unread(self, is_timeout: bool) -> None:
        """Close the connection of a query that makes no progress."""
        self._collector.abandon()
        assert isinstance(self._connection, HTTP1Connection)
        self._connection.stream.close()

    def on_connection_close(self) -> None:
        self._collector.abandon()

    def finish(self) -> None:
        if not self._is_query:
            super().finish()
            return
        body = self._collector.finish()
        self._respond = lambda: self._explain(bytes(body.data))
        try:
            super().finish()
        finally:
            body.release()


class MetricsPort(HTTPServerConnectionDelegate):
    """Serves operators: the metrics of this process, and explanations."""

    def __init__(
        self,
        metrics: Metrics,
        explain: Callable[[bytes], tuple[int, bytes]],
        memory: ProcessMemory,
        clock: Clock,
    ) -> None:
        """Answer a query with the status and body that ``explain`` returns.

        Queries count in the ``memory`` of the process.
        """
        self._metrics = metrics
        self._explain = explain
        self._memory = memory
        self._clock = clock

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(server_conn, HTTP1ServerConnection)
        return _OperatorResponder(
            request_conn,
            lambda: (_OK, self._metrics.render()),
            self._explain,
            BodyCollector(self._memory, self._clock),
            server_conn.context.remote_ip,  # type: ignore[attr-defined]
        )


__all__ = ['MetricsPort', 'ReadinessPort']
