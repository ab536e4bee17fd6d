"""Runs a seed of planned work alone, and judges unanswered requests."""

from __future__ import annotations

import asyncio
import enum
import math
import pathlib
import random
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from .callers import RequestOutcome
from .deployment import Deployment
from .deployment import STREAM_EVENTS
from .faults import FaultEvent
from .invariants import check_refusals
from .invariants import check_responses
from .invariants import check_runs
from .invariants import check_timeouts
from .invariants import Violation
from .plannedcallers import PlannedCallerPool
from .plannedwork import GRACE_S
from .plannedwork import make_planned_configuration
from .plannedwork import PlannedWork
from .plannedwork import RESTART
from .plannedwork import SPARE_SERVICE
from .plannedwork import TIMEOUTS_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lentilrun.standins.replica import ExecutedRequest
    from lentilrun.standins.replica import ReplicaState

    from .callers import RequestRecord

# A request that no replica got doesn't count if its connection ends this soon
# after its last byte was sent.
_SLACK_S = 0.2
_LAST_SIXTH_S = GRACE_S * 5 / 6
# Requests that are sent later than this after SIGTERM are not excused.
_LATE_S = 3.0
_POLL_S = 0.05
_STALL_S = 0.4
_TIMEOUT_S = min(TIMEOUTS_MS) / 1e3
# Seconds until the response of each replica, and between its events.
_PACES = {
    'a1': (0.05, 0.0),
    'a2': (1.0, 0.0),
    's1': (0.3, 0.0),
    'e1': (0.0, 0.1),
    'e2': (0.0, 0.4),
    'e3': (0.5, 0.9),
}


class End(enum.StrEnum):
    """How a request ended that has no complete answer."""

    NOT_READ = 'not_read'
    WITHIN_SLACK = 'within_slack'
    AT_DEADLINE = 'at_deadline'
    AT_WORK = 'at_work'
    LOST_AT_REPLICA = 'lost_at_replica'
    LOST_BY_VM = 'lost_by_vm'


_LOST = (End.LOST_AT_REPLICA, End.LOST_BY_VM)


class ReplicaWork(NamedTuple):
    """A request that a replica got, and when its work on it ended."""

    request_id: str
    ends_at: float
    replica: str = ''


class PlannedResult(NamedTuple):
    """All requests of a seed, the work that was done, and violations."""

    records: list[RequestRecord]
    events: list[FaultEvent]
    violations: list[Violation]


def find_end(
    record: RequestRecord, work: Sequence[float], events: Sequence[FaultEvent]
) -> End:
    """Return how a request that was sent ended.

    ``work`` is when replicas ended theirs.
    """
    is_at_replica = bool(work) or record.status == 200
    elapsed = record.ended_at - record.written_at
    if not is_at_replica and not record.was_read:
        return End.NOT_READ
    if not is_at_replica and elapsed <= _SLACK_S:
        return End.WITHIN_SLACK
    stops = [
        e.started_at
        for e in events
        if e.kind == RESTART
        and e.subject == record.vm
        and e.started_at <= record.ended_at
    ]
    stopped_at = max(stops, default=-math.inf)
    if record.written_at <= stopped_at + _LATE_S and any(
        t > stopped_at + _LAST_SIXTH_S for t in work
    ):
        return End.AT_WORK
    if elapsed >= _TIMEOUT_S:
        return End.AT_DEADLINE
    return End.LOST_AT_REPLICA if is_at_replica else End.LOST_BY_VM


