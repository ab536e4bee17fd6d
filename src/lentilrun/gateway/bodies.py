"""Collects the body of a request within the memory of the process."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..web.body import Body
from ..web.body import BodyBuffer
from .call import Reason
from .call import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from ..coordination.clock import Clock
    from ..decisions.memory import Owner
    from ..web.memory import BodyHold
    from ..web.memory import ProcessMemory

_CONTENT_TOO_LARGE = 413
_UNAVAILABLE = 503
# Memory is released as requests end; stalled bodies are ended after 1 s.
_RETRY_AFTER_S = 1.0
# Longer numbers are invalid as lengths, as they are for the connection.
_MAX_LENGTH_DIGITS = 18
# A body without a length is counted in steps of this size.
_STEP_BYTES = 64 * 1024


class BodyRules(NamedTuple):
    """What applies to a body: its limit in bytes, and who sends it."""

    limit: int
    owners: tuple[Owner, ...]


def read_length(headers: HTTPHeaders) -> int | None:
    """Return the declared length of a body, nothing if there is no valid one.

    A request with neither a length nor chunks has no body. The connection
    rejects lengths that are invalid.
    """
    if 'Transfer-Encoding' in headers:
        return None
    # Repeated headers are joined by commas; they must be equal.
    text = headers.get('Content-Length', '0').partition(',')[0].strip()
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > _MAX_LENGTH_DIGITS:
        return None
    return int(text)


class BodyCollector:
    """Collects a body; each method raises ``Refusal`` if it doesn't fit."""

    __slots__ = ('_buffer', '_clock', '_hold', '_limit', '_memory')

    def __init__(self, memory: ProcessMemory, clock: Clock) -> None:
        self._memory = memory
        self._clock = clock
        self._limit = 0
        self._buffer = BodyBuffer()
        self._hold: BodyHold | None = None

    def start(
        self,
        headers: HTTPHeaders,
        rules: BodyRules,
        end: Callable[[bool], None],
    ) -> None:
        """Reserve memory for a body with these headers.

        ``end`` ends the request while the body is received: as others need
        its memory, or (True) as it makes no progress.
        """
        self._limit = rules.limit
        length = read_length(headers)
        if length == 0:
            return
        if length is not None and length > self._limit:
            raise Refusal(_CONTENT_TOO_LARGE, Reason.BODY_TOO_LARGE)
        if length is not None:
            self._buffer.block_bytes = length
        size = _STEP_BYTES if length is None else length
        if size > _STEP_BYTES:
            # The connection holds the last part of the body as well.
            size += _STEP_BYTES
        self._hold = self._memory.open_body(
            rules.owners, size, end, self._clock.now()
        )
        if self._hold is None:
            raise Refusal(_UNAVAILABLE, Reason.NO_MEMORY, _RETRY_AFTER_S)

    def add(self, chunk: bytes) -> None:
        """Add received bytes."""
        size = len(self._buffer) + len(chunk)
        if size > self._limit:
            raise Refusal(_CONTENT_TOO_LARGE, Reason.BODY_TOO_LARGE)
        hold = self._hold
        assert hold is not None
        now = self._clock.now()
        if size > hold.size and not hold.grow(size + 2 * _STEP_BYTES, now):
            raise Refusal(_UNAVAILABLE, Reason.NO_MEMORY, _RETRY_AFTER_S)
        hold.record_progress(len(chunk), now)
        self._buffer.append(chunk)

    def finish(self) -> Body:
        """Return the whole body, which from now on owns its memory."""
        data = self._buffer.take()
        hold, self._hold = self._hold, None
        if hold is None:
            return Body(data)
        hold.complete(len(data))
        return Body(data, hold.release)

    def abandon(self) -> None:
        """Drop what was collected."""
        self._buffer.take()
        if self._hold is not None:
            self._hold.release()
        self._hold = None


__all__ = ['BodyCollector', 'BodyRules', 'read_length']
