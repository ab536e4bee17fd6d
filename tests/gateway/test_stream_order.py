"""Streams: each event once, in sequence, and no end that isn't known."""

from __future__ import annotations

import asyncio
import re
from typing import NamedTuple

from deployments import CallerResponse
from deployments import Deployment
import pytest
from scriptedtargets import CHUNKED
from scriptedtargets import Fate
from scriptedtargets import make_chunk
from scriptedtargets import make_chunked
from scriptedtargets import make_events
from scriptedtargets import Script
from scriptedtargets import ScriptedTargets
from scriptedtargets import UNFRAMED

_RESUMABLE = '/talk/x'
_NOT_RESUMABLE = '/chat/x'
_DATA = re.compile(rb'data: piece (\d+)')
_JSON = '200 OK\r\nContent-Type: application/json\r\n'


class _Case(NamedTuple):
    """What targets send, and what the caller is to receive.

    ``numbers`` are those of the events that it receives, in their order;
    ``resumed_after`` has the last event that each run was to go on after.
    """

    path: str
    scripts: tuple[Script, ...]
    numbers: list[int]
    is_whole: bool
    resumed_after: list[str | None]


def _make_body(head: str, body: bytes) -> Script:
    return Script(f'{head}Content-Length: {len(body)}\r\n', (body,))


_LIMITED = f'{UNFRAMED}Server-Limit: 0.01\r\n'


def _end(fate: Fate, head: str = UNFRAMED) -> Script:
    """Return a stream of two events that ends with its connection."""
    return Script(head, (make_events(1), make_events(2)), 'fin', fate)


_KILLED = _end(Fate.GONE)
_BROKEN_OFF = make_chunked(make_events(1), make_events(2), is_ended=False)
_REST = make_chunked(make_events(3), make_events(4))
_KILLED_AT_ONCE = Script(UNFRAMED, (), 'fin', Fate.GONE)
_ALL = [1, 2, 3, 4]
_ENDS = {
    'target without framing is killed': _Case(
        _NOT_RESUMABLE, (_KILLED,), [1, 2], False, [None]
    ),
    'target without framing is killed, resumed': _Case(
        _RESUMABLE, (_KILLED, _REST), _ALL, True, [None, '2']
    ),
    'next target is killed too': _Case(
        _RESUMABLE, (_BROKEN_OFF, _KILLED_AT_ONCE), [1, 2], False, [None, '2']
    ),
    'next target has no event left': _Case(
        _RESUMABLE, (_BROKEN_OFF, make_chunked()), [1, 2], True, [None, '2']
    ),
    'next target rejects the rest': _Case(
        _RESUMABLE,
        (_BROKEN_OFF, _make_body('400 Bad Request\r\n', b'no')),
        [1, 2],
        False,
        [None, '2'],
    ),
    'next target sends no stream': _Case(
        _RESUMABLE,
        (_BROKEN_OFF, _make_body(_JSON, b'{}')),
        [1, 2],
        False,
        [None, '2'],
    ),
    'next target fails': _Case(
        _RESUMABLE,
        (_BROKEN_OFF, _make_body('500 Internal Server Error\r\n', b'')),
        [1, 2],
        False,
        [None, '2'],
    ),
}
_UNFRAMED = {
    'target runs': _Case(
        _NOT_RESUMABLE, (_end(Fate.RUNS),), [1, 2], True, [None]
    ),
    'target takes connections, but answers nothing': _Case(
        _NOT_RESUMABLE, (_end(Fate.MUTE),), [1, 2], False, [None]
    ),
    'target has started again': _Case(
        _NOT_RESUMABLE, (_end(Fate.RESTARTED),), [1, 2], False, [None]
    ),
    'target that limits its requests runs': _Case(
        _NOT_RESUMABLE, (_end(Fate.RUNS, _LIMITED),), [1, 2], True, [None]
    ),
    'target that limits its requests is killed': _Case(
        _NOT_RESUMABLE, (_end(Fate.GONE, _LIMITED),), [1, 2], False, [None]
    ),
    'rest comes without framing': _Case(
        _RESUMABLE,
        (_BROKEN_OFF, Script(UNFRAMED, (make_events(3, 4),), 'fin')),
        _ALL,
        True,
        [None, '2'],
    ),
    'no rest comes, without framing': _Case(
        _RESUMABLE,
        (_BROKEN_OFF, Script(UNFRAMED, (), 'fin')),
        [1, 2],
        True,
        [None, '2'],
    ),
}
_NUMBERS = {
    'event is missing': _Case(
        _NOT_RESUMABLE,
        (make_chunked(make_events(1), make_events(2), make_events(4)),),
        [1, 2],
        False,
        [None],
    ),
    'event is missing within a packet': _Case(
        _NOT_RESUMABLE,
        (make_chunked(make_events(1, 2, 4)),),
        [1, 2],
        False,
        [None],
    ),
    'event is missing, resumed': _Case(
        _RESUMABLE,
        (make_chunked(make_events(1, 2, 4)), _REST),
        _ALL,
        True,
        [None, '2'],
    ),
    'number goes back within a packet': _Case(
        _NOT_RESUMABLE,
        (make_chunked(make_events(1, 2, 1, 3)),),
        [1, 2],
        False,
        [None],
    ),
    'number goes back': _Case(
        _NOT_RESUMABLE,
        (make_chunked(make_events(1), make_events(2), make_events(1)),),
        [1, 2],
        False,
        [None],
    ),
    'number comes twice': _Case(
        _NOT_RESUMABLE,
        (make_chunked(make_events(1), make_events(2), make_events(2)),),
        [1, 2],
        False,
        [None],
    ),
    'next run leaves an event out': _Case(
        _RESUMABLE,
        (_BROKEN_OFF, make_chunked(make_events(4))),
        [1, 2],
        False,
        [None, '2'],
    ),
    'next run begins anew': _Case(
        _RESUMABLE,
        (_BROKEN_OFF, make_chunked(make_events(1, 2, 3), make_events(4))),
        _ALL,
        True,
        [None, '2'],
    ),
    'next run begins anew and leaves an event out': _Case(
        _RESUMABLE,
        (_BROKEN_OFF, make_chunked(make_events(1, 3), make_events(4))),
        [1, 2],
        False,
        [None, '2'],
    ),
    'next run has an event without a number': _Case(
        _RESUMABLE,
        (_BROKEN_OFF, make_chunked(b'data: piece 2\n\n', make_events(3, 4))),
        [1, 2],
        False,
        [None, '2'],
    ),
    'comments have no number': _Case(
        _RESUMABLE,
        (
            make_chunked(
                b': a\n\n', make_events(1), b': b\n\n', is_ended=False
            ),
            make_chunked(b': c\n\n', make_events(2), b': d\n\n'),
        ),
        [1, 2],
        True,
        [None, '1'],
    ),
    'stream without numbers': _Case(
        _RESUMABLE,
        (make_chunked(b'data: piece 1\n\n', is_ended=False), _REST),
        [1],
        False,
        [None],
    ),
    'stream is numbered from 0': _Case(
        _NOT_RESUMABLE,
        (
            make_chunked(
                b'id: 0\ndata: piece 0\n\n', make_events(1), make_events(2)
            ),
        ),
        [0, 1, 2],
        True,
        [None],
    ),
    'first event is missing': _Case(
        _RESUMABLE,
        (make_chunked(make_events(2, 3)), make_chunked(make_events(1, 2, 3))),
        [1, 2, 3],
        True,
        [None, None],
    ),
}
_FORMS = {
    'two blanks before the number': _Case(
        _RESUMABLE,
        (
            make_chunked(b'id:  1\ndata: piece 1\n\n', is_ended=False),
            make_chunked(make_events(1, 2)),
        ),
        [1, 2],
        True,
        [None, '1'],
    ),
    'blank behind the number': _Case(
        _RESUMABLE,
        (
            make_chunked(b'id: 1 \ndata: piece 1\n\n', is_ended=False),
            make_chunked(make_events(1, 2)),
        ),
        [1, 2],
        True,
        [None, '1'],
    ),
    'lines end in CR': _Case(
        _RESUMABLE,
        (
            make_chunked(make_events(1, 2, end='\r'), is_ended=False),
            make_chunked(make_events(1, 2, 3, end='\r')),
        ),
        [1, 2, 3],
        True,
        [None, '2'],
    ),
    'two events and their end in one packet': _Case(
        _NOT_RESUMABLE,
        (
            Script(
                CHUNKED,
                (make_chunk(make_events(1, 2)) + make_chunk(b''),),
            ),
        ),
        [1, 2],
        True,
        [None],
    ),
    'unframed, killed within an event': _Case(
        _RESUMABLE,
        (
            Script(
                UNFRAMED, (make_events(1) + b'id: 2\nda',), 'fin', Fate.GONE
            ),
            make_chunked(make_events(2)),
        ),
        [1, 2],
        True,
        [None, '1'],
    ),
}


