"""Each check of the soak finds what it is for."""

from __future__ import annotations

from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import ONE_RUN_PATH
from lentilrun.standins.configuration import PLAIN_PATH
from lentilrun.standins.configuration import STREAM_PATH
from lentilrun.standins.configuration import UNSAFE_PATH
from lentilrun.standins.replica import Run
import pytest
from soak.callers import RequestOutcome
from soak.callers import RequestRecord
from soak.faults import FaultEvent
from soak.invariants import check_aborted_requests
from soak.invariants import check_refusals
from soak.invariants import check_responses
from soak.invariants import check_runs
from soak.invariants import check_timeouts

_RUN = Run('r1', 'POST', UNSAFE_PATH, {'X-Tenant-Id': 'workspace'}, b'r1')
_ANSWER = RequestRecord(
    'r1',
    UNSAFE_PATH,
    'vm0',
    KEY,
    10.0,
    10.1,
    RequestOutcome.ANSWERED,
    200,
    'r1',
    b'r1',
    True,
)
_FIRST = b'id: 1\ndata: a\n\n'
_SECOND = b'id: 2\ndata: b\n\n'
_STREAM = _ANSWER._replace(path=STREAM_PATH, body=_FIRST + _SECOND)
_EVENTS = 2


@pytest.mark.parametrize(
    ('runs', 'invariants'),
    [
        ([_RUN], []),
        ([_RUN, _RUN], ['at most once'] * 2),
        ([_RUN._replace(uri=ONE_RUN_PATH)] * 2, ['at most once'] * 2),
        ([_RUN._replace(uri=PLAIN_PATH)] * 2, []),
        ([_RUN._replace(headers={})], ['workspace']),
        (
            [_RUN._replace(headers={**_RUN.headers, 'Api-Key': KEY})],
            ['key kept from targets'],
        ),
        ([_RUN._replace(body=b'')], ['body unchanged']),
    ],
)
def test_runs(runs: list[Run], invariants: list[str]) -> None:
    """What replicas were given."""
    assert [b.invariant for b in check_runs(runs)] == invariants


@pytest.mark.parametrize(
    ('status', 'runs', 'is_broken'),
    [
        (503, [], False),
        (503, [_RUN], True),
        (429, [_RUN], True),
        (408, [_RUN], True),
        (502, [_RUN], False),
        (504, [_RUN], False),
    ],
)
def test_refusals(status: int, runs: list[Run], is_broken: bool) -> None:
    """What callers were told of requests that ran."""
    record = _ANSWER._replace(status=status)
    assert bool(list(check_refusals([record], runs))) is is_broken


@pytest.mark.parametrize(
    ('record', 'invariants'),
    [
        (_ANSWER, []),
        (_ANSWER._replace(body=b'r2'), ['own answer']),
        (_ANSWER._replace(response_id='r2'), ['own answer']),
        (_STREAM, []),
        (_STREAM._replace(body=_FIRST), ['whole']),
        (_STREAM._replace(body=_FIRST, is_complete=False), []),
        (
            _STREAM._replace(body=_SECOND, is_complete=False),
            ['in order'],
        ),
        (
            _STREAM._replace(body=_STREAM.body * 2),
            ['in order', 'whole'],
        ),
    ],
)
def test_answers(record: RequestRecord, invariants: list[str]) -> None:
    """What callers got."""
    found = check_responses([record], _EVENTS)
    assert [b.invariant for b in found] == invariants


@pytest.mark.parametrize(
    ('events', 'is_broken'),
    [
        ([], True),
        ([FaultEvent(9.0, 9.9, 'pause_vm', 'vm0')], True),
        ([FaultEvent(10.05, 12.0, 'pause_vm', 'vm1')], True),
        ([FaultEvent(10.05, 12.0, 'pause_vm', 'vm0')], False),
        ([FaultEvent(10.05, 12.0, 'break_store', 'hangs')], True),
    ],
)
def test_silence(events: list[FaultEvent], is_broken: bool) -> None:
    """Only a VM that stands still may leave a request without an end."""
    record = _ANSWER._replace(outcome=RequestOutcome.TIMED_OUT, status=0)
    assert bool(list(check_timeouts([record], events))) is is_broken


@pytest.mark.parametrize(
    ('record', 'is_broken'),
    [
        (_ANSWER, False),
        (
            _ANSWER._replace(
                outcome=RequestOutcome.CONNECTION_CLOSED, status=0
            ),
            True,
        ),
        (
            _ANSWER._replace(outcome=RequestOutcome.NOT_CONNECTED, status=0),
            False,
        ),
        (_STREAM._replace(is_complete=False), True),
        (
            _ANSWER._replace(
                outcome=RequestOutcome.CONNECTION_CLOSED, vm='vm1'
            ),
            False,
        ),
        (
            _ANSWER._replace(
                outcome=RequestOutcome.CONNECTION_CLOSED, request_id='r2'
            ),
            False,
        ),
    ],
)
def test_cuts(record: RequestRecord, is_broken: bool) -> None:
    """What was passed on before a shutdown is answered."""
    found = check_aborted_requests([record], [_RUN], 'vm0', 9.0)
    assert bool(list(found)) is is_broken
