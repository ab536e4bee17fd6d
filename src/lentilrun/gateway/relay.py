"""Relaying of a target's response: whole, or event by event."""

from __future__ import annotations

import re
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from ..platform import dialect
from ..platform.dialect import ResponseHead
from ..web.client import is_framed
from ..web.client import ResponseHandler
from ..web.eventstream import EventBuffer
from ..web.eventstream import split_events

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from .call import ResponseWriter

_EVENT_ID = re.compile(rb'^id: ?(\d{1,18})\r?$', re.MULTILINE)
_OK = 200
_SUCCESS_STATUS_END = 300
_MAX_EVENT_BYTES = 4 * 1024 * 1024
# Of an event that is not complete yet, this much does not count in the memory
# of all responses, so that usual streams go on while others exhaust it.
_UNCOUNTED_EVENT_BYTES = 64 * 1024


class StreamTrace(NamedTuple):
    """What one attempt received of a stream.

    ``first_id`` and ``last_id`` are the numbers of its first and last event,
    nothing if no event had one. A response that ``is_framed`` has a length or
    comes in chunks; any other one ends with its connection.
    """

    is_framed: bool
    first_id: int | None
    last_id: int | None


class StreamProgress:
    """What the caller has received of a stream, over all attempts.

    Events are numbered by their ``id``.
    """

    def __init__(self, last_event: int) -> None:
        self.last_event_id = last_event
        self.has_started = False

    def is_empty(self) -> bool:
        """Return whether the caller has received no event at all."""
        return not self.has_started and not self.last_event_id

    def drop_seen(self, events: bytes) -> bytes:
        """Return the events without those that the caller has received."""
        numbers = [int(n) for n in _EVENT_ID.findall(events)]
        if not numbers or numbers[0] > self.last_event_id:
            self.last_event_id = max([self.last_event_id, *numbers])
            return events
        unseen = []
        for event in split_events(events):
            match = _EVENT_ID.search(event)
            if match is None or int(match[1]) > self.last_event_id:
                unseen.append(event)
        self.last_event_id = max([self.last_event_id, *numbers])
        return b''.join(unseen)


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
        self._first_id: int | None = None
        self._last_id: int | None = None
        self._buffer = EventBuffer()

    def is_response_to_request(self, headers: HTTPHeaders) -> bool:
        """Return whether a response belongs to the request."""
        return dialect.is_response_to(headers, self._request_id)

    def is_identified(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether a response has an ID, or states "not run".

        Targets that refuse a request may not echo its ID.
        """
        if dialect.has_request_id(headers):
            return True
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
        )
        self._is_framed = is_framed(headers)
        self.on_head(head)
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay complete events; collect a response that is not relayed.

        An event of more than ``_MAX_EVENT_BYTES``, or beyond the memory of
        all responses, stops the exchange.
        """
        self.on_data()
        if not self._is_relayed:
            return super().receive_chunk(chunk)
        events = self._buffer.add(chunk)
        size = len(self._buffer)
        counted_bytes = max(0, size - _UNCOUNTED_EVENT_BYTES)
        if size > _MAX_EVENT_BYTES or not self.hold(counted_bytes):
            self._buffer.take_rest()
            self.stop()
            return None
        self._record_numbers(events)
        unseen = self._progress.drop_seen(events)
        return self._relay(unseen) if unseen else None

    def _record_numbers(self, events: bytes) -> None:
        numbers = _EVENT_ID.findall(events)
        if not numbers:
            return
        if self._first_id is None:
            self._first_id = int(numbers[0])
        self._last_id = int(numbers[-1])

    def trace(self) -> StreamTrace | None:
        """Return what was received of a stream; nothing if it is none."""
        if not self._is_relayed:
            return None
        return StreamTrace(self._is_framed, self._first_id, self._last_id)

    async def _relay(self, events: bytes) -> None:
        self._record_first_event()
        try:
            await self._send(events)
        except StreamClosedError:
            self.caller_disconnected = True
            self.stop()

    async def _send(self, events: bytes) -> None:
        if not self._progress.has_started:
            self._progress.has_started = True
            headers = dialect.make_response_headers(self.headers)
            await self._writer.begin(self.status, headers)
        await self._writer.write(events)

    def is_truncated(self) -> bool:
        """Return whether a stream has broken off, though it looks complete.

        It has if it ends within an event. A crashed target may also close
        its connection before the first event, and the connection's end is
        the end of a stream without a length.
        """
        if self._buffer.is_within_event():
            return True
        return (
            self._is_relayed
            and self._expects_body
            and not self._is_framed
            and self._progress.is_empty()
        )

    def is_usable(self) -> bool:
        """Return whether the response may be passed to the caller as it is."""
        head = self.head
        if head is None:
            return False
        if _OK <= head.status < _SUCCESS_STATUS_END:
            return head.is_signed and not head.is_encoded
        return not head.is_encoded

    async def deliver(self) -> None:
        """Send the whole response, or complete a stream that was relayed."""
        if self._progress.has_started:
            blank_lines = self._buffer.take_rest()
            if blank_lines:
                await self._writer.write(blank_lines)
            await self._writer.finish()
            return
        headers = dialect.make_response_headers(self.headers)
        body = self.response().body
        await self._writer.send(self.status, headers, body)


__all__ = ['ResponseReceiver', 'StreamProgress', 'StreamTrace']
