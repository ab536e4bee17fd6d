"""Relay of a target's response to a caller."""

from __future__ import annotations

import re
from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec
from tornado.iostream import StreamClosedError

from ..targets.requests import is_response_to
from ..web.client import ResponseHandler
from ..web.eventstream import EventBuffer
from ..web.eventstream import split_events

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.httputil import HTTPHeaders

_EVENT_ID = re.compile(rb'^id: ?(\d{1,18})\r?$', re.MULTILINE)
_DONE = b'data: [DONE]'
_USAGE = b'"usage"'
_EVENT_STREAM = 'text/event-stream'
_OK = 200
_MAX_EVENT_BYTES = 4 * 1024 * 1024


class ResponseWriter(Protocol):
    """Sends a streamed response to a caller."""

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Send the status and headers."""

    def write(self, data: bytes) -> Awaitable[None]:
        """Send data.

        Raises ``StreamClosedError`` if the caller disconnected.
        """


class _PromptDetails(TypedDict, total=False):
    cached_tokens: int


class _UsageBody(TypedDict, total=False):
    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: _PromptDetails | None


class _ResponseBody(TypedDict, total=False):
    usage: _UsageBody | None


_decoder = msgspec.json.Decoder(_ResponseBody)


def parse_usage(data: bytes) -> _UsageBody | None:
    """Return the usage in a response or an event's data, if any."""
    try:
        return _decoder.decode(data).get('usage')
    except msgspec.MsgspecError:
        return None


def _find_data(event: bytes) -> bytes:
    start = event.find(b'data:')
    return event[start + len(b'data:') :].strip() if start >= 0 else b''


class StreamState:
    """The progress of one stream over all its connections.

    ``last_event_id`` is the number of the last relayed event;
    ``event_count`` also counts events without a number.
    """

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.last_event_id = 0
        self.event_count = 0
        self.has_event_ids = False
        self.is_done = False
        self.usage: _UsageBody | None = None

    def filter(self, data: bytes) -> bytes | None:
        """Return the new events of ``data``, or nothing on a gap.

        Events that were relayed before are left out. If no event has a
        number, all are returned unchanged.
        """
        numbers = [int(n) for n in _EVENT_ID.findall(data)]
        if numbers:
            self.has_event_ids = True
            first = self.last_event_id + 1
            if numbers != list(range(first, first + len(numbers))):
                new_events = self._filter_each_event(data)
                if new_events is None:
                    return None
                data = new_events
            else:
                self.last_event_id = numbers[-1]
        self._record_events(data)
        return data

    def _filter_each_event(self, data: bytes) -> bytes | None:
        new_events = []
        for event in split_events(data):
            id_match = _EVENT_ID.search(event)
            number = int(id_match[1]) if id_match else self.last_event_id + 1
            if number <= self.last_event_id:
                continue
            if number > self.last_event_id + 1:
                return None
            self.last_event_id = number
            new_events.append(event)
        return b''.join(new_events)

    def _record_events(self, data: bytes) -> None:
        events = split_events(data)
        self.event_count += len(events)
        if _USAGE in data:
            for event in events:
                if _USAGE in event:
                    usage = parse_usage(_find_data(event))
                    self.usage = usage or self.usage
        if _DONE in data:
            self.is_done = True


class ResponseReceiver(ResponseHandler):
    """Receives the response to one attempt; relays it if it is a stream.

    ``misdelivered`` is set if the response belongs to another attempt;
    nothing of it is relayed then. ``has_gap`` is set if events are
    missing.
    """

    def __init__(self, stream: StreamState, writer: ResponseWriter) -> None:
        super().__init__()
        self.stream = stream
        self.is_stream = False
        self.misdelivered = False
        self.has_gap = False
        self.caller_disconnected = False
        self.relay_started = False
        self.writer = writer
        self._buffer = EventBuffer()

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check that the response is to this attempt; detect streams."""
        super().receive_head(status, headers)
        if not is_response_to(headers, self.stream.attempt_id):
            self.misdelivered = True
            self.stop()
            return None
        content_type = headers.get('Content-Type', '')
        self.is_stream = status == _OK and content_type.startswith(
            _EVENT_STREAM
        )
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay the complete events of a stream; collect other bodies."""
        if self.misdelivered:
            return None
        if not self.is_stream:
            return super().receive_chunk(chunk)
        events = self._buffer.add(chunk)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            self.stop()
            return None
        new_events = self.stream.filter(events)
        if new_events is None:
            self.has_gap = True
            self.stop()
            return None
        return self._relay(new_events) if new_events else None

    async def _relay(self, data: bytes) -> None:
        if not self.relay_started:
            self.relay_started = True
            self.writer.begin(self.status, self.headers)
        try:
            await self.writer.write(data)
        except StreamClosedError:
            self.caller_disconnected = True
            self.stop()


class TokenUsage(NamedTuple):
    """The tokens that a call used; ``cached_tokens`` are of the prompt."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int

    def total(self) -> int:
        """Return the tokens that are charged."""
        return self.prompt_tokens + self.output_tokens


def read_usage(receiver: ResponseReceiver, prompt_tokens: int) -> TokenUsage:
    """Return the usage that a response states, or else an estimate.

    ``prompt_tokens`` is the estimate for the prompt; the estimated output
    is one token for each event of a stream.
    """
    stream = receiver.stream
    usage = stream.usage
    if not receiver.is_stream and prompt_tokens:
        usage = parse_usage(receiver.response().body)
    if usage is None:
        output_tokens = stream.event_count if receiver.is_stream else 0
        return TokenUsage(prompt_tokens, 0, output_tokens)
    details = usage.get('prompt_tokens_details') or {}
    return TokenUsage(
        usage.get('prompt_tokens', prompt_tokens),
        details.get('cached_tokens', 0),
        usage.get('completion_tokens', stream.event_count),
    )


__all__ = [
    'parse_usage',
    'read_usage',
    'ResponseReceiver',
    'ResponseWriter',
    'StreamState',
    'TokenUsage',
]
