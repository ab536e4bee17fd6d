"""Invariants, checked on the records of callers and replicas."""

from __future__ import annotations

import collections
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import NON_RESUMABLE_PATH
from lentilrun.standins.configuration import RESUMABLE_PATH
from lentilrun.standins.configuration import SAFE_PATH
from lentilrun.standins.configuration import UNSAFE_PATH

from .callers import DEADLINE_S
from .callers import RequestOutcome
from .eventstreams import read_length
from .replicaprocesses import NON_RESUMABLE_PREFIX
from .replicaprocesses import RESUMABLE_PREFIX
from .streamcheck import check_stream
from .streamcheck import ExpectedStream

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from lentilrun.standins.replica import ExecutedRequest

    from .callers import RequestRecord
    from .faults import FaultEvent

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_AT_MOST_ONCE_PATHS = (UNSAFE_PATH, NON_RESUMABLE_PATH, NON_RESUMABLE_PREFIX)
_RESUMABLE_PATHS = (RESUMABLE_PATH, RESUMABLE_PREFIX)
_PROCESS_PATHS = (RESUMABLE_PREFIX, NON_RESUMABLE_PREFIX)
_WORKSPACE = 'workspace'


class Violation(NamedTuple):
    """A violated invariant; ``subject`` is the request, VM or target."""

    invariant: str
    subject: str
    detail: str


def check_runs(runs: Iterable[ExecutedRequest]) -> Iterator[Violation]:
    """Yield requests that replicas must not have received."""
    counts = collections.Counter(r.request_id for r in runs)
    for run in runs:
        path = run.uri
        if path.startswith(_AT_MOST_ONCE_PATHS) and counts[run.request_id] > 1:
            yield Violation('at most once', run.request_id, path)
        if run.headers.get('X-Tenant-Id') != _WORKSPACE:
            yield Violation('workspace', run.request_id, path)
        if 'Api-Key' in run.headers:
            yield Violation('key not forwarded', run.request_id, path)
        if run.body != run.request_id.encode():
            yield Violation('body unchanged', run.request_id, path)


def check_refusals(
    records: Iterable[RequestRecord], runs: Iterable[ExecutedRequest]
) -> Iterator[Violation]:
    """Yield refusals that state "not run" for a request that ran."""
    ran = {r.request_id for r in runs}
    for record in records:
        if record.status in _NOT_RUN_STATUSES and record.request_id in ran:
            yield Violation(
                'truthful refusal', record.request_id, str(record.status)
            )


def check_responses(
    records: Iterable[RequestRecord], events: int
) -> Iterator[Violation]:
    """Yield responses of another request, incomplete or out of order.

    ``events`` is the number of events in a complete stream whose path
    doesn't state it.
    """
    for record in records:
        if record.response_id not in ('', record.request_id):
            yield Violation(
                'own response', record.request_id, record.response_id
            )
        if record.status != 200:
            continue
        if record.path not in (SAFE_PATH, UNSAFE_PATH):
            yield from _check_stream(record, events)
        elif record.body != record.request_id.encode():
            yield Violation('own response', record.request_id, 'other body')


def _check_stream(record: RequestRecord, events: int) -> Iterator[Violation]:
    last = events
    if record.path.startswith(_PROCESS_PATHS):
        last = read_length(record.path)
    expected = ExpectedStream(
        record.request_id,
        record.first_event,
        last,
        record.path.startswith(_RESUMABLE_PATHS),
    )
    for invariant, detail in check_stream(
        record.body, record.is_complete, expected
    ):
        seen = f'{detail} from {record.vm} at {record.ended_at:.3f}'
        yield Violation(invariant, record.request_id, seen)


def check_timeouts(
    records: Iterable[RequestRecord], events: Sequence[FaultEvent]
) -> Iterator[Violation]:
    """Yield requests that timed out while their VM was running."""
    stops = [e for e in events if e.kind in ('pause_vm', 'kill_vm')]
    for record in records:
        if record.outcome is not RequestOutcome.TIMED_OUT:
            continue
        excused = any(
            e.subject == record.vm
            and e.started_at < record.ended_at
            and e.ended_at > record.sent_at
            for e in stops
        )
        if not excused:
            yield Violation('response in time', record.request_id, record.vm)


def check_aborted_requests(
    records: Iterable[RequestRecord],
    runs: Iterable[ExecutedRequest],
    vm: str,
    since: float,
) -> Iterator[Violation]:
    """Yield requests that ran, but got no complete response from ``vm``.

    A stream may be broken off at its caller's deadline.
    """
    ran = {r.request_id for r in runs}
    for record in records:
        is_aborted = record.outcome in (
            RequestOutcome.CONNECTION_CLOSED,
            RequestOutcome.TIMED_OUT,
        )
        is_aborted |= (
            record.outcome is RequestOutcome.ANSWERED
            and record.status == 200
            and not record.is_complete
            and record.ended_at - record.sent_at < DEADLINE_S
        )
        if record.vm != vm or record.ended_at < since or not is_aborted:
            continue
        if record.request_id in ran:
            yield Violation(
                'graceful shutdown', record.request_id, record.path
            )


__all__ = [
    'check_aborted_requests',
    'check_refusals',
    'check_responses',
    'check_runs',
    'check_timeouts',
    'Violation',
]
