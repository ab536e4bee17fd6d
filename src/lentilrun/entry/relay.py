"""Receivers that relay a target's answer to a caller."""

from __future__ import annotations

import re
from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec
from tornado.iostream import StreamClosedError

from ..targets.requests import belongs
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


class Reply(Protocol):
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
        self.attempt = attempt
        self.last = 0
        self.events = 0
        self.numbered = False
        self.done = False
        self.usage: _UsageBody | None = None

    def filter(self, data: bytes) -> bytes | None:
        """Return which events of ``data`` to relay; nothing on a gap.

        Events that were relayed before are left out. Events without a
        number are relayed as they are.
        """
        numbers = [int(n) for n in _ID.findall(data)]
        if numbers:
            self.numbered = True
            first = self.last + 1
            if numbers != list(range(first, first + len(numbers))):
                kept = self._filter_slowly(data)
                if kept is None:
                    return None
                data = kept
            else:
                self.last = numbers[-1]
        self._note(data)
        return data

    def _filter_slowly(self, data: bytes) -> bytes | None:
        kept = []
        for event in data.split(_EVENT_END):
            if not event:
                continue
            found = _ID.search(event)
            number = int(found[1]) if found else self.last + 1
            if number <= self.last:
                continue
            if number > self.last + 1:
                return None
            self.last = number
            kept.append(event + _EVENT_END)
        return b''.join(kept)

    def _note(self, data: bytes) -> None:
        self.events += data.count(_EVENT_END)
        if _USAGE in data:
            for event in data.split(_EVENT_END):
                if _USAGE in event:
                    found = parse_usage(_find_data(event))
                    self.usage = found or self.usage
        if _DONE in data:
            self.done = True


class AnswerReceiver(ResponseHandler):
    """Takes the answer to one attempt; relays it at once if it streams.

    ``crossed`` is set if the answer belongs to another attempt; nothing
    of it is relayed.
    """

    def __init__(self, stream: StreamState, reply: Reply) -> None:
        super().__init__()
        self.stream = stream
        self.is_stream = False
        self.crossed = False
        self.gap = False
        self.caller_gone = False
        self.begun = False
        self.reply = reply
        self._buffer = b''

    def receive_head(
        self, status: int, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check whose answer it is, and whether it streams."""
        super().receive_head(status, headers)
        if not belongs(headers, self.stream.attempt):
            self.crossed = True
            self.stop()
            return None
        kind = headers.get('Content-Type', '')
        self.is_stream = status == _OK and kind.startswith(_EVENT_STREAM)
        return None

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay the whole events of a stream; collect anything else."""
        if self.crossed:
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
            self.gap = True
            self.stop()
            return None
        return self._relay(kept) if kept else None

    async def _relay(self, data: bytes) -> None:
        if not self.begun:
            self.begun = True
            self.reply.begin(self.status, self.headers)
        try:
            await self.reply.write(data)
        except StreamClosedError:
            self.caller_gone = True
            self.stop()


class Used(NamedTuple):
    """Tokens that a call used."""

    prompt: int
    cached: int
    output: int

    def total(self) -> int:
        """Return the tokens charged for."""
        return self.prompt + self.output


def read_usage(receiver: AnswerReceiver, tokens: int) -> Used:
    """Return what an answer says was used, or else an estimate.

    ``tokens`` estimates those of the prompt.
    """
    stream = receiver.stream
    found = stream.usage
    if not receiver.is_stream and tokens:
        found = parse_usage(receiver.response().body)
    if found is None:
        output = stream.events if receiver.is_stream else 0
        return Used(tokens, 0, output)
    details = found.get('prompt_tokens_details') or {}
    return Used(
        found.get('prompt_tokens', tokens),
        details.get('cached_tokens', 0),
        found.get('completion_tokens', stream.events),
    )


__all__ = [
    'AnswerReceiver',
    'parse_usage',
    'read_usage',
    'Reply',
    'StreamState',
    'Used',
]
