"""The follower of a table over simulated time, through outages."""

from __future__ import annotations

import asyncio
import os
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.errors import PlatformError
from lentilrun.gateway.follower import Follower
from lentilrun.gateway.knownchanges import TableProgress
from lentilrun.gateway.logs import Log
from lentilrun.platform.rows import HistoryLostError
from lentilrun.platform.rows import Row
from lentilrun.platform.rows import Rows
from lentilrun.standins import timeloop
import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

_TABLE = 'servers'
_POLL_S = 0.02
_REPORT_INTERVAL_S = 0.25


class _Table:
    """A table whose calls take no time; implements ``RowStore``'s reads."""

    def __init__(self) -> None:
        self.is_down = False
        self._changes: list[Row] = []
        self._oldest_version = 0

    def put(self, key: str) -> None:
        """Write a row."""
        self._changes.append(Row(key, b'', len(self._changes) + 1))

    def remove(self, key: str) -> None:
        """Remove a row."""
        self._changes.append(Row(key, b'', len(self._changes) + 1, True))

    def discard_history(self) -> None:
        """Let only reads of the whole table return the changes until now."""
        self._oldest_version = len(self._changes)

    def _respond(self, rows: list[Row]) -> Rows:
        now = asyncio.get_running_loop().time()
        return Rows(tuple(rows), len(self._changes), now)

    def _check(self) -> None:
        if self.is_down:
            raise PlatformError('the store is down')

    async def read(self, table: str) -> Rows:
        """Return all rows."""
        self._check()
        newest = {r.key: r for r in self._changes}
        return self._respond([r for r in newest.values() if not r.is_deleted])

    async def follow(self, table: str, after: int, wait: float) -> Rows:
        """Return the changes after a version, within ``wait`` seconds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while len(self._changes) <= after and loop.time() < until:
            self._check()
            await asyncio.sleep(_POLL_S)
        self._check()
        if after < self._oldest_version:
            raise HistoryLostError('no longer stored')
        return self._respond(self._changes[after:])


class _Presence:
    """The keys of the rows that are present for a follower's handler."""

    def __init__(self) -> None:
        self.keys: set[str] = set()

    def handle(self, row: Row) -> None:
        """Add the key of a row, or remove that of a deleted one."""
        if row.is_deleted:
            self.keys.discard(row.key)
        else:
            self.keys.add(row.key)


class _Outage(NamedTuple):
    """What happens to the row ``a1`` around an outage of the store.

    Its row expires during the outage; it is written again ``restored_after``
    seconds after its end, if at all.
    """

    restored_after: float | None
    loses_history: bool
    present_after: dict[float, bool]


@pytest.fixture
def log_file() -> Iterator[int]:
    """Open a file descriptor that takes the log."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


@pytest.mark.parametrize(
    'outage',
    [
        _Outage(0.9, False, {0.5: True, 0.9: True, 2.1: True, 6.0: True}),
        _Outage(0.9, True, {0.5: True, 0.9: True, 2.1: True, 6.0: True}),
        _Outage(None, False, {0.5: True, 0.9: True, 2.1: True, 4.0: False}),
        _Outage(None, True, {0.5: True, 0.9: True, 2.1: True, 4.0: False}),
    ],
)
def test_expired_rows_outlive_an_outage(
    outage: _Outage, log_file: int
) -> None:
    """Rows that expired in an outage stay until their writers are back."""

    async def main(loop: timeloop.TimeLoop) -> None:
        table = _Table()
        table.put('a1')
        present = _Presence()
        follower = Follower(
            table, _TABLE, present.handle, loop, Log(loop, 'vm1', log_file)
        )
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        assert present.keys == {'a1'}
        table.is_down = True
        await asyncio.sleep(2.6)
        table.remove('a1')
        if outage.loses_history:
            table.discard_history()
        table.is_down = False
        regained_at = loop.time()
        if outage.restored_after is not None:
            loop.call_at(regained_at + outage.restored_after, table.put, 'a1')
        for delay, is_present in outage.present_after.items():
            await asyncio.sleep(regained_at + delay - loop.time())
            assert ('a1' in present.keys) is is_present, delay
        task.cancel()

    timeloop.run(main)


@pytest.mark.parametrize('up_s', [1.0, 1.5, 2.0])
def test_removal_is_believed_though_outages_recur(
    up_s: float, log_file: int
) -> None:
    """A removed row was kept for good, as each outage began its time anew.

    The store rejects calls for 0.3 s, and answers them for ``up_s`` seconds,
    in turn.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        table = _Table()
        table.put('a1')
        table.put('a2')
        present = _Presence()
        follower = Follower(
            table, _TABLE, present.handle, loop, Log(loop, 'vm1', log_file)
        )
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        removed_at = loop.time()
        table.remove('a1')
        while loop.time() < removed_at + 20.0:
            table.is_down = True
            await asyncio.sleep(0.3)
            table.is_down = False
            await asyncio.sleep(up_s)
            since = loop.time() - removed_at
            assert 'a2' in present.keys
            assert 'a1' in present.keys or since >= 2.2
            # It is passed on after the wait of a call that begins then.
            assert 'a1' not in present.keys or since < 4.5
        task.cancel()

    timeloop.run(main)


