"""Follows the feed of a table, through lost history and store outages."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from ..errors import PlatformError
from ..platform.rows import HistoryLostError
from ..platform.rows import Row

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log

# The longest time that a call to the feed waits for changes.
_FEED_WAIT_S = 2.0
# The same while deletions are delayed or another VM relays rows.
_SHORT_FEED_WAIT_S = 0.3
# Changes come in groups: those of this time are read in one call.
_BATCH_PAUSE_S = 0.25
# While another VM relays rows, this one checks that it still does after
# this time.
_RELAY_CHECK_S = 1.0
# Relayed rows may arrive up to this time after the message that reports
# their version.
_RELAY_DELAY_S = 0.15
_MIN_RETRY_PAUSE_S = 0.1
_MAX_RETRY_PAUSE_S = 0.8
# A feed that is read without a break answers at most this much later than
# the pause before a call and its wait.
_MAX_FEED_LAG_S = 0.25
# Rows that expired during an outage of the store, as their writers could
# not renew them, are written again within this time after it.
_EXPIRY_GRACE_S = 2.2


class Follower:
    """Passes each newer row of a table to a handler, in order.

    A row is newer if its version is above the last one of its key.
    Deletions within ``_EXPIRY_GRACE_S`` seconds after an outage are
    delayed until then: the writers of these rows could not reach the
    store either. An outage ends when the store answers this VM or another
    VM relays rows.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        handle_row: Callable[[Row], None],
        clock: Clock,
        log: Log,
    ) -> None:
        self._store = store
        self.table = table
        self._handle_row = handle_row
        self._clock = clock
        self._log = log
        self._row_versions: dict[str, int] = {}
        self._present_keys: set[str] = set()
        self._delayed_deletions: dict[str, Row] = {}
        # The store version up to which the changes are known.
        self._position = 0
        self._needs_full_read = True
        self._retry_pause = _MIN_RETRY_PAUSE_S
        self._lost_since: float | None = None
        self._regained_at = float('-inf')
        self._relayed_at = float('-inf')
        self.last_read = float('-inf')
        # Rows of the response that is being applied may have been written
        # this long ago, in seconds; 0 if they were read without a break.
        self.unread_for = 0.0
        self._newer_rows_reported = asyncio.Event()
        # By the gossip of other VMs; this VM may not have that row yet.
        self._reported_row_version = 0
        # Of the rows that this VM has.
        self.newest_row_version = 0
        self.is_relayed: Callable[[], bool] = lambda: False
        self.on_rows: list[Callable[[int, Rows], None]] = []
        # Called each time that all rows of the table were read.
        self.on_full_read: list[Callable[[], None]] = []

    def has_been_read(self) -> bool:
        """Return whether the table was read at least once."""
        return self.last_read > float('-inf')

    def has_lost_store(self) -> bool:
        """Return whether the last call to the store failed."""
        return self._lost_since is not None

    def newest_known_row_version(self) -> int:
        """Return the version of the newest row that this VM knows of."""
        return max(self.newest_row_version, self._reported_row_version)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError as error:
                self._log.write('history_lost', table=self.table, error=error)
                self._needs_full_read = True
            except PlatformError as error:
                self._record_failure(error)
                await asyncio.sleep(
                    self._retry_pause * random.uniform(0.7, 1.3)
                )
                self._retry_pause = min(
                    _MAX_RETRY_PAUSE_S, self._retry_pause * 2
                )
            self._apply_delayed_deletions()

    async def _step(self) -> None:
        if self._needs_full_read:
            table_rows = await self._store.read(self.table)
            self._record_response(0.0)
            self._apply_full_read(table_rows)
            return
        if self.is_relayed() and not self._delayed_deletions:
            await self._wait_for_relayed_rows()
            if (
                self.is_relayed()
                and self._reported_row_version <= self.newest_row_version
            ):
                return
        wait = (
            _SHORT_FEED_WAIT_S
            if self._delayed_deletions or self.is_relayed()
            else _FEED_WAIT_S
        )
        previous_version = self.newest_row_version
        changes = await self._store.follow(self.table, self._position, wait)
        self._record_response(_BATCH_PAUSE_S + wait + _MAX_FEED_LAG_S)
        for row in changes.rows:
            self._apply_row(row)
        self._position = max(self._position, changes.store_version)
        if changes.rows:
            for callback in self.on_rows:
                callback(previous_version, changes)
            await asyncio.sleep(_BATCH_PAUSE_S)

    async def _wait_for_relayed_rows(self) -> None:
        """Wait until newer rows are reported, and for these to arrive."""
        self._newer_rows_reported.clear()
        try:
            async with asyncio.timeout(_RELAY_CHECK_S):
                await self._newer_rows_reported.wait()
        except TimeoutError:
            return
        await asyncio.sleep(_RELAY_DELAY_S)

    def apply_relayed(
        self, previous_version: int, changes: Rows, unread_for: float = 0.0
    ) -> None:
        """Apply rows that another VM read from the feed.

        ``previous_version`` is that of the newest row that the other VM had
        before, and ``unread_for`` what it recorded for these rows. If this
        VM lacks rows up to that version, it reads the store instead.
        """
        if self._needs_full_read or previous_version > self.newest_row_version:
            self.record_newest_row_version(
                max((r.version for r in changes.rows), default=0)
            )
            return
        self._record_relay()
        self.unread_for = unread_for
        for row in changes.rows:
            self._apply_row(row)
        self._position = max(self._position, changes.store_version)

    def _record_relay(self) -> None:
        now = self._clock.now()
        if self._is_cut_off():
            self._regained_at = now
        self._relayed_at = now

    def _is_cut_off(self) -> bool:
        """Return whether no rows arrived since the store was lost."""
        lost_since = self._lost_since
        return lost_since is not None and self._relayed_at < lost_since

    def _delays_deletions(self) -> bool:
        since_regained = self._clock.now() - self._regained_at
        return self._is_cut_off() or since_regained < _EXPIRY_GRACE_S

    def record_newest_row_version(self, version: int) -> None:
        """Record the version of the newest row that another VM knows of."""
        if version > max(self.newest_row_version, self._reported_row_version):
            self._reported_row_version = version
            self._newer_rows_reported.set()

    def _apply_full_read(self, table_rows: Rows) -> None:
        if table_rows.store_version < self._position:
            # A stale response: rows that it lacks may have been written since.
            self._log.write('stale_read', table=self.table)
            return
        self._needs_full_read = False
        keys = {r.key for r in table_rows.rows}
        for row in table_rows.rows:
            self._apply_row(row)
        for key in self._present_keys - keys:
            self._apply_row(Row(key, b'', table_rows.store_version, True))
        self._position = table_rows.store_version
        for callback in self.on_full_read:
            callback()

    def _apply_row(self, row: Row) -> None:
        if row.version <= self._row_versions.get(row.key, 0):
            return
        self._row_versions[row.key] = row.version
        self.newest_row_version = max(self.newest_row_version, row.version)
        if not row.is_deleted:
            self._present_keys.add(row.key)
            self._delayed_deletions.pop(row.key, None)
            self._handle_row(row)
            return
        self._present_keys.discard(row.key)
        if self._delays_deletions():
            self._delayed_deletions[row.key] = row
        else:
            self._handle_row(row)

    def _apply_delayed_deletions(self) -> None:
        if not self._delayed_deletions or self._delays_deletions():
            return
        for row in list(self._delayed_deletions.values()):
            self._handle_row(row)
        self._delayed_deletions.clear()

    def _record_response(self, longest_interval: float) -> None:
        """Record a response that came in time within ``longest_interval`` s.

        It counts from the response before. While another VM relays rows,
        this one reads only those that were not relayed in time.
        """
        now = self._clock.now()
        interval = now - self.last_read
        if self.is_relayed():
            interval = _RELAY_CHECK_S + _RELAY_DELAY_S
        self.unread_for = interval if interval > longest_interval else 0.0
        self.last_read = now
        self._retry_pause = _MIN_RETRY_PAUSE_S
        if self._lost_since is not None:
            self._log.write(
                'store_regained',
                table=self.table,
                seconds=round(now - self._lost_since, 3),
            )
            self._lost_since = None
            self._regained_at = now

    def _record_failure(self, error: PlatformError) -> None:
        if self._lost_since is None:
            self._lost_since = self._clock.now()
            self._log.write('store_lost', table=self.table, error=error)


__all__ = ['Follower']
