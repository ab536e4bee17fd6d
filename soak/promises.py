"""The promises that are checked, from what callers and replicas saw."""

from __future__ import annotations

import collections
import re
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import ONE_RUN_PATH
from lentilrun.standins.configuration import PLAIN_PATH
from lentilrun.standins.configuration import UNSAFE_PATH

from .callers import Ending

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from lentilrun.standins.replica import Run

    from .callers import Record
    from .faults import Event

_NOT_RUN = frozenset((408, 421, 429, 503))
_ONCE = frozenset((UNSAFE_PATH, ONE_RUN_PATH))
_EVENT = re.compile(rb'^id: (\d+)$', re.MULTILINE)
_WORKSPACE = 'workspace'


class Broken(NamedTuple):
    """A promise that was broken, and by which request or VM."""

    promise: str
    subject: str
    detail: str


def check_runs(runs: Iterable[Run]) -> Iterator[Broken]:
    """Yield what replicas should not have been given."""
    counts = collections.Counter(r.request_id for r in runs)
    for run in runs:
        path = run.uri
        if path in _ONCE and counts[run.request_id] > 1:
            yield Broken('at most once', run.request_id, path)
        if run.headers.get('X-Tenant-Id') != _WORKSPACE:
            yield Broken('workspace', run.request_id, path)
        if 'Api-Key' in run.headers:
            yield Broken('key kept from targets', run.request_id, path)
        if run.body != run.request_id.encode():
            yield Broken('body unchanged', run.request_id, path)


def check_refusals(
    records: Iterable[Record], runs: Iterable[Run]
) -> Iterator[Broken]:
    """Yield refusals that said "not run" of what ran."""
    ran = {r.request_id for r in runs}
    for record in records:
        if record.status in _NOT_RUN and record.request_id in ran:
            yield Broken(
                'a refusal is true', record.request_id, str(record.status)
            )


def check_answers(records: Iterable[Record], events: int) -> Iterator[Broken]:
    """Yield answers that are another's, or not whole and in order."""
    for record in records:
        if record.ending is not Ending.ANSWERED:
            continue
        if record.answered_id not in ('', record.request_id):
            yield Broken('own answer', record.request_id, record.answered_id)
        if record.status != 200:
            continue
        if record.path in (PLAIN_PATH, UNSAFE_PATH):
            if record.body != record.request_id.encode():
                yield Broken('own answer', record.request_id, 'other body')
            continue
        numbers = [int(n) for n in _EVENT.findall(record.body)]
        if numbers != list(range(1, len(numbers) + 1)):
            yield Broken('in order', record.request_id, str(numbers))
        if record.is_whole and len(numbers) != events:
            yield Broken('whole', record.request_id, str(numbers))


def check_silence(
    records: Iterable[Record], events: Sequence[Event]
) -> Iterator[Broken]:
    """Yield requests without an end, unless their VM stood still."""
    stops = [e for e in events if e.what in ('pause_vm', 'kill_vm')]
    for record in records:
        if record.ending is not Ending.SILENT:
            continue
        excused = any(
            e.where == record.vm
            and e.began < record.ended
            and e.ended > record.sent
            for e in stops
        )
        if not excused:
            yield Broken('an end in time', record.request_id, record.vm)


def check_cuts(
    records: Iterable[Record], runs: Iterable[Run], vm: str, since: float
) -> Iterator[Broken]:
    """Yield requests that a VM passed on and left without an answer."""
    ran = {r.request_id for r in runs}
    for record in records:
        is_cut = record.ending in (Ending.BROKEN, Ending.SILENT)
        is_cut |= record.status == 200 and not record.is_whole
        if record.vm != vm or record.ended < since or not is_cut:
            continue
        if record.request_id in ran:
            yield Broken('graceful shutdown', record.request_id, record.path)


__all__ = [
    'Broken',
    'check_answers',
    'check_cuts',
    'check_refusals',
    'check_runs',
    'check_silence',
]
