"""Which events of a stream its caller may receive, over all its runs.

Designed for this load: targets crash, are replaced or load weights while
hundreds of streams run, and each stream that may be resumed goes on at
another target. The caller must receive each event once and in sequence,
whatever the runs send: events from the beginning again, events left out, or
many events in one packet.

Targets number the events of a stream 1, 2, 3 and so on.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..web.eventstream import find_event_ids
from ..web.eventstream import has_data
from ..web.eventstream import split_events

# What a run may send between two events that have a number or data. Comments
# that keep a connection open take some bytes a second.
MAX_BYTES_WITHOUT_EVENT = 64 * 1024


class Verdict(enum.StrEnum):
    """What becomes of an event; ``SKIP`` is one that the caller has.

    The others end the run: ``GAP`` is an event with another one missing
    before it, ``REPETITION`` a number that the run has sent before,
    ``UNNUMBERED`` an event of a further run of which nothing tells whether
    the caller has it, and ``FLOOD`` what exceeds ``MAX_BYTES_WITHOUT_EVENT``.
    """

    PASS = 'pass'
    SKIP = 'skip'
    GAP = 'gap'
    REPETITION = 'repetition'
    UNNUMBERED = 'unnumbered'
    FLOOD = 'flood'


_FAULTS = frozenset((Verdict.GAP, Verdict.REPETITION, Verdict.UNNUMBERED))


class Position(NamedTuple):
    """Where a run of a stream stands.

    ``last_id`` is the last event that the caller has, 0 if it has none, and
    ``run_last_id`` the last one that the run sent. A run that ``is_new``
    sends only events that the caller doesn't have.
    """

    last_id: int
    run_last_id: int | None
    is_new: bool

    def judge(self, number: int | None, event: bytes) -> Verdict:
        """Return what becomes of the next event of the run."""
        if number is None:
            return self._judge_unnumbered(event)
        if self.run_last_id is not None and number <= self.run_last_id:
            return Verdict.REPETITION
        if not self._follows(number):
            return Verdict.GAP
        return Verdict.PASS if self._is_unseen(number) else Verdict.SKIP

    def _judge_unnumbered(self, event: bytes) -> Verdict:
        if self.is_new:
            return Verdict.PASS
        return Verdict.UNNUMBERED if has_data(event) else Verdict.SKIP

    def _follows(self, number: int) -> bool:
        """Return whether the run left no event out before ``number``."""
        if self.run_last_id is None:
            return number <= self.last_id + 1
        return number == self.run_last_id + 1

    def _is_unseen(self, number: int) -> bool:
        """Return whether the caller doesn't have an event.

        A stream may be numbered from 0.
        """
        return number > self.last_id or self.is_new

    def advance(self, number: int | None, verdict: Verdict) -> Position:
        """Return the position after an event that was passed or skipped."""
        if number is None:
            return self
        if verdict is Verdict.SKIP:
            return self._replace(run_last_id=number)
        return Position(number, number, True)


class Selection(NamedTuple):
    """The events of a run that are to be passed on.

    ``position`` is where the run then stands. With a ``fault`` the run is to
    be ended after them.
    """

    events: bytes
    position: Position
    fault: Verdict | None = None


class StreamProgress:
    """What the caller has received of a stream, over all its runs."""

    def __init__(self, last_event: int) -> None:
        """The caller has the events up to ``last_event``; 0 is none."""
        self.last_event_id = last_event
        self.has_started = False
        self._has_ids = False
        self._has_data = False

    def is_empty(self) -> bool:
        """Return whether the caller has received no event at all."""
        return not self.has_started and not self.last_event_id

    def may_continue(self) -> bool:
        """Return whether another run may go on with the stream.

        Nothing tells where to go on in a stream without numbers.
        """
        return self._has_ids or not self._has_data

    def make_position(self) -> Position:
        """Return where a further run begins."""
        return Position(self.last_event_id, None, self.is_empty())

    def record(self, selection: Selection) -> None:
        """Record what was passed on to the caller."""
        if not selection.events:
            return
        self.has_started = True
        position = selection.position
        self._has_ids = self._has_ids or position.run_last_id is not None
        self._has_data = self._has_data or has_data(selection.events)
        self.last_event_id = position.last_id


class StreamRun:
    """The events of one attempt at a stream.

    ``first_id`` is the number of the first event that the target sent,
    nothing if no event had one.
    """

    def __init__(self, progress: StreamProgress) -> None:
        self._progress = progress
        self._position = progress.make_position()
        self._bytes_without_event = 0
        self.first_id: int | None = None

    @property
    def last_id(self) -> int | None:
        """The number of the last event that the target sent."""
        return self._position.run_last_id

    def select(self, events: bytes) -> Selection:
        """Return which of complete events are to be passed on."""
        ids = find_event_ids(events)
        if self._is_flood(ids, events):
            return Selection(b'', self._position, Verdict.FLOOD)
        if self._are_next(ids):
            position = self._position
            if ids:
                position = position.advance(ids[-1], Verdict.PASS)
            return Selection(events, position)
        if not ids:
            return self._select_unnumbered(events)
        return self._select_each(events)

    def _is_flood(self, ids: list[int], events: bytes) -> bool:
        """Count bytes; return whether too many came without an event."""
        if ids or has_data(events):
            self._bytes_without_event = 0
            return False
        self._bytes_without_event += len(events)
        return self._bytes_without_event > MAX_BYTES_WITHOUT_EVENT

    def record(self, selection: Selection) -> None:
        """Record that a selection is passed on."""
        self._position = selection.position
        self._progress.record(selection)

    def _are_next(self, ids: list[int]) -> bool:
        """Return whether the events are the next ones of the stream."""
        position = self._position
        if not position.is_new or self.first_id is None:
            return False
        first = position.last_id + 1
        return ids == list(range(first, first + len(ids)))

    def _select_unnumbered(self, events: bytes) -> Selection:
        """Judge all events at once, as they may be many and small."""
        position = self._position
        verdict = position.judge(None, events)
        if verdict in _FAULTS:
            return Selection(b'', position, verdict)
        passed = events if verdict is Verdict.PASS else b''
        return Selection(passed, position)

    def _select_each(self, events: bytes) -> Selection:
        position = self._position
        chosen: list[bytes] = []
        for event in split_events(events):
            ids = find_event_ids(event)
            number = ids[-1] if ids else None
            if self.first_id is None:
                self.first_id = number
            verdict = position.judge(number, event)
            if verdict in _FAULTS:
                return Selection(b''.join(chosen), position, verdict)
            if verdict is Verdict.PASS:
                chosen.append(event)
            position = position.advance(number, verdict)
        return Selection(b''.join(chosen), position)


__all__ = [
    'Position',
    'Selection',
    'StreamProgress',
    'StreamRun',
    'Verdict',
]
