"""Reports for operators, as typed values."""

from __future__ import annotations

import pathlib
import re
import resource
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..fleet.state import CONFIGURATION_TOPIC
from ..usage.records import read_records
from ..usage.records import sum_by_workspace

if TYPE_CHECKING:
    from ..daemon.node import Node
    from ..usage.records import Record
    from ..usage.records import Total


class MemberStatus(NamedTuple):
    """A member as this daemon sees it.

    ``silent`` is the time since its last message in seconds, -1 if none
    was received.
    """

    name: str
    data_centre: str
    generation: int
    silent: float
    leaving: bool


class TargetStatus(NamedTuple):
    """A target as this daemon sees it."""

    name: str
    model: str
    version: str
    usable: bool
    leaving: bool
    load: int


class Status(NamedTuple):
    """The state of the fleet as one daemon sees it.

    ``table`` tells whether it read the table recently, ``behind`` has the
    names of the members with an older configuration.
    """

    vm: str
    generation: int
    fresh: bool
    table: bool
    in_force_everywhere: bool
    behind: tuple[str, ...]
    members: tuple[MemberStatus, ...]
    targets: tuple[TargetStatus, ...]


class MoveStatus(NamedTuple):
    """A move: done, under way or taken back, and why.

    ``by`` is its deadline in seconds since 1970, ``share`` from 0 to 1.
    """

    name: str
    model: str
    version: str
    state: str
    share: float
    reason: str
    by: float
    overdue: bool


class UsageReport(NamedTuple):
    """Totals by workspace, and the records that they are summed from.

    ``unwritten`` is the longest time before a daemon's crash, in seconds,
    whose usage may be missing.
    """

    totals: dict[str, Total]
    records: tuple[Record, ...]
    unwritten: float


class Dump(NamedTuple):
    """The state of one process.

    ``timings`` has quantiles in microseconds, ``buckets`` the available
    tokens and ``units`` the bucket units by workspace.
    """

    vm: str
    incarnation: str
    status: Status
    counts: dict[str, int]
    timings: dict[str, dict[str, int]]
    buckets: dict[str, float]
    units: dict[str, int]
    running: int
    waiting: int
    placements: int
    bans: dict[str, str]
    suspects: int
    tasks: tuple[str, ...]
    memory_kib: int
    cpu_seconds: float


_MAX_USAGE_LAG_S = 2.5


def make_status(node: Node) -> Status:
    """Return the state of the fleet as a daemon sees it."""
    state = node.state
    generation = state.configuration_generation()
    members = tuple(_make_member(node, n) for n in sorted(_list_members(node)))
    behind = tuple(m.name for m in members if m.generation < generation)
    return Status(
        state.name,
        generation,
        state.is_fresh(),
        state.freshness.has_recent_table_read(),
        not behind,
        behind,
        members,
        tuple(_make_targets(node)),
    )


def _list_members(node: Node) -> frozenset[str]:
    return node.state.roster.names()


def _make_member(node: Node, name: str) -> MemberStatus:
    state = node.state
    member = state.roster.find(name)
    centre = member.data_centre if member is not None else ''
    if name == state.name:
        generation = state.configuration_generation()
        return MemberStatus(name, centre, generation, 0.0, state.leaving)
    peer = state.heartbeats.peers.get(name)
    if peer is None:
        return MemberStatus(name, centre, 0, -1.0, False)
    generation = peer.heartbeat.generations.get(CONFIGURATION_TOPIC, 0)
    silent = round(state.clock.now() - peer.last_received, 3)
    return MemberStatus(
        name, centre, generation, silent, peer.heartbeat.leaving
    )


def _make_targets(node: Node) -> list[TargetStatus]:
    targets = []
    for name, state in sorted(node.pool.targets.items()):
        groups = node.pool.get_groups(state.model.name)
        usable = any(name in group.names for group in groups.values())
        targets.append(
            TargetStatus(
                name,
                state.model.name,
                state.weights_version,
                usable,
                state.leaving or name in node.pool.withdrawn_targets,
                state.estimate_in_flight(),
            )
        )
    return targets


_STATE_BY_STAGE = {
    'done': 'done',
    'taken_back': 'taken back',
    'proving': 'under way',
    'rolling': 'under way',
}


def make_moves(node: Node) -> tuple[MoveStatus, ...]:
    """Return the state of each move."""
    moves = []
    now = time.time()
    for move in node.moves.list_moves():
        progress = node.moves.find_progress(move)
        stage = progress.stage if progress is not None else 'proving'
        ban_reason = node.moves.find_ban_reason(move.model, move.version)
        if ban_reason:
            stage = 'taken_back'
        reason = ban_reason or (
            progress.reason if progress is not None else ''
        )
        share = progress.share if progress is not None else move.share
        overdue = _STATE_BY_STAGE[stage] == 'under way' and now > move.deadline
        moves.append(
            MoveStatus(
                move.name,
                move.model,
                move.version,
                _STATE_BY_STAGE[stage],
                0.0 if ban_reason else share,
                reason,
                move.deadline,
                overdue,
            )
        )
    return tuple(moves)


async def make_usage(node: Node) -> UsageReport:
    """Return the usage of all workspaces; raises ``PlatformError``."""
    records = await read_records(node.table)
    own = node.usage.make_record(time.time())
    others = [r for r in records if r.incarnation != own.incarnation]
    all_records = [*others, own]
    return UsageReport(
        sum_by_workspace(all_records), tuple(all_records), _MAX_USAGE_LAG_S
    )


def _read_memory_kib() -> int:
    """Return the resident memory of this process in KiB."""
    text = pathlib.Path('/proc/self/status').read_text(encoding='utf-8')
    match = re.search(r'VmRSS:\s+(\d+)', text)
    return int(match[1]) if match else 0


def make_dump(node: Node) -> Dump:
    """Return the state of a process, without secrets."""
    state = node.state
    cpu_usage = resource.getrusage(resource.RUSAGE_SELF)
    timings = {}
    for timing in node.metrics.timings():
        quantiles = node.metrics.quantiles(timing)
        timings[str(timing)] = {
            f'p{q.percent:g}_us': q.microseconds for q in quantiles
        }
    return Dump(
        state.name,
        state.incarnation,
        make_status(node),
        node.metrics.counts(),
        timings,
        {
            n: state.shares.count_available_tokens(n)
            for n in state.shares.count_units()
        },
        state.shares.count_units(),
        len(node.in_flight),
        node.scheduler.count_waiting(),
        len(node.placements),
        {f'{m}/{v}': r for (m, v), r in node.moves.list_bans().items()},
        len(node.suspects.list_suspects()),
        tuple(sorted(node.tasks.list_names())),
        _read_memory_kib(),
        cpu_usage.ru_utime + cpu_usage.ru_stime,
    )


__all__ = [
    'Dump',
    'make_dump',
    'make_moves',
    'make_status',
    'make_usage',
    'MemberStatus',
    'MoveStatus',
    'Status',
    'TargetStatus',
    'UsageReport',
]
