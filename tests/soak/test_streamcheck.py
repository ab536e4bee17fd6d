"""Checks of streams: each event once, in sequence, of runs that follow."""

from __future__ import annotations

import pytest
from soak.streamcheck import check_stream
from soak.streamcheck import ExpectedStream
from soak.streamcheck import parse_events


def _make_events(
    *numbers: int, run: str = 'p0.1', end: str = '\n', blanks: str = ' '
) -> bytes:
    texts = (
        f'id:{blanks}{n}{end}data: piece {n} of r1 in {run} ..{end}{end}'
        for n in numbers
    )
    return ''.join(texts).encode()


_OTHER_RUN = _make_events(3, run='p1.7')


@pytest.mark.parametrize(
    ('body', 'numbers', 'is_torn'),
    [
        (b'', [], False),
        (_make_events(1, 2), [1, 2], False),
        (_make_events(1, 2, end='\r\n'), [1, 2], False),
        (_make_events(1, 2, end='\r'), [1, 2], False),
        (_make_events(1, blanks=''), [1], False),
        (_make_events(1, blanks='  '), [1], False),
        (_make_events(1) + b'id: 2\nda', [1], True),
        (b': comment\n\n' + _make_events(1), [1], False),
        (b'data: piece 1\n\n', [-1], False),
        (b'x-weight-versions: 3\n' + _make_events(1), [1], False),
    ],
)
def test_numbers(body: bytes, numbers: list[int], is_torn: bool) -> None:
    """Numbers are read in all forms; an event that is cut off is told."""
    events = parse_events(body)
    assert (events.numbers(), events.is_torn) == (numbers, is_torn)


@pytest.mark.parametrize(
    ('body', 'first', 'is_complete', 'is_resumable', 'invariants'),
    [
        (_make_events(1, 2, 3), 1, True, False, []),
        (_make_events(1, 2), 1, False, False, []),
        (_make_events(1, 2), 1, True, False, ['complete stream']),
        (_make_events(1, 2, 3) + b'id', 1, True, False, ['complete stream']),
        (b'', 1, False, False, []),
        (b'', 1, True, False, ['complete stream']),
        (b'', 4, True, True, []),
        (_make_events(3), 3, True, True, []),
        (_make_events(1, 3), 1, False, False, ['events in order']),
        (_make_events(1, 2, 1), 1, False, False, ['events in order']),
        (_make_events(1, 1), 1, False, False, ['events in order']),
        (
            b'data: piece 1 of r1 in p\n\n',
            1,
            False,
            False,
            ['events in order'],
        ),
        (
            b'id: 1\ndata: piece 2 of r1 in p\n\n',
            1,
            False,
            False,
            ['events in order'],
        ),
        (
            b'id: 1\ndata: piece 1 of r2 in p\n\n',
            1,
            False,
            False,
            ['own response'],
        ),
        (_make_events(1, 2) + _OTHER_RUN, 1, True, True, []),
        (_make_events(1, 2) + _OTHER_RUN, 1, True, False, ['one run']),
        (
            _make_events(1) + _make_events(2, run='p1.7') + _make_events(3),
            1,
            True,
            True,
            ['one run'],
        ),
    ],
)
def test_stream(
    body: bytes,
    first: int,
    is_complete: bool,
    is_resumable: bool,
    invariants: list[str],
) -> None:
    """Missing, repeated and joined events and early ends are reported."""
    expected = ExpectedStream('r1', first, 3, is_resumable)
    found = check_stream(body, is_complete, expected)
    assert [invariant for invariant, _ in found] == invariants
