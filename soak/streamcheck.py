"""Checks of the events of one stream, as its caller received them."""

from __future__ import annotations

import functools
import re
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

_PIECE = re.compile(r'piece (\d+)(?: of (\S+) in (\S+))?')
_LINE_END = re.compile(r'\r\n|\r|\n')


class Event(NamedTuple):
    """An event's number, and what its data names; -1 means no number."""

    number: int
    piece: int
    request_id: str = ''
    run: str = ''


class EventList(NamedTuple):
    """The whole events of a response, and whether it ends within one."""

    events: tuple[Event, ...]
    is_torn: bool

    def numbers(self) -> list[int]:
        """Return the numbers of the events in their order."""
        return [e.number for e in self.events]


@functools.lru_cache(maxsize=100_000)
def parse_events(body: bytes) -> EventList:
    """Return the events of a response, whose lines may end in any form."""
    text = _LINE_END.sub('\n', body.decode(errors='replace'))
    *blocks, rest = text.split('\n\n')
    parsed = (_parse_event(b) for b in blocks)
    events = tuple(e for e in parsed if e is not None)
    return EventList(events, bool(rest.strip('\n')))


def _parse_event(block: str) -> Event | None:
    """Return an event; nothing if a block has comments only."""
    fields = {}
    for line in block.split('\n'):
        name, _, value = line.partition(':')
        if name:
            fields[name] = value.strip()
    if not fields:
        return None
    number = fields.get('id', '')
    match = _PIECE.fullmatch(fields.get('data', '').rstrip(' .'))
    return Event(
        int(number) if number.isdigit() else -1,
        int(match[1]) if match else -1,
        (match[2] or '') if match else '',
        (match[3] or '') if match else '',
    )


class ExpectedStream(NamedTuple):
    """The numbers of a whole stream, and whether runs may follow another."""

    request_id: str
    first: int
    last: int
    is_resumable: bool


def check_stream(
    body: bytes, is_complete: bool, expected: ExpectedStream
) -> Iterator[tuple[str, str]]:
    """Yield invariants that a stream violates, with what was received."""
    found = parse_events(body)
    numbers = found.numbers()
    in_order = list(range(expected.first, expected.first + len(numbers)))
    pieces = [e.piece for e in found.events]
    if numbers != in_order or pieces != in_order:
        yield 'events in order', f'{expected.first}.. {numbers} {pieces}'
    last = expected.first + len(numbers) - 1
    if is_complete and (last != expected.last or found.is_torn):
        yield 'complete stream', f'{numbers} of {expected.last}'
    if {e.request_id for e in found.events} - {'', expected.request_id}:
        yield 'own response', 'events of another request'
    runs = [e.run for e in found.events]
    changes = [n for n in range(1, len(runs)) if runs[n] != runs[n - 1]]
    if changes and not expected.is_resumable:
        yield 'one run', str(runs)
    elif len(changes) >= len(set(runs)) > 0:
        yield 'one run', f'returned {runs}'


__all__ = [
    'check_stream',
    'Event',
    'EventList',
    'ExpectedStream',
    'parse_events',
]
