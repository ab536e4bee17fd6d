"""Receivers that relay a target's answer to a caller."""

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

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.httputil import HTTPHeaders

_EVENT_END = b'\n\n'
_ID = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)
_DONE = b'data: [DONE]'
_USAGE = b'"usage"'
_EVENT_STREAM = 'text/event-stream'
_OK = 200
_MAX_EVENT = 4 * 1024 * 1024


class ResponseWriter(Protocol):
    """The way back to a caller."""

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Send the status and headers."""

    def write(self, data: bytes) -> Awaitable[None]:
        """Send a piece; raises ``StreamClosedError`` if it is gone."""


class _Details(TypedDict, total=False):
    cached_tokens: int


class _UsageBody(TypedDict, total=False):
    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: _Details | None


class _Answer(TypedDict, total=False):
    usage: _UsageBody | None


_decoder = msgspec.json.Decoder(_Answer)


def parse_usage(data: bytes) -> _UsageBody | None:
    """Return the usage that an answer states, if it does."""
    try:
        return _decoder.decode(data).get('usage')
    except msgspec.MsgspecError:
        return None


def _find_data(event: bytes) -> bytes:
    start = event.find(b'data:')
    return event[start + len(b'data:') :].strip() if start >= 0 else b''


class StreamState:
    """What was relayed of one stream, over all its connections."""

    def __init__(self, attempt: str) -> None:
        self.attempt_id = attempt
        self.last_event_id = 0
        self.event_count = 0
        self.has_event_ids = False
        self.is_done = False
        self.usage: _UsageBody | None = None

    def filter(self, data: bytes) -> bytes | None:
        """Return which events of ``data`` to relay; nothing on a gap.

        Events that were relayed before are left out. Events without a
        number are relayed as they are.
        """
        numbers = [int(n) for n in _ID.findall(data)]
        if numbers:
            self.has_event_ids = True
            first = self.last_event_id + 1
            if numbers != list(range(first, first + len(numbers))):
                kept = self._filter_slowly(data)
                if kept is None:
                    return None
                data = kept
            else:
                self.last_event_id = numbers[-1]
        self._note(data)
        return data

    def _filter_slowly(self, data: bytes) -> bytes | None:
        kept = []
        for event in data.split(_EVENT_END):
            if not event:
                continue
            found = _ID.search(event)
            number = int(found[1]) if found else self.last_event_id + 1
            if number <= self.last_event_id:
                continue
            if number > self.last_event_id + 1:
                return None
            self.last_event_id = number
            kept.append(event + _EVENT_END)
        return b''.join(kept)

    def _note(self, data: bytes) -> None:
        self.event_count += data.count(_EVENT_END)
        if _USAGE in data:
            for event in data.split(_EVENT_END):
                if _USAGE in event:
                    found = parse_usage(_find_data(event))
                    self.usage = found or self.usage
        if _DONE in data:
            self.is_done = True


class ResponseReceiver(ResponseHandler):
    """Takes the answer to one attempt; relays it at once if it streams.

    ``misdelivered`` is set if the answer belongs to another attempt; nothing
    of it is relayed.
    """

    def __init__(self, stream: StreamState, reply: ResponseWriter) -> None:
        super().__init__()
        self.stream = stream
        self.is_stream = False
        self.misdelivered = False
        self.has_gap = False
        self.caller_disconnected = False
        self.relay_started = False
        self.writer = reply
        self._buffer = b''

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check whose answer it is, and whether it streams."""
        super().receive_head(status, headers)
        if not is_response_to(headers, self.stream.attempt_id):
            self.misdelivered = True
            self.stop()
            return None
        kind = headers.get('Content-Type', '')
        self.is_stream = status == _OK and kind.startswith(_EVENT_STREAM)
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay the whole events of a stream; collect anything else."""
        if self.misdelivered:
            return None
        if not self.is_stream:
            return super().receive_chunk(chunk)
        data = self._buffer + chunk if self._buffer else chunk
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._buffer = data
            if len(data) > _MAX_EVENT:
                self.stop()
            return None
        end += len(_EVENT_END)
        self._buffer = data[end:]
        kept = self.stream.filter(data[:end])
        if kept is None:
            self.has_gap = True
            self.stop()
            return None
        return self._relay(kept) if kept else None

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
    """Tokens that a call used."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int

    def total(self) -> int:
        """Return the tokens charged for."""
        return self.prompt_tokens + self.output_tokens


def read_usage(receiver: ResponseReceiver, tokens: int) -> TokenUsage:
    """Return what an answer says was used, or else an estimate.

    ``tokens`` estimates those of the prompt.
    """
    stream = receiver.stream
    found = stream.usage
    if not receiver.is_stream and tokens:
        found = parse_usage(receiver.response().body)
    if found is None:
        output = stream.event_count if receiver.is_stream else 0
        return TokenUsage(tokens, 0, output)
    details = found.get('prompt_tokens_details') or {}
    return TokenUsage(
        found.get('prompt_tokens', tokens),
        details.get('cached_tokens', 0),
        found.get('completion_tokens', stream.event_count),
    )


__all__ = [
    'parse_usage',
    'read_usage',
    'ResponseReceiver',
    'ResponseWriter',
    'StreamState',
    'TokenUsage',
]
