"""Relaying of a target's answer: whole, or event by event."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from ..platform import dialect
from ..platform.dialect import ResponseHead
from ..web.client import ResponseHandler

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from .call import ResponseWriter

_EVENT_END = b'\n\n'
_EVENT_ID = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)
_OK = 200
_SUCCESS_END = 300
_MAX_EVENT_BYTES = 4 * 1024 * 1024


class StreamProgress:
    """What the caller has of a stream, over all attempts."""

    def __init__(self, last_event: int) -> None:
        self.last_event_id = last_event
        self.has_started = False

    def drop_seen(self, events: bytes) -> bytes:
        """Return the events that the caller has not seen."""
        numbers = [int(n) for n in _EVENT_ID.findall(events)]
        if not numbers or numbers[0] > self.last_event_id:
            self.last_event_id = max([self.last_event_id, *numbers])
            return events
        kept = []
        for event in events.split(_EVENT_END)[:-1]:
            found = _EVENT_ID.search(event)
            if found is None or int(found[1]) > self.last_event_id:
                kept.append(event + _EVENT_END)
        self.last_event_id = max([self.last_event_id, *numbers])
        return b''.join(kept)


class ResponseReceiver(ResponseHandler):
    """Takes the answer to one attempt; relays a stream as it comes."""

    def __init__(
        self,
        request_id: str,
        reply: ResponseWriter,
        progress: StreamProgress,
        note_first: Callable[[], None],
    ) -> None:
        super().__init__()
        self.head: ResponseHead | None = None
        self.caller_disconnected = False
        self._request_id = request_id
        self._reply = reply
        self._progress = progress
        self._note_first = note_first
        self._relays = False
        self._rest = b''

    def is_response_to_request(self, headers: HTTPHeaders) -> bool:
        """Return whether an answer belongs to the request."""
        return dialect.is_response_to(headers, self._request_id)

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Take the head of the answer."""
        super().receive_head(status, headers)
        answer = dialect.read_response_head(status, headers)
        self.head = answer
        self._relays = (
            status == _OK
            and answer.is_stream
            and answer.is_signed
            and not answer.is_encoded
        )
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay whole events, or collect a plain answer."""
        if not self._relays:
            return super().receive_chunk(chunk)
        data = self._rest + chunk
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._rest = data
            if len(data) > _MAX_EVENT_BYTES:
                self.stop()
            return None
        end += len(_EVENT_END)
        self._rest = data[end:]
        events = self._progress.drop_seen(data[:end])
        return self._relay(events) if events else None

    async def _relay(self, events: bytes) -> None:
        self._note_first()
        try:
            await self._send(events)
        except StreamClosedError:
            self.caller_disconnected = True
            self.stop()

    async def _send(self, events: bytes) -> None:
        if not self._progress.has_started:
            self._progress.has_started = True
            headers = dialect.make_response_headers(self.headers)
            await self._reply.begin(self.status, headers)
        await self._reply.write(events)

    def is_truncated(self) -> bool:
        """Return whether a stream ended within an event."""
        return bool(self._rest)

    def is_usable(self) -> bool:
        """Return whether the answer may be handed on as it is."""
        answer = self.head
        if answer is None:
            return False
        if _OK <= answer.status < _SUCCESS_END:
            return answer.is_signed and not answer.is_encoded
        return not answer.is_encoded

    async def deliver(self) -> None:
        """Hand the whole answer to the caller."""
        if self._progress.has_started:
            await self._reply.finish()
            return
        headers = dialect.make_response_headers(self.headers)
        body = self.response().body
        await self._reply.send(self.status, headers, body)


__all__ = ['ResponseReceiver', 'StreamProgress']