@pytest.mark.parametrize('is_restored', [False, True])
def test_expired_row_outlives_a_later_outage(
    is_restored: bool, log_file: int
) -> None:
    """A row was dropped though its writer could not reach the store again.

    It expires in an outage, which another one follows before its writer had
    to be back.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        table = _Table()
        table.put('a1')
        present = _Presence()
        follower = Follower(
            table, _TABLE, present.handle, loop, Log(loop, 'vm1', log_file)
        )
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        table.is_down = True
        await asyncio.sleep(3.0)
        table.remove('a1')
        table.is_down = False
        await asyncio.sleep(0.9)
        if is_restored:
            table.put('a1')
        await asyncio.sleep(0.5)
        table.is_down = True
        for _ in range(30):
            await asyncio.sleep(0.2)
            assert present.keys == {'a1'}
        table.is_down = False
        await asyncio.sleep(2.0)
        assert present.keys == ({'a1'} if is_restored else set())
        task.cancel()

    timeloop.run(main)


async def _report_progress(follower: Follower) -> None:
    """Let a hub state that it knows all changes that the follower has."""
    while True:
        version = follower.progress().complete_version
        follower.record_progress(TableProgress(version, version, 0.0))
        await asyncio.sleep(_REPORT_INTERVAL_S)


@pytest.mark.parametrize(
    ('restored_after', 'present_after'),
    [
        (0.9, {0.1: True, 1.0: True, 6.0: True}),
        (None, {0.1: True, 1.0: True, 2.1: True, 6.0: False}),
    ],
)
def test_relayed_deletions_wait_after_an_outage(
    restored_after: float | None,
    present_after: dict[float, bool],
    log_file: int,
) -> None:
    """A hub may regain the store, and relay deletions, before this VM."""

    async def main(loop: timeloop.TimeLoop) -> None:
        table = _Table()
        table.put('a1')
        present = _Presence()
        follower = Follower(
            table, _TABLE, present.handle, loop, Log(loop, 'vm1', log_file)
        )
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        table.is_down = True
        await asyncio.sleep(4.0)
        assert follower.has_lost_store()
        follower.is_relayed = lambda: True
        reports = asyncio.ensure_future(_report_progress(follower))
        follower.apply_relayed(
            1, Rows((Row('a1', b'', 2, True),), 2, loop.time())
        )
        relayed_at = loop.time()
        if restored_after is not None:
            loop.call_at(
                relayed_at + restored_after,
                follower.apply_relayed,
                2,
                Rows((Row('a1', b'', 3),), 3, relayed_at),
            )
        for delay, is_present in present_after.items():
            await asyncio.sleep(relayed_at + delay - loop.time())
            assert ('a1' in present.keys) is is_present, delay
        reports.cancel()
        task.cancel()

    timeloop.run(main)


def test_reports_that_all_rows_were_read(log_file: int) -> None:
    """The callback comes after the rows, again when the history is lost."""

    async def main(loop: timeloop.TimeLoop) -> None:
        table = _Table()
        table.put('a1')
        events: list[str] = []
        follower = Follower(
            table,
            _TABLE,
            lambda row: events.append(row.key),
            loop,
            Log(loop, 'vm1', log_file),
        )
        follower.on_full_read.append(lambda: events.append('read'))
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        table.put('a2')
        await asyncio.sleep(1.0)
        table.put('a3')
        table.discard_history()
        await asyncio.sleep(3.0)
        assert events == ['a1', 'read', 'a2', 'a3', 'read']
        task.cancel()

    timeloop.run(main)
