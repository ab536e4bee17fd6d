"""Records of use by workspace: running totals, numbered, idempotent.

A daemon's record is a row of its own, which holds the totals since its
incarnation began. Writing it again changes nothing, and a lost answer
loses nothing. What was used after the last write and before a crash is
missing; ``written`` says when that was.
"""

from __future__ import annotations

import collections
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import ConflictError

if TYPE_CHECKING:
    from ..coordination.table import Table

KEY_PREFIX = 'usage/'


class Total(NamedTuple):
    """What a workspace used; tokens, and refusals by reason."""

    requests: int
    prompt: int
    cached: int
    output: int
    refusals: dict[str, int]


class Record(NamedTuple):
    """The totals of one incarnation of one daemon.

    ``number`` counts its writes, ``written`` is in seconds since 1970.
    """

    vm: str
    incarnation: str
    number: int
    written: float
    totals: dict[str, Total]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)
_NOTHING = Total(0, 0, 0, 0, {})


def add_totals(one: Total, other: Total) -> Total:
    """Return the sum of two totals."""
    refusals = collections.Counter(one.refusals)
    refusals.update(other.refusals)
    return Total(
        one.requests + other.requests,
        one.prompt + other.prompt,
        one.cached + other.cached,
        one.output + other.output,
        dict(refusals),
    )


class UsageRecorder:
    """The totals of this incarnation, and their row in the table."""

    def __init__(self, table: Table, vm: str, incarnation: str) -> None:
        self._table = table
        self._vm = vm
        self._incarnation = incarnation
        self._totals: dict[str, Total] = {}
        self._number = 0
        self._version = 0
        self._changed = False

    def record_served(
        self, workspace: str, prompt: int, cached: int, output: int
    ) -> None:
        """Note a request that ran."""
        self._note(workspace, Total(1, prompt, cached, output, {}))

    def record_refused(self, workspace: str, reason: str) -> None:
        """Note a request that was refused."""
        self._note(workspace, Total(0, 0, 0, 0, {reason: 1}))

    def _note(self, workspace: str, total: Total) -> None:
        before = self._totals.get(workspace, _NOTHING)
        self._totals[workspace] = add_totals(before, total)
        self._changed = True

    def make_record(self, now: float) -> Record:
        """Return this incarnation's record."""
        return Record(
            self._vm, self._incarnation, self._number, now, self._totals
        )

    async def write(self, now: float) -> None:
        """Write the record if it changed; ``now`` in seconds since 1970.

        Raises ``PlatformError`` if the table gives no answer; the next
        write then covers this one.
        """
        if not self._changed:
            return
        self._changed = False
        self._number += 1
        record = self.make_record(now)
        key = f'{KEY_PREFIX}{self._vm}/{self._incarnation}'
        try:
            await self._write_row(key, record)
        except BaseException:
            self._changed = True
            raise

    async def _write_row(self, key: str, record: Record) -> None:
        value = _encoder.encode(record)
        try:
            self._version = await self._table.write(key, value, self._version)
        except ConflictError:
            # An earlier write took effect and its answer was lost.
            row = await self._table.read(key)
            self._version = await self._table.write(key, value, row.version)


async def read_records(table: Table) -> list[Record]:
    """Return the records of all daemons."""
    rows = await table.scan(KEY_PREFIX)
    return [_decoder.decode(row.value) for row in rows]


def sum_by_workspace(records: list[Record]) -> dict[str, Total]:
    """Return the totals by workspace over all records."""
    found: dict[str, Total] = {}
    for record in records:
        for workspace, total in record.totals.items():
            found[workspace] = add_totals(
                found.get(workspace, _NOTHING), total
            )
    return found


__all__ = [
    'add_totals',
    'KEY_PREFIX',
    'read_records',
    'Record',
    'sum_by_workspace',
    'Total',
    'UsageRecorder',
]
