"""Events of a stream over its runs: each once, and in sequence."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st
from lentilrun.decisions.streamorder import MAX_BYTES_WITHOUT_EVENT
from lentilrun.decisions.streamorder import StreamProgress
from lentilrun.decisions.streamorder import StreamRun
from lentilrun.decisions.streamorder import Verdict
import pytest

_EVENTS = 12


class _Packet(NamedTuple):
    """Events of one packet; nothing is an event without a number."""

    numbers: tuple[int | None, ...]


class _Sent(NamedTuple):
    """What a run sends in its packets, one after the other."""

    packets: tuple[_Packet, ...]


def _make_event(number: int | None) -> bytes:
    if number is None:
        return b'data: none\n\n'
    return b'id: %d\ndata: %d\n\n' % (number, number)


def _play(progress: StreamProgress, sent: _Sent) -> bytes:
    """Return what the caller receives of a run until a fault ends it."""
    run = StreamRun(progress)
    received = b''
    for packet in sent.packets:
        events = b''.join(_make_event(n) for n in packet.numbers)
        selection = run.select(events)
        run.record(selection)
        received += selection.events
        if selection.fault is not None:
            break
    return received


def _split(numbers: list[int | None], sizes: list[int]) -> _Sent:
    packets = []
    rest = numbers
    for size in sizes:
        packets.append(_Packet(tuple(rest[:size])))
        rest = rest[size:]
    packets.append(_Packet(tuple(rest)))
    return _Sent(tuple(p for p in packets if p.numbers))


_NUMBERS = st.lists(
    st.one_of(st.none(), st.integers(0, _EVENTS)), max_size=_EVENTS
)
_RUN = st.builds(_split, _NUMBERS, st.lists(st.integers(1, 4), max_size=6))


@given(st.lists(_RUN, max_size=4), st.integers(0, 3))
def test_any_runs(runs: list[_Sent], last_event: int) -> None:
    """Whatever runs send, the caller receives one event after the other."""
    progress = StreamProgress(last_event)
    received = b''
    for sent in runs:
        if progress.may_continue():
            received += _play(progress, sent)
    numbers = [
        int(line[4:])
        for line in received.splitlines()
        if line.startswith(b'id: ')
    ]
    first = 0 if numbers[:1] == [0] and not last_event else last_event + 1
    assert numbers == list(range(first, first + len(numbers)))
    assert progress.last_event_id == max([last_event, *numbers])


@given(
    st.integers(1, _EVENTS),
    st.lists(st.integers(1, _EVENTS), max_size=4),
    st.lists(st.integers(1, 4), max_size=6),
)
def test_sound_runs(
    events: int, broken_after: list[int], sizes: list[int]
) -> None:
    """Runs that go on at the last event, or begin anew, make one stream."""
    progress = StreamProgress(0)
    received = b''
    for number, end in enumerate([*broken_after, events]):
        first = 1 if number % 2 else progress.last_event_id + 1
        numbers: list[int | None] = list(range(first, min(end, events) + 1))
        received += _play(progress, _split(numbers, sizes))
    assert received == b''.join(_make_event(n + 1) for n in range(events))


class _Fault(NamedTuple):
    """The packets of a second run after events 1 to 4, and its fault."""

    sent: tuple[tuple[int | None, ...], ...]
    received: tuple[int, ...]
    fault: Verdict | None


_SECOND_RUNS = {
    'goes on': _Fault(((5,), (6, 7)), (5, 6, 7), None),
    'begins anew': _Fault(((1, 2, 3), (4, 5)), (5,), None),
    'begins before': _Fault(((3, 4, 5), (6,)), (5, 6), None),
    'leaves one out': _Fault(((7,),), (), Verdict.GAP),
    'leaves one out later': _Fault(((5, 7),), (5,), Verdict.GAP),
    'leaves a known one out': _Fault(((1, 3, 4, 5),), (), Verdict.GAP),
    'goes back': _Fault(((5, 6), (5,)), (5, 6), Verdict.REPETITION),
    'goes back among known ones': _Fault(((2, 1),), (), Verdict.REPETITION),
    'has no number': _Fault(((None,),), (), Verdict.UNNUMBERED),
    'has no number among known ones': _Fault(
        ((3, None, 4),), (), Verdict.UNNUMBERED
    ),
}


@pytest.mark.parametrize('case', _SECOND_RUNS.values(), ids=_SECOND_RUNS)
def test_second_run(case: _Fault) -> None:
    """What a further run may add to events 1 to 4."""
    progress = StreamProgress(0)
    _play(progress, _Sent((_Packet((1, 2, 3, 4)),)))
    run = StreamRun(progress)
    received = b''
    fault = None
    for numbers in case.sent:
        selection = run.select(b''.join(map(_make_event, numbers)))
        run.record(selection)
        received += selection.events
        fault = selection.fault
    assert received == b''.join(map(_make_event, case.received))
    assert fault is case.fault


@pytest.mark.parametrize(
    ('numbers', 'may_continue'),
    [((), True), ((None,), False), ((1,), True), ((1, None), True)],
)
def test_streams_that_may_continue(
    numbers: tuple[int | None, ...], may_continue: bool
) -> None:
    """Only events with numbers tell where a stream is to go on."""
    progress = StreamProgress(0)
    if numbers:
        _play(progress, _Sent((_Packet(numbers),)))
    assert progress.may_continue() is may_continue


_COMMENT = b': \n\n'
_KEEP_ALIVE_S = 1
_FILLED = _COMMENT * (MAX_BYTES_WITHOUT_EVENT // len(_COMMENT))


class _Flood(NamedTuple):
    """Packets of a run that goes on after some event, and its end."""

    packets: list[bytes]
    last_event: int
    fault: Verdict | None


_FLOODS = {
    'new': _Flood([_FILLED, _COMMENT], 0, Verdict.FLOOD),
    'resumed': _Flood([_FILLED, _COMMENT], 2, Verdict.FLOOD),
    'after_an_event': _Flood(
        [_make_event(3), _FILLED, _COMMENT], 2, Verdict.FLOOD
    ),
    'at_the_limit': _Flood([_FILLED], 2, None),
    'events_between': _Flood(
        [_FILLED, _make_event(3), _FILLED, _make_event(4)], 2, None
    ),
    'numbers_alone_between': _Flood([_FILLED, b'id: 3\n\n', _FILLED], 2, None),
    'an_hour_of_keep_alive_comments': _Flood(
        [b': keep-alive\n\n'] * (3600 // _KEEP_ALIVE_S), 2, None
    ),
}


@pytest.mark.parametrize('flood', _FLOODS.values(), ids=_FLOODS)
def test_comments_without_end(flood: _Flood) -> None:
    """Guards against runs that send comments without end and no event."""
    run = StreamRun(StreamProgress(flood.last_event))
    faults = []
    for packet in flood.packets:
        selection = run.select(packet)
        run.record(selection)
        faults.append(selection.fault)
    assert faults[-1] is flood.fault
    assert not any(faults[:-1])


@given(
    st.lists(st.sampled_from([_COMMENT, _make_event(None), b'event: x\n\n'])),
    st.integers(0, 3),
)
def test_events_without_numbers_are_judged_at_once(
    events: list[bytes], last_event: int
) -> None:
    """One by one, they get the same verdicts."""
    together = StreamRun(StreamProgress(last_event)).select(b''.join(events))
    one_by_one = StreamRun(StreamProgress(last_event))
    passed = b''
    fault = None
    for event in events:
        selection = one_by_one.select(event)
        passed += selection.events
        fault = fault or selection.fault
    assert (together.events, together.fault) == (passed, fault)
