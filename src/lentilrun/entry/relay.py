"""Relay of a target's response to a caller."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec
from tornado.iostream import StreamClosedError

from ..targets.requests import INCARNATION_HEADER
from ..targets.requests import is_response_to
from ..targets.requests import names_attempt
from ..web.eventstream import EventBuffer
from ..web.responses import ResponseHandler
from .eventorder import EventOrder
from .eventorder import is_last
from .eventorder import NewEvents

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.httputil import HTTPHeaders

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

    ``event_count`` also counts events without a number. ``incarnation`` is
    that of the target's process that makes the stream, if it is known.
    """

    def __init__(
        self, attempt_id: str, last_event_id: int = 0, incarnation: str = ''
    ) -> None:
        """Go on after ``last_event_id``, which the caller has."""
        self.attempt_id = attempt_id
        self.incarnation = incarnation
        self._order = EventOrder(last_event_id)
        self.event_count = 0
        self.is_done = False
        self.usage: _UsageBody | None = None

    @property
    def last_event_id(self) -> int:
        """Return the number of the last relayed event."""
        return self._order.last_number

    @property
    def has_event_ids(self) -> bool:
        """Return whether events have numbers, by which it can be resumed."""
        return self._order.has_numbers

    def begin_run(self, incarnation: str) -> bool:
        """Begin with the events of another response.

        Return whether it comes from the process that makes the stream; its
        ``incarnation`` is empty if the response doesn't state it.
        """
        if self.incarnation and incarnation not in ('', self.incarnation):
            return False
        self.incarnation = self.incarnation or incarnation
        self._order.begin_run()
        return True

    def take(self, data: bytes) -> NewEvents:
        """Return the new events of ``data``, up to a gap."""
        new = self._order.take(data)
        for event in new.events:
            self._record(event)
        return new

    def _record(self, event: bytes) -> None:
        self.event_count += 1
        if _USAGE in event:
            self.usage = parse_usage(_find_data(event)) or self.usage
        if is_last(event):
            self.is_done = True


class ResponseReceiver(ResponseHandler):
    """Receives the response to one attempt; relays it if it is a stream.

    ``misdelivered`` is set if the response belongs to another attempt or
    comes from another process of the target; nothing of it is relayed then.
    ``has_gap`` is set if events are missing.
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

    def is_identified(self, headers: HTTPHeaders) -> bool:
        """Return whether a response states which attempt it is for."""
        return names_attempt(headers)

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check that the response is to this attempt; detect streams."""
        super().receive_head(status, headers)
        content_type = headers.get('Content-Type', '')
        is_stream = status == _OK and content_type.startswith(_EVENT_STREAM)
        is_own = is_response_to(headers, self.stream.attempt_id)
        if is_own and is_stream:
            is_own = self.stream.begin_run(headers.get(INCARNATION_HEADER, ''))
        if not is_own:
            self.misdelivered = True
            self.stop()
            return None
        self.is_stream = is_stream
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay the complete events of a stream; collect other bodies.

        What was received before the exchange was stopped may still come.
        """
        if self.is_stopped:
            return None
        if not self.is_stream:
            return super().receive_chunk(chunk)
        events = self._buffer.add(chunk)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            self.stop()
            return None
        new = self.stream.take(events)
        self.has_gap = new.has_gap
        if new.events:
            return self._relay(b''.join(new.events))
        if new.has_gap:
            self.stop()
        return None

    async def _relay(self, data: bytes) -> None:
        if not self.relay_started:
            self.relay_started = True
            self.writer.begin(self.status, self.headers)
        try:
            await self.writer.write(data)
        except StreamClosedError:
            self.caller_disconnected = True
        if self.caller_disconnected or self.has_gap:
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
