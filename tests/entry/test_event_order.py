"""Events reach a caller once and in order, over all runs of a stream."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.entry.relay import ResponseReceiver
from lentilrun.entry.relay import StreamState
import pytest
from tornado.httputil import HTTPHeaders

_HEADERS = {'Content-Type': 'text/event-stream'}
_COMMENT = ': alive\n\n'
_DONE = 'data: [DONE]\n\n'
_UNNUMBERED = 'data: piece\n\n'


def _number(number: int) -> str:
    return f'id: {number}\ndata: piece {number}\n\n'


def _numbers(*numbers: int) -> str:
    return ''.join(_number(n) for n in numbers)


class _Caller:
    """Receives a response."""

    def __init__(self) -> None:
        self.data = b''

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Receive the head."""

    async def write(self, data: bytes) -> None:
        """Receive events."""
        self.data += data


class _Case(NamedTuple):
    """Reads of each run, and what the caller gets of all of them.

    ``has_gap`` is that of the last run, ``is_done`` that of the stream.
    """

    runs: list[list[str]]
    relayed: str
    has_gap: bool = False
    is_done: bool = False


async def _play(
    runs: list[list[str]], stream: StreamState
) -> tuple[bytes, bool]:
    """Pass the reads on, also those after a run was stopped."""
    caller = _Caller()
    has_gap = False
    for reads in runs:
        receiver = ResponseReceiver(stream, caller)
        receiver.receive_head(200, HTTPHeaders(_HEADERS))
        for read in reads:
            handling = receiver.receive_chunk(read.encode())
            if handling is not None:
                await handling
        has_gap = receiver.has_gap
    return caller.data, has_gap


def _check(case: _Case) -> StreamState:
    stream = StreamState('mine')
    relayed, has_gap = asyncio.run(_play(case.runs, stream))
    assert relayed == case.relayed.encode()
    assert has_gap is case.has_gap
    assert stream.is_done is case.is_done
    return stream


@pytest.mark.parametrize(
    'case',
    [
        # What comes before a gap in one read reaches the caller.
        _Case([[_numbers(1, 2, 4)]], _numbers(1, 2), True),
        _Case([[_numbers(1, 2, 4)], [_numbers(3, 4)]], _numbers(1, 2, 3, 4)),
        _Case([[_number(1), _numbers(2, 2, 4)]], _numbers(1, 2), True),
        # A run is over with its first gap, whatever was received already.
        _Case([[_numbers(1, 3), _number(2)]], _number(1), True),
        _Case(
            [[_numbers(1, 2), _number(4), _number(3)]], _numbers(1, 2), True
        ),
        _Case([[_number(5), _number(1)]], '', True),
        _Case([[_number(0), _number(1)]], '', True),
        _Case([[_numbers(1, 2, 4) + _DONE]], _numbers(1, 2), True),
        _Case([[_numbers(1, 2), _number(4), _DONE]], _numbers(1, 2), True),
        # A number that comes again is left out.
        _Case([[_numbers(1, 2, 1, 3)]], _numbers(1, 2, 3)),
        _Case([[_numbers(1, 2)], [_numbers(1, 2, 3)]], _numbers(1, 2, 3)),
        _Case([[_numbers(1, 2)], [_number(1), _number(3)]], _numbers(1, 2, 3)),
        _Case(
            [[_numbers(1, 2)], [_number(4), _number(3)]], _numbers(1, 2), True
        ),
    ],
)
def test_numbers(case: _Case) -> None:
    """No event is left out and none comes twice."""
    _check(case)


