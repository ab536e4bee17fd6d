"""The soak's checks detect violations and accept correct records."""

from __future__ import annotations

from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import NON_RESUMABLE_PATH
from lentilrun.standins.configuration import RESUMABLE_PATH
from lentilrun.standins.configuration import SAFE_PATH
from lentilrun.standins.configuration import UNSAFE_PATH
from lentilrun.standins.replica import ExecutedRequest
import pytest
from soak.callers import RequestOutcome
from soak.callers import RequestRecord
from soak.faults import FaultEvent
from soak.invariants import check_aborted_requests
from soak.invariants import check_refusals
from soak.invariants import check_responses
from soak.invariants import check_runs
from soak.invariants import check_timeouts

_RUN = ExecutedRequest(
    'r1', 'POST', UNSAFE_PATH, {'X-Tenant-Id': 'workspace'}, b'r1', 10.0, {}
)
_RESPONSE = RequestRecord(
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
_FIRST_EVENT = b'id: 1\ndata: piece 1\n\n'
_SECOND_EVENT = b'id: 2\ndata: piece 2\n\n'
_STREAM = _RESPONSE._replace(
    path=RESUMABLE_PATH, body=_FIRST_EVENT + _SECOND_EVENT
)
_EVENTS = 2


@pytest.mark.parametrize(
    ('runs', 'invariants'),
    [
        ([_RUN], []),
        ([_RUN, _RUN], ['at most once'] * 2),
        ([_RUN._replace(uri=NON_RESUMABLE_PATH)] * 2, ['at most once'] * 2),
        ([_RUN._replace(uri=SAFE_PATH)] * 2, []),
        ([_RUN._replace(uri='/near/a-2')] * 2, ['at most once'] * 2),
        ([_RUN._replace(uri='/far/a-2')] * 2, []),
        ([_RUN._replace(headers={})], ['workspace']),
        (
            [_RUN._replace(headers={**_RUN.headers, 'Api-Key': KEY})],
            ['key not forwarded'],
        ),
        ([_RUN._replace(body=b'')], ['body unchanged']),
    ],
)
def test_runs(runs: list[ExecutedRequest], invariants: list[str]) -> None:
    """Requests that replicas must not have received are reported."""
    assert [v.invariant for v in check_runs(runs)] == invariants


@pytest.mark.parametrize(
    ('status', 'runs', 'is_violated'),
    [
        (503, [], False),
        (503, [_RUN], True),
        (429, [_RUN], True),
        (408, [_RUN], True),
        (502, [_RUN], False),
        (504, [_RUN], False),
    ],
)
def test_refusals(
    status: int, runs: list[ExecutedRequest], is_violated: bool
) -> None:
    """Statuses that mean "not run" are false for a request that ran."""
    record = _RESPONSE._replace(status=status)
    assert bool(list(check_refusals([record], runs))) is is_violated


@pytest.mark.parametrize(
    ('record', 'invariants'),
    [
        (_RESPONSE, []),
        (_RESPONSE._replace(body=b'r2'), ['own response']),
        (_RESPONSE._replace(response_id='r2'), ['own response']),
        (_STREAM, []),
        (_STREAM._replace(body=_FIRST_EVENT), ['complete stream']),
        (_STREAM._replace(body=_FIRST_EVENT, is_complete=False), []),
        (
            _STREAM._replace(body=_SECOND_EVENT, is_complete=False),
            ['events in order'],
        ),
        (
            _STREAM._replace(body=_STREAM.body * 2),
            ['events in order', 'complete stream'],
        ),
        (
            _STREAM._replace(body=_STREAM.body.replace(b'ece 2', b'ece 1')),
            ['events in order'],
        ),
        (
            _STREAM._replace(
                body=_SECOND_EVENT.replace(b'\n', b'\r\n'), is_complete=False
            ),
            ['events in order'],
        ),
        (
            _STREAM._replace(
                body=_SECOND_EVENT,
                is_complete=False,
                outcome=RequestOutcome.ABANDONED,
            ),
            ['events in order'],
        ),
        (_STREAM._replace(path='/far/a-2'), []),
        (_STREAM._replace(path='/far/a-3'), ['complete stream']),
        (
            _STREAM._replace(
                path='/far/a-2', body=_SECOND_EVENT, first_event=2
            ),
            [],
        ),
        (
            _STREAM._replace(path='/far/a-2', first_event=2),
            ['events in order', 'complete stream'],
        ),
    ],
)
def test_responses(record: RequestRecord, invariants: list[str]) -> None:
    """Another request's body, missing and reordered events are reported."""
    violations = check_responses([record], _EVENTS)
    assert [v.invariant for v in violations] == invariants


@pytest.mark.parametrize(
    ('events', 'is_violated'),
    [
        ([], True),
        ([FaultEvent(9.0, 9.9, 'pause_vm', 'vm0')], True),
        ([FaultEvent(10.05, 12.0, 'pause_vm', 'vm1')], True),
        ([FaultEvent(10.05, 12.0, 'pause_vm', 'vm0')], False),
        ([FaultEvent(10.05, 12.0, 'break_store', 'hangs')], True),
    ],
)
def test_timeouts(events: list[FaultEvent], is_violated: bool) -> None:
    """A timeout is a violation unless the request's VM was stopped."""
    record = _RESPONSE._replace(outcome=RequestOutcome.TIMED_OUT, status=0)
    assert bool(list(check_timeouts([record], events))) is is_violated


@pytest.mark.parametrize(
    ('record', 'is_violated'),
    [
        (_RESPONSE, False),
        (
            _RESPONSE._replace(
                outcome=RequestOutcome.CONNECTION_CLOSED, status=0
            ),
            True,
        ),
        (
            _RESPONSE._replace(outcome=RequestOutcome.NOT_CONNECTED, status=0),
            False,
        ),
        (_STREAM._replace(is_complete=False), True),
        (_STREAM._replace(is_complete=False, ended_at=12.49), True),
        (_STREAM._replace(is_complete=False, ended_at=12.5), False),
        (
            _STREAM._replace(
                is_complete=False, outcome=RequestOutcome.ABANDONED
            ),
            False,
        ),
        (
            _RESPONSE._replace(
                outcome=RequestOutcome.CONNECTION_CLOSED, vm='vm1'
            ),
            False,
        ),
        (
            _RESPONSE._replace(
                outcome=RequestOutcome.CONNECTION_CLOSED, request_id='r2'
            ),
            False,
        ),
    ],
)
def test_aborted_requests(record: RequestRecord, is_violated: bool) -> None:
    """A request that ran before a VM's shutdown needs a response."""
    violations = check_aborted_requests([record], [_RUN], 'vm0', 9.0)
    assert bool(list(violations)) is is_violated
