"""Structured log on standard output: limited in rate, non-blocking."""

from __future__ import annotations

import os
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ..coordination.clock import Clock

_MAX_LINES_PER_S = 200.0
_MAX_BURST_LINES = 600.0

_encoder = msgspec.json.Encoder(enc_hook=str)


class Log:
    """Writes one JSON object a line.

    Lines beyond the rate, or that can't be written without blocking, are
    omitted and counted; the next line has their number.
    """

    def __init__(self, clock: Clock, node: str, descriptor: int | None = None):
        """Log to a file descriptor, or to standard output."""
        self._clock = clock
        self._node = node
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._allowance = _MAX_BURST_LINES
        self._refilled_at = clock.now()
        self._unwritten = b''
        self.omitted_lines = 0
        os.set_blocking(self._descriptor, False)

    def _spend_allowance(self) -> bool:
        now = self._clock.now()
        gained = (now - self._refilled_at) * _MAX_LINES_PER_S
        self._allowance = min(_MAX_BURST_LINES, self._allowance + gained)
        self._refilled_at = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def write(self, event: str, **fields: Any) -> None:
        """Write a line about an event."""
        if not self._spend_allowance():
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
        self._write_bytes(_encoder.encode(line) + b'\n')

    def _write_bytes(self, data: bytes) -> None:
        data = self._unwritten + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader of standard output closed it.
            self.omitted_lines += 1
            return
        if written == 0 and self._unwritten:
            # This line is dropped. The rest of the previous line is kept, as
            # its start has been written.
            self.omitted_lines += 1
            return
        self._unwritten = data[written:]


__all__ = ['Log']
