"""Structured log lines on standard output: bounded, never blocking."""

from __future__ import annotations

import os
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ..coordination.clock import Clock

_LINES_PER_SECOND = 200.0
_LINES_AT_ONCE = 600.0

_encoder = msgspec.json.Encoder(enc_hook=str)


class Log:
    """Writes one JSON object a line.

    Lines beyond the rate, or that standard output can't take at once,
    are left out and counted; the next line tells how many.
    """

    def __init__(self, clock: Clock, node: str, file: int | None = None):
        self._clock = clock
        self._node = node
        self._file = sys.stdout.fileno() if file is None else file
        self._allowance = _LINES_AT_ONCE
        self._refilled = clock.now()
        self._rest = b''
        self.omitted_lines = 0
        os.set_blocking(self._file, False)

    def _may_write(self) -> bool:
        now = self._clock.now()
        gained = (now - self._refilled) * _LINES_PER_SECOND
        self._allowance = min(_LINES_AT_ONCE, self._allowance + gained)
        self._refilled = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def write(self, event: str, **fields: Any) -> None:
        """Write a line about an event."""
        if not self._may_write():
            self.omitted_lines += 1
            return
        line: dict[str, Any] = {
            'time': round(time.time(), 4),
            'node': self._node,
            'event': event,
        }
        line.update(fields)
        if self.omitted_lines:
            line['left_out'] = self.omitted_lines
            self.omitted_lines = 0
        self._put(_encoder.encode(line) + b'\n')

    def _put(self, data: bytes) -> None:
        data = self._rest + data
        try:
            written = os.write(self._file, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads standard output any more.
            self.omitted_lines += 1
            return
        if written == 0 and self._rest:
            # The line is dropped, but the cut one before it is kept.
            self.omitted_lines += 1
            return
        self._rest = data[written:]


__all__ = ['Log']
