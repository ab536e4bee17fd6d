"""Targets as a VM knows them, by the rows that a restored store has."""

from __future__ import annotations

import asyncio
import os
from typing import NamedTuple
from typing import TYPE_CHECKING

from deployments import Deployment
from deployments import MODEL
from deployments import wait_until
from lentilrun.coordination.clock import ManualClock
from lentilrun.gateway.follower import Follower
from lentilrun.gateway.logs import Log
from lentilrun.gateway.targets import Targets
from lentilrun.gateway.view import View
from lentilrun.platform.rows import Row
from lentilrun.platform.rows import Rows
from lentilrun.platform.rowversions import make_version
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins import timeloop
import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

_ADDRESS = '127.0.0.1:9'
_OUTAGE_S = 0.4


@pytest.fixture
def log_file() -> Iterator[int]:
    """Open a file descriptor that takes the log."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


class _Registration(NamedTuple):
    """A target's row with its version; ``born`` is when it started."""

    era: int
    number: int
    born: int
    state: str


_READY = _Registration(1, 10, 5, 'ready')
_LEAVING = _Registration(1, 20, 5, 'draining')
_STARTED_ANEW = _Registration(1, 20, 6, 'ready')
_COPIED = _Registration(2, 10, 5, 'ready')


@pytest.mark.parametrize(
    ('registrations', 'expected_born', 'is_draining'),
    [
        # The store's newest row counts.
        ([_READY, _LEAVING], 5, True),
        ([_LEAVING, (1, 21, 5, 'ready')], 5, False),
        ([_LEAVING, (1, 21, 6, 'ready')], 6, False),
        ([_STARTED_ANEW, (1, 21, 5, 'ready')], 5, False),
        # A copy has the target as before it was leaving.
        ([_LEAVING, _COPIED], 5, True),
        ([_LEAVING, _COPIED, _COPIED], 5, True),
        ([_LEAVING, _COPIED, (3, 10, 5, 'ready')], 5, True),
        ([_LEAVING, _COPIED, (3, 9, 5, 'ready')], 5, True),
        ([_LEAVING, (2, 12, 5, 'draining'), (2, 13, 5, 'ready')], 5, False),
        ([_LEAVING, (2, 12, 6, 'ready')], 6, False),
        # It has written since then that it stays.
        ([_LEAVING, _COPIED, (2, 12, 5, 'ready')], 5, False),
        ([_LEAVING, _COPIED, (2, 12, 5, 'ready'), _COPIED], 5, False),
        ([_LEAVING, (2, 20, 5, 'ready')], 5, False),
        ([_LEAVING, (2, 21, 5, 'ready')], 5, False),
        ([_LEAVING, (3, 21, 5, 'ready')], 5, False),
        # A copy has it as before it started anew.
        ([_STARTED_ANEW, _COPIED], 6, False),
        (
            [_STARTED_ANEW, (2, 9, 5, 'draining'), (2, 12, 6, 'ready')],
            6,
            False,
        ),
        ([_STARTED_ANEW, _COPIED, (3, 12, 6, 'draining')], 6, True),
    ],
)
def test_registrations_of_a_copy(
    registrations: list[tuple[int, int, int, str]],
    expected_born: int,
    is_draining: bool,
    log_file: int,
) -> None:
    """Rows of a copy take back nothing that a target has reported since.

    What it wrote after its report counts, also if the report was lost: it
    got no requests and no weights any more.
    """
    clock = ManualClock()
    targets = Targets(clock, 'a')
    view = View(clock, targets, 5.0, Log(clock, 'vm1', log_file))
    for fields in registrations:
        era, number, born, state = _Registration(*fields)
        value = make_target_row('app', _ADDRESS, {}, state, born)
        view.apply_target_row(Row('a1', value, make_version(era, number)))
    target = targets.states['a1'].target
    assert target.started_at_ms == expected_born
    assert target.is_draining is is_draining


@pytest.mark.parametrize('rewritten_after', [0.0, 0.5])
def test_report_taken_back_in_an_outage(rewritten_after: float) -> None:
    """An engine that stays after all gets new weights.

    The store loses its report that it leaves, and that it stays.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            engine = deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            state = node.view.targets.states['e1']
            copy = deployment.store.copy()
            deployment.register('e1', 'llm', 'draining')
            await wait_until(state.is_leaving)
            deployment.store.faults.is_down = True
            deployment.register('e1', 'llm')
            await asyncio.sleep(_OUTAGE_S)
            deployment.store.restore(copy)
            deployment.store.faults.is_down = False
            await asyncio.sleep(rewritten_after)
            deployment.register('e1', 'llm')
            deployment.announce_weights(2)
            await wait_until(lambda: engine.versions[MODEL] == 2)

    asyncio.run(body())


class _Store:
    """Returns the rows of its only table; implements ``RowStore``'s reads."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.version = make_version(1, 1)

    async def read(self, table: str) -> Rows:
        """Return all rows."""
        return Rows(tuple(self.rows), self.version, 0.0)


def _is_known(follower: Follower, after: int) -> bool:
    return follower.list_changes(after) is not None


def test_changes_that_a_vm_can_pass_on(log_file: int) -> None:
    """A VM knows of no deletion before its first read of a table."""

    async def main(loop: timeloop.TimeLoop) -> None:
        store = _Store()
        log = Log(loop, 'vm1', log_file)
        follower = Follower(store, 'servers', lambda _: None, loop, log)
        store.version = make_version(1, 50)
        await follower._step()
        assert _is_known(follower, make_version(1, 50))
        assert not _is_known(follower, make_version(1, 49))
        follower._needs_full_read = True
        store.version = make_version(2, 20)
        await follower._step()
        # Those between the reads are known by what the second one lacks.
        assert _is_known(follower, make_version(1, 50))
        assert not _is_known(follower, make_version(1, 49))
        assert not _is_known(follower, make_version(2, 21))

    timeloop.run(main)


@pytest.mark.parametrize(
    ('rewritten_after', 'present_after'),
    [
        (None, {0.5: False, 5.0: False, 7.0: True}),
        (1.0, {0.5: False, 1.5: True}),
    ],
)
def test_rows_that_were_deleted_before(
    rewritten_after: float | None,
    present_after: dict[float, bool],
    log_file: int,
) -> None:
    """They are passed on once they are written again, or after a time."""

    async def main(loop: timeloop.TimeLoop) -> None:
        store = _Store()
        store.rows = [Row('a1', b'', store.version)]
        present: set[str] = set()

        def handle(row: Row) -> None:
            (present.discard if row.is_deleted else present.add)(row.key)

        log = Log(loop, 'vm1', log_file)
        follower = Follower(store, 'servers', handle, loop, log)
        await follower._step()
        deleted = Row('a1', b'', make_version(1, 9), True)
        follower.apply_relayed(
            follower.newest_row_version,
            Rows((deleted,), make_version(1, 9), 0.0),
        )
        assert not present
        store.version = make_version(2, 1)
        store.rows = [Row('a1', b'', store.version)]
        follower._needs_full_read = True
        await follower._step()
        restored_at = loop.time()
        if rewritten_after is not None:
            row = Row('a1', b'', make_version(2, 2))
            loop.call_at(
                restored_at + rewritten_after,
                follower.apply_relayed,
                store.version,
                Rows((row,), row.version, 0.0),
            )
        for delay, is_present in present_after.items():
            await asyncio.sleep(restored_at + delay - loop.time())
            follower._delivery.deliver_due()
            assert bool(present) is is_present, delay

    timeloop.run(main)
