"""Event streams: where their events end, whatever the packets are.

Source: the event stream format of the HTML standard (server-sent events).
"""

from __future__ import annotations

import re

# An event ends with an empty line; lines end in LF, CRLF or CR.
_ENDS = (b'\n\n', b'\n\r\n', b'\r\r')
_MAX_END_BYTES = max(len(end) for end in _ENDS)
# Blank lines that follow an event belong to it.
_EVENT = re.compile(rb'.*?(?:\n(?:\r?\n)+|\r\r[\r\n]*)', re.DOTALL)
# A field begins its line; literals come first, as that is searched fastest.
_EVENT_ID = re.compile(rb'id:(?<![^\r\n]id:)[ \t]*(\d{1,18})[ \t]*(?=[\r\n])')
_DATA = re.compile(rb'data(?<![^\r\n]data)(?=[:\r\n])')
_LINE_ENDS = b'\r\n'


def split_events(events: bytes) -> list[bytes]:
    """Return complete events one by one, each with its end."""
    return _EVENT.findall(events)


def find_event_ids(events: bytes) -> list[int]:
    """Return the IDs of events that are numbers, in their order."""
    return [int(text) for text in _EVENT_ID.findall(events)]


def has_data(event: bytes) -> bool:
    """Return whether an event is more than a comment."""
    return _DATA.search(event) is not None


class EventBuffer:
    """Collects the bytes of a stream until an event is complete."""

    def __init__(self) -> None:
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def add(self, chunk: bytes) -> bytes:
        """Add bytes; remove and return all events that are complete."""
        data = self._data
        start = max(0, len(data) + 1 - _MAX_END_BYTES)
        data += chunk
        end = max(_find_end(data, text, start) for text in _ENDS)
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


__all__ = ['EventBuffer', 'find_event_ids', 'has_data', 'split_events']