def _list_unanswered(
    records: Sequence[RequestRecord],
    works: Sequence[ReplicaWork],
    events: Sequence[FaultEvent],
) -> list[FaultEvent]:
    """Return the ends of requests without a complete answer, as events."""
    times: dict[str, list[float]] = {}
    for work in works:
        times.setdefault(work.request_id, []).append(work.ends_at)
    return [
        FaultEvent(
            record.written_at,
            record.ended_at,
            find_end(record, times.get(record.request_id, ()), events).value,
            f'{record.request_id} {record.path} {record.vm}',
        )
        for record in records
        if record.written_at
        and not record.is_complete
        and record.outcome is not RequestOutcome.TIMED_OUT
    ] + [
        FaultEvent(r.sent_at, r.ended_at, 'unconnected', r.request_id)
        for r in records
        if not r.written_at and r.outcome is RequestOutcome.TIMED_OUT
    ]


class _ReplicaWatch:
    """Notes when one replica ends its work on a request."""

    def __init__(self, state: ReplicaState, works: list[ReplicaWork]) -> None:
        self._state = state
        self._works = works
        state.record_run = self._add_run
        state.stream_responder = self._respond

    def _add_run(self, run: ExecutedRequest) -> None:
        ends_at = run.started_at + self._state.plan.response_delay_s
        self._works.append(
            ReplicaWork(run.request_id, ends_at, self._state.incarnation)
        )
        self._state.add_run(run)

    async def _respond(self, handler: Any) -> None:
        try:
            await handler.send_events('')
        finally:
            request_id = handler.request.headers['X-Request-Id']
            now = asyncio.get_running_loop().time()
            self._works.append(
                ReplicaWork(request_id, now, self._state.incarnation)
            )


def _prepare(deployment: Deployment, rng: random.Random) -> list[ReplicaWork]:
    """Set the replicas' paces; return a list to which they add their work."""
    works: list[ReplicaWork] = []
    for name, (delay, pause) in _PACES.items():
        state = deployment.replicas[name]
        state.plan.response_delay_s = delay
        state.plan.event_interval_s = pause
        _ReplicaWatch(state, works)
    deployment.configure(**make_planned_configuration(rng))
    return works


async def _watch_loop(events: list[FaultEvent]) -> None:
    """Note when the event loop of the soak itself stands still."""
    now = asyncio.get_running_loop().time
    while True:
        before = now()
        await asyncio.sleep(_POLL_S)
        if now() - before > _STALL_S:
            events.append(FaultEvent(before, now(), 'soak_stalled', ''))


async def run_planned(
    seed: int, folder: pathlib.Path, vms: int, seconds: float
) -> PlannedResult:
    """Do planned work for some seconds; judge after all of it has ended."""
    rng = random.Random(seed)
    async with Deployment(
        folder, vms, grace_s=GRACE_S, further={'s1': SPARE_SERVICE}
    ) as deployment:
        works = _prepare(deployment, rng)
        work = PlannedWork(deployment, rng)
        callers = PlannedCallerPool(
            deployment, work, random.Random(f'{seed} callers')
        )
        watch = asyncio.ensure_future(_watch_loop(work.events))
        async with work, callers:
            await work.run(seconds)
        watch.cancel()
        records = callers.records
        ends = _list_unanswered(records, works, work.events)
        for name, items in (
            ('requests', records),
            ('events', work.events),
            ('works', works),
        ):
            lines = map(msgspec.json.encode, items)
            (folder / name).write_bytes(b'\n'.join(lines))
        runs = deployment.runs()
        violations = [
            *work.violations,
            *check_runs(runs),
            *check_refusals(records, runs),
            *check_responses(records, STREAM_EVENTS),
            # A caller that can't connect in time has sent nothing.
            *check_timeouts([r for r in records if r.written_at], []),
        ]
        for event in ends:
            if event.kind in _LOST:
                detail = f'{event.kind} at {event.ended_at:.3f}'
                violations.append(
                    Violation('planned work', event.subject, detail)
                )
        for vm in deployment.vms:
            vm.is_running()
            if vm.unexpected_exits:
                violations.append(
                    Violation('no unexpected exit', vm.name, 'planned work')
                )
        return PlannedResult(records, work.events + ends, violations)


__all__ = ['End', 'find_end', 'PlannedResult', 'ReplicaWork', 'run_planned']
