"""Relaying of a target's response: whole, or event by event."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from ..decisions.streamorder import StreamRun
from ..platform import dialect
from ..platform.dialect import ResponseHead
from ..web.eventstream import EventBuffer
from ..web.responses import is_framed
from ..web.responses import ResponseHandler

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from ..decisions.streamorder import Selection
    from ..decisions.streamorder import StreamProgress
    from ..decisions.streamorder import Verdict
    from ..web.memory import MemoryBudget
    from .call import ResponseWriter

_OK = 200
_NO_CONTENT = 204
_SUCCESS_STATUS_END = 300
_MAX_EVENT_BYTES = 4 * 1024 * 1024
# Of the events that are held, this much does not count in the memory
# of all responses, so that usual streams go on while others exhaust it.
_UNCOUNTED_EVENT_BYTES = 64 * 1024


class StreamTrace(NamedTuple):
    """What one attempt received of a stream.

    ``first_id`` and ``last_id`` are the numbers of its first and last event,
    nothing if no event had one. A response that ``is_framed`` has a length or
    comes in chunks; any other one ends with its connection. The router ended
    the attempt if it sent a ``fault``.
    """

    is_framed: bool
    first_id: int | None
    last_id: int | None
    fault: Verdict | None


class ResponseReceiver(ResponseHandler):
    """Receives the response to an attempt; relays a stream as it arrives."""

    def __init__(
        self,
        request_id: str,
        writer: ResponseWriter,
        progress: StreamProgress,
        record_first_event: Callable[[], None],
        expects_body: bool = True,
    ) -> None:
        """Expect no events of a stream unless ``expects_body``."""
        super().__init__()
        self.head: ResponseHead | None = None
        self.caller_disconnected = False
        # Called before the first byte of the request is sent.
        self.on_start: Callable[[], None] = lambda: None
        # Called once the head of the response has arrived.
        self.on_head: Callable[[ResponseHead], None] = lambda _: None
        # Called with each part of the response.
        self.on_data: Callable[[], None] = lambda: None
        self._request_id = request_id
        self._writer = writer
        self._progress = progress
        self._record_first_event = record_first_event
        self._expects_body = expects_body
        self._is_relayed = False
        self._is_framed = True
        self._run = StreamRun(progress)
        self._fault: Verdict | None = None
        self._buffer = EventBuffer()

    def start(self, close: Callable[[], None], memory: MemoryBudget) -> None:
        """Record that the request is sent over a connection now."""
        super().start(close, memory)
        self.on_start()

    def is_response_to_request(self, headers: HTTPHeaders) -> bool:
        """Return whether a response belongs to the request."""
        return dialect.is_response_to(headers, self._request_id)

    def is_identified(self, headers: HTTPHeaders) -> bool:
        """Return whether a response states which request it is for."""
        return dialect.has_request_id(headers)

    def is_rejection(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether a response states that the request was not run.

        Targets that refuse a request may not echo its ID.
        """
        return dialect.read_response_head(status, headers).not_run

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Receive the head; decide whether the response is relayed."""
        super().receive_head(status, headers)
        self.on_data()
        head = dialect.read_response_head(status, headers)
        self.head = head
        self._is_relayed = (
            status == _OK
            and head.is_stream
            and head.is_signed
            and not head.is_encoded
            and not head.not_run
        )
        self._is_framed = is_framed(headers)
        self.on_head(head)
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay complete events; collect a response that is not relayed.

        An event of more than ``_MAX_EVENT_BYTES``, or beyond the memory of
        all responses, stops the exchange. What was received before a stop,
        but is handled after it, is dropped.
        """
        self.on_data()
        if not self._is_relayed:
            return super().receive_chunk(chunk)
        if self.is_stopped:
            return None
        events = self._buffer.add(chunk)
        size = len(self._buffer)
        # Complete events are held until the caller has taken them.
        held_bytes = size + len(events)
        counted_bytes = max(0, held_bytes - _UNCOUNTED_EVENT_BYTES)
        if size > _MAX_EVENT_BYTES or not self.hold(counted_bytes):
            self._buffer.take_rest()
            self.stop()
            return None
        if not events:
            return None
        return self._relay(self._run.select(events))

    def trace(self) -> StreamTrace | None:
        """Return what was received of a stream; nothing if it is none."""
        if not self._is_relayed:
            return None
        run = self._run
        return StreamTrace(
            self._is_framed, run.first_id, run.last_id, self._fault
        )

    async def _relay(self, selection: Selection) -> None:
        if selection.events:
            self._record_first_event()
        try:
            await self._send(selection)
        except StreamClosedError:
            self.caller_disconnected = True
            self.stop()
        if selection.fault is not None:
            self._fault = selection.fault
            self.stop()

    async def _send(self, selection: Selection) -> None:
        has_started = self._progress.has_started
        self._run.record(selection)
        if not selection.events:
            return
        if has_started:
            await self._writer.write(selection.events)
            return
        headers = dialect.make_response_headers(self.headers)
        await self._writer.begin(self.status, headers, selection.events)

    def is_truncated(self) -> bool:
        """Return whether a stream has broken off, though it looks complete.

        It has if it ends within an event. A crashed target may also close
        its connection before the first event, and the connection's end is
        the end of a stream without a length.
        """
        if self._buffer.is_within_event():
            return True
        if not self._is_relayed or not self.has_unknown_end():
            return False
        return self._progress.is_empty()

    def has_unknown_end(self) -> bool:
        """Return whether a success ended with its connection only."""
        if not self._expects_body or self.status == _NO_CONTENT:
            return False
        is_success = _OK <= self.status < _SUCCESS_STATUS_END
        return is_success and not self._is_framed

    def is_stream(self) -> bool:
        """Return whether the response is a stream that is relayed."""
        return self._is_relayed

    def is_usable(self) -> bool:
        """Return whether the response may be passed to the caller as it is."""
        head = self.head
        if head is None:
            return False
        if _OK <= head.status < _SUCCESS_STATUS_END:
            return head.is_signed and not head.is_encoded
        return not head.is_encoded

    def is_beside_stream(self) -> bool:
        """Return whether the response is no stream, though one was begun.

        The caller has events from an earlier attempt, whose stream this
        response neither continues nor ends.
        """
        return self._progress.has_started and not self._is_relayed

    async def deliver(self) -> None:
        """Send the whole response, or complete a stream that was relayed."""
        if self._progress.has_started:
            blank_lines = self._buffer.take_rest()
            if blank_lines:
                await self._writer.write(blank_lines)
            await self._writer.finish()
            return
        headers = dialect.make_response_headers(self.headers)
        await self._writer.send(self.status, headers, self.take_body())

    def end(self) -> None:
        """Record that the exchange has ended; what it collected is kept."""

    def release(self) -> None:
        """Drop what was collected, as it was delivered or is not needed.

        Receivers are parts of reference cycles, which may live longer.
        """
        self.take_body()
        self._buffer.take_rest()
        super().end()


__all__ = ['ResponseReceiver', 'StreamTrace']
