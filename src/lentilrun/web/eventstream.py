"""Event streams: where their events end, whatever the packets are."""

from __future__ import annotations

import re

_END_LF = b'\n\n'
_END_CRLF = b'\n\r\n'
# Blank lines that follow an event belong to it.
_EVENT = re.compile(rb'.*?\n(?:\r?\n)+', re.DOTALL)
_LINE_ENDS = b'\r\n'


def split_events(events: bytes) -> list[bytes]:
    """Return complete events one by one, each with its end."""
    return _EVENT.findall(events)


class EventBuffer:
    """Collects the bytes of a stream until an event is complete."""

    def __init__(self) -> None:
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def add(self, chunk: bytes) -> bytes:
        """Add bytes; remove and return all events that are complete."""
        data = self._data
        start = max(0, len(data) + 1 - len(_END_CRLF))
        data += chunk
        end = max(
            _find_end(data, _END_LF, start), _find_end(data, _END_CRLF, start)
        )
        events = bytes(data[:end])
        del data[:end]
        return events

    def is_within_event(self) -> bool:
        """Return whether a part of an event has been added."""
        return bool(self._data.strip(_LINE_ENDS))

    def take_rest(self) -> bytes:
        """Remove and return what follows the last complete event."""
        rest = bytes(self._data)
        self._data.clear()
        return rest


def _find_end(data: bytearray, separator: bytes, start: int) -> int:
    """Return the end of the last separator from ``start`` on, or 0."""
    position = data.rfind(separator, start)
    return position + len(separator) if position >= 0 else 0


__all__ = ['EventBuffer', 'split_events']
