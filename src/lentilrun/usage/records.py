"""Usage records: numbered totals by workspace, written idempotently.

Each incarnation of a daemon has a row of its own with the totals since it
started. Writing a row again changes nothing, so a write whose response was
lost can be repeated. Usage between the last write and a crash is missing;
``written`` is the time of the last write.
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
    """The usage of a workspace.

    ``prompt``, ``cached`` and ``output`` are in tokens, ``refusals`` counts
    requests by reason.
    """

    requests: int
    prompt: int
    cached: int
    output: int
    refusals: dict[str, int]


class Record(NamedTuple):
    """The totals of one incarnation of one daemon.

    ``number`` counts the writes of its row, ``written`` is in seconds since
    1970.
    """

    vm: str
    incarnation: str
    number: int
    written: float
    totals: dict[str, Total]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)
_EMPTY_TOTAL = Total(0, 0, 0, 0, {})


def add_totals(total: Total, other: Total) -> Total:
    """Return the sum of two totals."""
    refusals = collections.Counter(total.refusals)
    refusals.update(other.refusals)
    return Total(
        total.requests + other.requests,
        total.prompt + other.prompt,
        total.cached + other.cached,
        total.output + other.output,
        dict(refusals),
    )


class UsageRecorder:
    """Sums up the usage of this incarnation and writes its row."""

    def __init__(self, table: Table, vm: str, incarnation: str) -> None:
        self._table = table
        self._vm = vm
        self._incarnation = incarnation
        self._totals: dict[str, Total] = {}
        self._number = 0
        self._row_version = 0
        self._is_changed = False

    def record_served(
        self, workspace: str, prompt: int, cached: int, output: int
    ) -> None:
        """Add a request that ran; its lengths are in tokens."""
        self._add(workspace, Total(1, prompt, cached, output, {}))

    def record_refused(self, workspace: str, reason: str) -> None:
        """Add a request that was refused."""
        self._add(workspace, Total(0, 0, 0, 0, {reason: 1}))

    def _add(self, workspace: str, total: Total) -> None:
        previous = self._totals.get(workspace, _EMPTY_TOTAL)
        self._totals[workspace] = add_totals(previous, total)
        self._is_changed = True

    def make_record(self, now: float) -> Record:
        """Return this incarnation's record; ``now`` in seconds since 1970."""
        return Record(
            self._vm, self._incarnation, self._number, now, self._totals
        )

    async def write(self, now: float) -> None:
        """Write the record if it changed; ``now`` in seconds since 1970.

        Raises ``PlatformError`` if the table does not respond; the next
        write then includes these totals.
        """
        if not self._is_changed:
            return
        self._is_changed = False
        self._number += 1
        record = self.make_record(now)
        key = f'{KEY_PREFIX}{self._vm}/{self._incarnation}'
        try:
            await self._write_row(key, record)
        except BaseException:
            self._is_changed = True
            raise

    async def _write_row(self, key: str, record: Record) -> None:
        value = _encoder.encode(record)
        try:
            self._row_version = await self._table.write(
                key, value, self._row_version
            )
        except ConflictError:
            # An earlier write took effect, but its response was lost.
            row = await self._table.read(key)
            self._row_version = await self._table.write(
                key, value, row.version
            )


async def read_records(table: Table) -> list[Record]:
    """Return the records of all daemons; raises ``PlatformError``."""
    rows = await table.scan(KEY_PREFIX)
    return [_decoder.decode(row.value) for row in rows]


def sum_by_workspace(records: list[Record]) -> dict[str, Total]:
    """Return the totals by workspace over all records."""
    totals: dict[str, Total] = {}
    for record in records:
        for workspace, usage in record.totals.items():
            totals[workspace] = add_totals(
                totals.get(workspace, _EMPTY_TOTAL), usage
            )
    return totals


__all__ = [
    'add_totals',
    'KEY_PREFIX',
    'read_records',
    'Record',
    'sum_by_workspace',
    'Total',
    'UsageRecorder',
]