@pytest.mark.parametrize(
    'case',
    [
        _Case([[_UNNUMBERED, _UNNUMBERED]], 2 * _UNNUMBERED),
        _Case([[_UNNUMBERED + _DONE]], _UNNUMBERED + _DONE, is_done=True),
        _Case(
            [[_number(1) + _COMMENT + _number(2)]],
            _number(1) + _COMMENT + _number(2),
        ),
        _Case([[_numbers(1, 2) + _DONE]], _numbers(1, 2) + _DONE, False, True),
        # Beside numbers that come again.
        _Case(
            [[_numbers(1, 2)], [_COMMENT + _numbers(2, 3)]],
            _numbers(1, 2) + _COMMENT + _number(3),
        ),
        _Case(
            [[_numbers(1, 2)], [_number(1) + _UNNUMBERED + _number(2)]],
            _numbers(1, 2),
        ),
        _Case(
            [[_numbers(1, 2)], [_number(2) + _DONE]],
            _numbers(1, 2) + _DONE,
            is_done=True,
        ),
        # The end of a stream all of whose numbers have come.
        _Case(
            [[_numbers(1, 2)], [_DONE]], _numbers(1, 2) + _DONE, is_done=True
        ),
        # A later run has a piece that the caller may have already.
        _Case([[_numbers(1, 2)], [_UNNUMBERED]], _numbers(1, 2), True),
        _Case(
            [[_numbers(1, 2) + _UNNUMBERED], [_number(2) + _UNNUMBERED]],
            _numbers(1, 2) + _UNNUMBERED,
            True,
        ),
        # It ends before what the caller has: it is another one.
        _Case(
            [[_numbers(1, 2, 3)], [_number(1) + _DONE]],
            _numbers(1, 2, 3),
            True,
        ),
    ],
)
def test_events_without_a_number(case: _Case) -> None:
    """They are relayed where their place is known."""
    _check(case)


@pytest.mark.parametrize('blanks', ['', ' ', '  ', '\t'])
@pytest.mark.parametrize('end', ['\n', ' \n', '\r\n', '  \r\n'])
def test_forms_of_numbers(blanks: str, end: str) -> None:
    """A number counts whatever blanks are around it."""
    event = f'id:{blanks}2{end}data: piece\n\n'
    _check(_Case([[_numbers(1, 2), event]], _numbers(1, 2)))


@pytest.mark.parametrize(
    'data',
    [
        'data: {"text": "data: [DONE]"}\n\n',
        'data: say [DONE]\n\n',
        'data: [DONE] or not\n\n',
        'event: data: [DONE]\n\n',
    ],
)
def test_text_that_is_no_end(data: str) -> None:
    """A model may write what ends streams, within its text."""
    _check(_Case([['id: 1\n' + data]], 'id: 1\n' + data))


@pytest.mark.parametrize(
    ('first', 'later', 'is_joined'),
    [
        ('i1', 'i1', True),
        ('i1', None, True),
        (None, 'i1', True),
        ('i1', 'i2', False),
    ],
)
def test_run_of_another_process(
    first: str | None, later: str | None, is_joined: bool
) -> None:
    """A target that started anew can't go on with a stream."""

    async def body() -> None:
        stream = StreamState('mine')
        caller = _Caller()
        for incarnation, data in ((first, _number(1)), (later, _number(2))):
            receiver = ResponseReceiver(stream, caller)
            headers = HTTPHeaders(_HEADERS)
            if incarnation is not None:
                headers['X-Incarnation'] = incarnation
            receiver.receive_head(200, headers)
            handling = receiver.receive_chunk(data.encode())
            if handling is not None:
                await handling
        assert receiver.misdelivered is not is_joined
        expected = _numbers(1, 2) if is_joined else _number(1)
        assert caller.data == expected.encode()

    asyncio.run(body())


def test_nothing_is_relayed_after_a_stop() -> None:
    """What was received before is not passed on to the caller any more."""

    async def body() -> None:
        caller = _Caller()
        receiver = ResponseReceiver(StreamState('mine'), caller)
        receiver.receive_head(200, HTTPHeaders(_HEADERS))
        receiver.stop()
        assert receiver.receive_chunk(_numbers(1, 2).encode()) is None
        assert not receiver.relay_started
        assert not caller.data

    asyncio.run(body())


@given(
    st.lists(st.lists(st.integers(0, 6), max_size=8), min_size=1, max_size=4),
    st.lists(st.integers(1, 30), min_size=1, max_size=5),
)
@settings(deadline=None)
def test_any_numbers(runs: list[list[int]], sizes: list[int]) -> None:
    """Of any runs, in any reads, the caller gets 1, 2, 3 and so on."""
    texts = [_numbers(*run) for run in runs]
    cut = []
    for text in texts:
        reads = []
        while text:
            size = sizes[len(reads) % len(sizes)]
            reads.append(text[:size])
            text = text[size:]
        cut.append(reads)
    stream = StreamState('mine')
    relayed, _ = asyncio.run(_play(cut, stream))
    assert relayed == _numbers(*range(1, stream.last_event_id + 1)).encode()