async def _ask(case: _Case) -> CallerResponse:
    async with Deployment() as deployment:
        async with ScriptedTargets(deployment, case.scripts) as targets:
            node = await deployment.start_node('vm1')
            response = await deployment.ask(node, case.path, b'x', '1000,50')
            assert targets.resumed_after == case.resumed_after
            return response


@pytest.mark.parametrize('case', _ENDS.values(), ids=_ENDS)
def test_end_is_known(case: _Case) -> None:
    """A stream ends as complete only if its target ended it."""
    _check(case, asyncio.run(_ask(case)))


@pytest.mark.parametrize('case', _UNFRAMED.values(), ids=_UNFRAMED)
def test_end_without_framing(case: _Case) -> None:
    """The end of a connection ends a stream if its target still runs."""
    _check(case, asyncio.run(_ask(case)))


@pytest.mark.parametrize('case', _NUMBERS.values(), ids=_NUMBERS)
def test_events_are_in_sequence(case: _Case) -> None:
    """No event is missing or comes twice, in one read or over two runs."""
    _check(case, asyncio.run(_ask(case)))


@pytest.mark.parametrize('case', _FORMS.values(), ids=_FORMS)
def test_numbers_are_read_in_all_forms(case: _Case) -> None:
    """Numbers count whatever the blanks, line ends and packets are."""
    _check(case, asyncio.run(_ask(case)))


def _check(case: _Case, response: CallerResponse) -> None:
    numbers = [int(n) for n in _DATA.findall(response.body)]
    assert (response.status, numbers) == (200, case.numbers)
    assert response.is_whole is case.is_whole
