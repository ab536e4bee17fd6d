"""The ranges of changes that VMs know, and state to others."""

from __future__ import annotations

from typing import NamedTuple

from lentilrun.gateway.knownchanges import KnownChanges
from lentilrun.gateway.knownchanges import TableProgress
from lentilrun.gateway.rowrelay import _MAX_VALUE_BYTES
from lentilrun.gateway.rowrelay import _split
from lentilrun.platform.rows import Row
from lentilrun.platform.rows import Rows
import pytest

_HALF = b'x' * (_MAX_VALUE_BYTES // 2)


def _read_until(version: int) -> KnownChanges:
    known = KnownChanges()
    known.add_full_read(version, 0.0)
    return known


class _Statement(NamedTuple):
    """What a VM with all changes up to 100 makes of another one's progress."""

    progress: TableProgress
    is_known: bool
    complete_version: int


@pytest.mark.parametrize(
    'statement',
    [
        _Statement(TableProgress(90, 100), True, 100),
        _Statement(TableProgress(100, 120), True, 120),
        _Statement(TableProgress(90, 95), True, 100),
        # It has read all anew: something may have been removed until then.
        _Statement(TableProgress(101, 101), False, 100),
        _Statement(TableProgress(101, 120), False, 100),
        # It knows of a change that it does not have itself.
        _Statement(TableProgress(110, 90), False, 100),
    ],
)
def test_statements_of_other_vms(statement: _Statement) -> None:
    """A VM moves on only over versions that the other one knows wholly."""
    known = _read_until(100)
    assert known.add_statement(statement.progress, 0.0) is statement.is_known
    assert known.complete_version == statement.complete_version


@pytest.mark.parametrize(
    ('after', 'is_covered'),
    [
        (9, False),
        (10, True),
        (20, True),
        # A row of 25 may have been removed before the read of 30.
        (21, False),
        (29, False),
        (30, True),
        (35, True),
        (36, False),
    ],
)
def test_rows_removed_between_two_reads_are_unknown(
    after: int, is_covered: bool
) -> None:
    """A VM does not answer for what a read of the table passed over."""
    known = _read_until(10)
    known.add_changes(20, 15, 0.0)
    known.add_full_read(30, 0.0)
    known.add_changes(35, 0, 0.0)
    assert known.covers(after) is is_covered


def test_old_gaps_are_bounded() -> None:
    """Of many reads of the table the newest count."""
    known = _read_until(0)
    for version in range(10, 1000, 10):
        known.add_full_read(version, 0.0)
    assert not known.covers(0)
    assert not known.covers(985)
    assert known.covers(980)
    assert len(known._gaps) < 10


@pytest.mark.parametrize(
    ('rows', 'expected'),
    [
        ([(3, b''), (5, b'')], [(9, 2)]),
        ([(3, _HALF), (5, _HALF)], [(4, 1), (9, 1)]),
        # Rows of one transaction are not divided: a VM that gets only the
        # second half would take it for all of them.
        ([(3, b''), (5, _HALF), (5, b''), (7, _HALF)], [(6, 3), (9, 1)]),
        ([(3, b''), (5, _HALF), (5, _HALF)], [(4, 1)]),
        ([(5, _HALF), (5, _HALF)], []),
        ([], [(9, 0)]),
    ],
)
def test_parts_of_changes(
    rows: list[tuple[int, bytes]], expected: list[tuple[int, int]]
) -> None:
    """Each datagram has all changes up to its version."""
    changes = Rows(
        tuple(Row(f'k{n}', v, ver) for n, (ver, v) in enumerate(rows)), 9, 0.0
    )
    parts = [(p.store_version, len(p.rows)) for p in _split(changes)]
    assert parts == expected


class _Report(NamedTuple):
    """What a VM knows at 10.0 s, at which it gets another one's statement."""

    progress: TableProgress
    known_at: float


@pytest.mark.parametrize(
    'report',
    [
        _Report(TableProgress(90, 100, 0.5), 9.5),
        _Report(TableProgress(90, 120, 0.5), 9.5),
        # Whoever has later changes knows what was made earlier.
        _Report(TableProgress(80, 90, 0.5), 9.5),
        _Report(TableProgress(90, 120, 7.0), 4.0),
        # The other one knows of a change that this VM does not have.
        _Report(TableProgress(101, 120, 0.5), 4.0),
        # A build that does not state an age.
        _Report(TableProgress(90, 120), 4.0),
    ],
)
def test_age_of_what_is_known(report: _Report) -> None:
    """A VM relies on others for what it has, and only if they say when."""
    known = KnownChanges()
    known.add_full_read(100, 4.0)
    known.add_statement(report.progress, 10.0)
    assert known.known_at == report.known_at
