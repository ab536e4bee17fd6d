"""Events are found at any ends of lines and any borders of packets."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st
from lentilrun.web.eventstream import EventBuffer
from lentilrun.web.eventstream import split_events
import pytest

_LINE_ENDS = st.sampled_from(['\n', '\r\n', '\r'])
_LINES = st.lists(
    st.text(st.characters(exclude_characters='\r\n'), min_size=1), min_size=1
)


@st.composite
def _draw_event(draw: st.DrawFn) -> bytes:
    end = draw(_LINE_ENDS)
    text = ''.join(line + end for line in draw(_LINES))
    return (text + end).encode('utf-8', 'surrogatepass')


_EVENTS = st.lists(_draw_event())


@given(_EVENTS, st.lists(st.integers(1, 9)))
def test_packets_do_not_matter(events: list[bytes], sizes: list[int]) -> None:
    """Each event is returned whole, with the packet that completes it."""
    data = b''.join(events)
    ends = list(itertools.accumulate(map(len, events), initial=0))
    buffer = EventBuffer()
    returned = b''
    received = 0
    while received < len(data):
        size = sizes.pop() if sizes else 1
        returned += buffer.add(data[received : received + size])
        received += size
        complete = max(end for end in ends if end <= received)
        assert returned == data[:complete]
    assert not buffer.is_within_event()
    assert returned == data


@given(_EVENTS)
def test_events_are_split(events: list[bytes]) -> None:
    """Complete events are split at their ends."""
    assert split_events(b''.join(events)) == events


@pytest.mark.parametrize(
    ('data', 'is_within'),
    [
        (b'', False),
        (b'data: x\n\n', False),
        (b'data: x\r\n\r\n', False),
        (b'data: x\n\n\n', False),
        (b'data: x\r\n\r\n\r\n', False),
        (b'data: x\n\ni', True),
        (b'data: x\n', True),
        (b'data: x\r\n', True),
        (b'data: x\r\n\r', True),
        (b'data: x', True),
        (b'\n', False),
    ],
)
@pytest.mark.parametrize('is_split', [False, True])
def test_end_within_an_event(
    data: bytes, is_within: bool, is_split: bool
) -> None:
    """A stream that ends here has been broken off, or is whole."""
    buffer = EventBuffer()
    parts = [bytes([b]) for b in data] if is_split else [data]
    returned = b''.join(buffer.add(part) for part in parts)
    assert buffer.is_within_event() is is_within
    assert returned + buffer.take_rest() == data


def test_long_event_is_searched_once() -> None:
    """The time for an event grows with its length, not with its square."""
    buffer = EventBuffer()
    for _ in range(200_000):
        assert not buffer.add(b'x' * 16)
    assert len(buffer) == 3_200_000
    assert len(buffer.add(b'\n\n')) == 3_200_002
