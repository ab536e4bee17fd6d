"""The order of a stream's events over all runs that a caller gets parts of.

A run is a response with events; a later one goes on after the last event of
the one before. Events have the numbers 1, 2, 3 and so on. Some may have none,
as comments and the end have: their place is that after the event before.
"""

from __future__ import annotations

import enum
import re
from typing import NamedTuple

from ..web.eventstream import find_event_ids
from ..web.eventstream import has_data
from ..web.eventstream import split_events

_DONE = re.compile(rb'(?:\A|[\r\n])data: ?\[DONE\][ \t]*(?=[\r\n]|\Z)')


def is_last(event: bytes) -> bool:
    """Return whether an event is the end of its stream."""
    return _DONE.search(event) is not None


def _find_number(event: bytes) -> int | None:
    ids = find_event_ids(event)
    return ids[0] if ids else None


class NewEvents(NamedTuple):
    """The events of a read that a caller is to get, up to a gap."""

    events: list[bytes]
    has_gap: bool


class _Place(enum.Enum):
    """Where a run is, compared with what the caller has."""

    AFTER_LAST = enum.auto()
    # It begins, and has shown no number.
    UNKNOWN = enum.auto()
    # It repeats an event before the last one, or the last one.
    BEFORE_LAST = enum.auto()
    AT_LAST = enum.auto()


class _Verdict(enum.Enum):
    NEW = enum.auto()
    REPEATED = enum.auto()
    GAP = enum.auto()


class EventOrder:
    """Tells new events from those that came before, and from gaps.

    ``last_number`` is that of the last new event.
    """

    def __init__(self, last_number: int = 0) -> None:
        """Go on after the event ``last_number``, which the caller has."""
        self.last_number = last_number
        self.has_numbers = False
        self._place = _Place.UNKNOWN

    def begin_run(self) -> None:
        """Record that the events of another response follow."""
        is_first = not self.last_number
        self._place = _Place.AFTER_LAST if is_first else _Place.UNKNOWN

    def take(self, data: bytes) -> NewEvents:
        """Return the new events of ``data``, which are whole events.

        No more events of the run are to be taken after a gap.
        """
        new_events: list[bytes] = []
        for event in split_events(data):
            verdict = self._judge(event)
            if verdict is _Verdict.GAP:
                return NewEvents(new_events, True)
            if verdict is _Verdict.NEW:
                new_events.append(event)
        return NewEvents(new_events, False)

    def _judge(self, event: bytes) -> _Verdict:
        number = _find_number(event)
        if number is None:
            return self._judge_unnumbered(event)
        self.has_numbers = True
        if not 1 <= number <= self.last_number + 1:
            return _Verdict.GAP
        if number <= self.last_number:
            is_at_last = number == self.last_number
            self._place = _Place.AT_LAST if is_at_last else _Place.BEFORE_LAST
            return _Verdict.REPEATED
        self.last_number = number
        self._place = _Place.AFTER_LAST
        return _Verdict.NEW

    def _judge_unnumbered(self, event: bytes) -> _Verdict:
        """Judge an event by its place; the caller may have it already."""
        if self._place is _Place.AFTER_LAST:
            return _Verdict.NEW
        if is_last(event):
            is_too_soon = self._place is _Place.BEFORE_LAST
            return _Verdict.GAP if is_too_soon else _Verdict.NEW
        if self._place is _Place.BEFORE_LAST:
            return _Verdict.REPEATED
        return _Verdict.GAP if has_data(event) else _Verdict.NEW


__all__ = ['EventOrder', 'is_last', 'NewEvents']
