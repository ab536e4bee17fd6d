"""Follows the feed of a table, through lost history and store outages."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from ..decisions.staleness import limit_reads
from ..errors import PlatformError
from ..platform.rows import HistoryLostError
from ..platform.rows import Row
from ..platform.rows import Rows
from ..platform.rowversions import find_era
from .events import wait_for_event
from .knownchanges import KnownChanges
from .knownchanges import TableProgress
from .rowdelivery import RowDelivery

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..coordination.clock import Clock
    from ..decisions.staleness import ReadLimits
    from ..platform.rows import RowStore
    from .logs import Log

# The time within which changes are in force, unless ``read_limits`` is set.
_CHANGE_LIMIT_S = 2.0
# The longest wait of a call to the feed while deletions are delayed, after an
# outage, or if others should relay rows.
_SHORT_FEED_WAIT_S = 0.3
_MIN_FEED_WAIT_S = 0.1
# Changes come in groups: those of this time are read in one call.
_BATCH_PAUSE_S = 0.25
# A VM checks this often whether another VM still relays rows to it.
_RELAY_CHECK_S = 0.25
# Relayed rows may arrive up to this time after the message that reports
# their version, or after they were requested.
_RELAY_DELAY_S = 0.1
# Requests for missing rows without a result, before the store is called.
_MAX_ROW_REQUESTS = 3
# A VM that gets rows from others calls a store that did not answer it this
# often, to learn whether it does again.
_PROBE_INTERVAL_S = 4.0
# A VM that relies on others calls a store that did not answer it at most this
# often while they have no rows.
_RELAYED_RETRY_S = 3.0
_MIN_RETRY_PAUSE_S = 0.1
_MAX_RETRY_PAUSE_S = 0.8


class Follower:
    """Passes each newer row of a table to a handler, in order.

    A row is newer if its version is above the last one of its key.
    ``RowDelivery`` delays deletions around an outage. There is one if the
    store does not answer this VM and no other one tells it more, or if nobody
    tells it anything for longer than the time between two reads. When the
    store was restored from an older copy, all rows are read anew.

    While other VMs relay rows, it makes no calls, as long as one of them
    states that it knows all changes until a short time ago. It requests rows
    from them if it learns that there are newer ones than it has.
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
        self._delivery = RowDelivery(
            handle_row,
            clock,
            self._is_outage,
            lambda key: self.revives_at_once(key),
        )
        self._clock = clock
        self._log = log
        # The newest row of each key; deleted ones too.
        self._rows: dict[str, Row] = {}
        # The earliest time at which it may have been written, by key.
        self._written_after: dict[str, float] = {}
        self._present_keys: set[str] = set()
        self._known = KnownChanges()
        self._needs_full_read = True
        self._retry_pause = _MIN_RETRY_PAUSE_S
        self._lost_since: float | None = None
        self._called_at = float('-inf')
        self._row_requests = 0
        # Whether the store did not answer, and no other VM knew more.
        self._is_cut_off = False
        # Rows of the response that is being applied may have been written
        # this long ago, in seconds.
        self.unread_for = 0.0
        # Whether a row with this key is not delayed if a copy of the store
        # has it again, as its writer does not renew it.
        self.revives_at_once: Callable[[str], bool] = lambda _: False
        self._newer_rows_reported = asyncio.Event()
        # Of the newest change that other VMs know of; this VM may lack it.
        self._reported_version = 0
        # Of the rows that this VM has.
        self.newest_row_version = 0
        # Whether other VMs relay rows to this one.
        self.is_relayed: Callable[[], bool] = lambda: False
        # Whether to call the store at once if no VM relays rows.
        self.is_hub: Callable[[], bool] = lambda: True
        self.read_limits: Callable[[], ReadLimits] = lambda: limit_reads(
            _CHANGE_LIMIT_S, is_hub=True
        )
        # How late within the spread of the limits this VM reads, 0 to 1.
        self._turn = random.random()
        self._was_stale = False
        # Requests the rows of a table after a version from other VMs.
        self.request_rows: Callable[[str, int], None] = lambda *_: None
        # Called with the table, the version of the last change before these,
        # all changes since, and whether they were read from the store.
        self.on_rows: list[Callable[[str, int, Rows, bool], None]] = []
        # Called each time that all rows of the table were read.
        self.on_full_read: list[Callable[[], None]] = []
        # Called with the era of the store after it was restored.
        self.on_era: list[Callable[[int], None]] = []

    def has_been_read(self) -> bool:
        """Return whether the table was read at least once."""
        return self._known.known_at > float('-inf')

    def has_lost_store(self) -> bool:
        """Return whether the last call to the store failed."""
        return self._lost_since is not None

    def has_lost_rows(self) -> bool:
        """Return whether neither the store nor another VM has rows."""
        return self.has_lost_store() and not self._has_source()

    def progress(self) -> TableProgress:
        """Return what this VM knows of the changes of the table.

        The newest change may be one that only other VMs have, so that a VM
        that the store does not answer still reports it.
        """
        return TableProgress(
            max(self._known.changed_version, self._reported_version),
            self._known.complete_version,
            self._age(),
        )

    def _age(self) -> float:
        """Return for how long changes may be unknown, in seconds."""
        return self._clock.now() - self._known.known_at

    def list_changes(self, after: int) -> Rows | None:
        """Return the rows that changed after a version, oldest first.

        Return nothing if this VM does not have all of them.
        """
        if self._needs_full_read or not self._known.covers(after):
            return None
        changed = [r for r in self._rows.values() if r.version > after]
        changed.sort(key=lambda r: r.version)
        return Rows(tuple(changed), self._known.complete_version, 0.0)

    def find_age(self, rows: Iterable[Row]) -> float:
        """Return how long ago any of these rows may have been written, in s.

        They are the newest ones of their keys.
        """
        written_after = min(
            (self._written_after[r.key] for r in rows),
            default=self._clock.now(),
        )
        return self._clock.now() - written_after

    def is_divisible(self, after: int) -> bool:
        """Return whether the changes after a version can be sent in parts."""
        return self._known.is_divisible(after)

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
            self._delivery.deliver_due()

    async def _step(self) -> None:
        if self._needs_full_read:
            sent_at = self._clock.now()
            table_rows = await self._store.read(self.table)
            if table_rows.store_version < self._known.complete_version:
                # Rows that it lacks may have been written since.
                raise PlatformError('a stale response')
            self._record_response()
            self._apply_full_read(table_rows, sent_at)
            return
        self._log_staleness()
        if self._has_source():
            await self._follow_relay()
            return
        if self.is_relayed() and self._is_behind() and self._may_request():
            await self._request_rows()
            return
        if self._leaves_store_alone():
            pause = min(_RELAY_CHECK_S, self._time_left())
            await asyncio.sleep(max(_MIN_RETRY_PAUSE_S, pause))
            return
        await self._follow_store(self._pick_feed_wait())

    def _has_source(self) -> bool:
        """Return whether others relay rows and still hear from the store."""
        return self.is_relayed() and not self._is_stale()

    def _log_staleness(self) -> None:
        """Log when others relay rows and have not read the store lately."""
        is_stale = self.is_relayed() and self._is_stale()
        if is_stale and not self._was_stale:
            self._log.write(
                'relay_stale',
                table=self.table,
                age=round(self._age(), 3),
                limit=round(self.read_limits().max_age, 3),
            )
        self._was_stale = is_stale

    def _is_stale(self) -> bool:
        """Return whether later changes may have been unknown for too long."""
        return self._time_left() <= 0.0

    def _time_left(self) -> float:
        """Return the time until this VM reads the store itself, in seconds."""
        limits = self.read_limits()
        max_age = limits.max_age + self._turn * limits.spread
        return max(0.0, max_age - self._age())

    def _leaves_store_alone(self) -> bool:
        """Return whether to wait for another VM's rows, without a call."""
        if self.is_hub():
            return False
        if self.has_lost_store():
            return self._clock.now() - self._called_at < _RELAYED_RETRY_S
        return not self._is_stale()

    def _pick_feed_wait(self) -> float:
        """Return how long a call to the feed waits for changes, in s."""
        if (
            self._delivery.has_delayed_deletions()
            or self.has_lost_store()
            or self.is_relayed()
            or not self.is_hub()
        ):
            return _SHORT_FEED_WAIT_S
        wait = self.read_limits().feed_wait - self._age()
        return max(_MIN_FEED_WAIT_S, wait)

    async def _follow_store(self, wait: float) -> None:
        sent_at = self._called_at = self._clock.now()
        self._row_requests = 0
        self._turn = random.random()
        position = self._known.complete_version
        changes = await self._store.follow(self.table, position, wait)
        self._record_response()
        # The store waits before it responds without changes.
        read_at = sent_at if changes.rows else sent_at + wait
        self._apply_changes(changes, min(read_at, self._clock.now()))
        if changes.rows:
            await asyncio.sleep(_BATCH_PAUSE_S)

    async def _follow_relay(self) -> None:
        """Wait for relayed rows for a short time; request missing ones."""
        if self._is_probe_due():
            await self._follow_store(_SHORT_FEED_WAIT_S)
        elif not self._is_behind():
            self._row_requests = 0
            await self._wait_for_report()
        elif self._may_request():
            await self._request_rows()
        else:
            self._log.write(
                'changes_not_relayed',
                table=self.table,
                complete=self._known.complete_version,
                newest=self._reported_version,
            )
            await self._follow_store(_SHORT_FEED_WAIT_S)

    def _is_probe_due(self) -> bool:
        """Return whether to ask if the store answers this VM again.

        Others want to know it of hubs only, which may have to read for them.
        """
        since_call = self._clock.now() - self._called_at
        return (
            self.has_lost_store()
            and self.is_hub()
            and since_call > _PROBE_INTERVAL_S
        )

    def _may_request(self) -> bool:
        """Return whether to ask other VMs before the store is called."""
        return self._row_requests < _MAX_ROW_REQUESTS

    async def _request_rows(self) -> None:
        """Ask other VMs for changes that this one lacks, and wait for them."""
        self._row_requests += 1
        self.request_rows(self.table, self._known.complete_version)
        await asyncio.sleep(_RELAY_DELAY_S)

    def _is_behind(self) -> bool:
        """Return whether there are changes that this VM may lack."""
        newest = max(self.newest_row_version, self._reported_version)
        return newest > self._known.complete_version

    async def _wait_for_report(self) -> None:
        """Wait until newer rows are reported, and for these to arrive."""
        self._newer_rows_reported.clear()
        timeout = min(_RELAY_CHECK_S, self._time_left())
        if await wait_for_event(self._newer_rows_reported, timeout):
            await asyncio.sleep(_RELAY_DELAY_S)

    def apply_relayed(
        self,
        previous_version: int,
        changes: Rows,
        unread_for: float = 0.0,
        is_complete: bool = True,
    ) -> None:
        """Apply rows that another VM has.

        ``previous_version`` is that of the last change before. The rows may
        have been written ``unread_for`` seconds ago. If this VM lacks
        changes up to that version, it requests them instead. Of a VM that
        does not state which changes it knows, they may not be complete.
        """
        if (
            self._needs_full_read
            or previous_version > self._known.complete_version
        ):
            if changes.rows:
                self.record_reported_version(
                    max(r.version for r in changes.rows)
                )
            return
        self.unread_for = max(unread_for, self._measure_break())
        if is_complete:
            self._apply_changes(changes)
        else:
            self._apply_single_rows(changes)

    def _measure_break(self) -> float:
        """Return for how long this VM has known nothing new, in seconds.

        It is 0 if that is no longer than usual. Otherwise rows that arrive
        now may have waited while this VM stood still.
        """
        return self._age() if self._is_stale() else 0.0

    def _apply_single_rows(self, changes: Rows) -> None:
        """Apply rows besides which there may be others."""
        for row in changes.rows:
            if find_era(row.version) == find_era(self._known.complete_version):
                self._apply_row(row)
                self.record_reported_version(row.version)

    def _apply_changes(
        self, changes: Rows, read_at: float | None = None
    ) -> None:
        """Apply all changes of a range, and pass on those that are new.

        ``read_at`` is when they were read from the store. Other VMs may have
        relayed some of them since it was called. What is from before a
        restoration may be lost since, and is dropped.
        """
        known = self._known
        if find_era(changes.store_version) < find_era(known.complete_version):
            return
        previous_version = known.changed_version
        known_before = known.known_at
        self._record_era(changes.store_version)
        for row in changes.rows:
            self._apply_row(row)
        new_rows = tuple(
            r for r in changes.rows if r.version > previous_version
        )
        known.add_changes(
            changes.store_version,
            max((r.version for r in new_rows), default=0),
            float('-inf') if read_at is None else read_at,
        )
        self._end_outage(known_before)
        if not new_rows:
            return
        for callback in self.on_rows:
            callback(
                self.table,
                previous_version,
                changes._replace(rows=new_rows),
                read_at is not None,
            )

    def _end_outage(self, known_before: float) -> None:
        """Record that all changes are known anew, if they were not for long.

        ``known_before`` is until when they were known until now.
        """
        gap = self._known.known_at - known_before
        if gap <= 0.0 and not self._is_cut_off:
            return
        was_long = gap > self.read_limits().outage
        was_noticed = self._is_cut_off and not self._is_stale()
        if was_noticed or (was_long and math.isfinite(known_before)):
            self._is_cut_off = False
            self._delivery.record_return()

    def _is_outage(self) -> bool:
        """Return whether the store seems to be away, not only for this VM."""
        return self._is_cut_off or self._age() > self.read_limits().outage

    def record_progress(self, progress: TableProgress) -> None:
        """Record which changes another VM knows."""
        known_before = self._known.known_at
        now = self._clock.now()
        if self._needs_full_read or not self._known.add_statement(
            progress, now
        ):
            self.record_reported_version(progress.changed_version)
        self._end_outage(known_before)

    def record_reported_version(self, version: int) -> None:
        """Record the version of the newest change that another VM knows."""
        known = max(self._known.complete_version, self._reported_version)
        if version > known:
            self._reported_version = version
            self._newer_rows_reported.set()

    def _record_era(self, version: int) -> None:
        """Record that rows of a version come; it may be of a later era."""
        position = self._known.complete_version
        if position and find_era(version) > find_era(position):
            self._delivery.record_return()
            self._log.write(
                'store_restored', table=self.table, era=find_era(version)
            )
            for callback in self.on_era:
                callback(find_era(version))

    def _apply_full_read(self, table_rows: Rows, read_at: float) -> None:
        self._record_era(table_rows.store_version)
        self._needs_full_read = False
        keys = {r.key for r in table_rows.rows}
        for row in table_rows.rows:
            self._apply_row(row)
        for key in self._present_keys - keys:
            self._apply_row(Row(key, b'', table_rows.store_version, True))
        known_before = self._known.known_at
        self._known.add_full_read(table_rows.store_version, read_at)
        self._end_outage(known_before)
        for callback in self.on_full_read:
            callback()

    def _apply_row(self, row: Row) -> None:
        """Apply a row if it is newer than that of its key."""
        known = self._rows.get(row.key)
        if known is not None and row.version <= known.version:
            return
        self._rows[row.key] = row
        self._written_after[row.key] = self._clock.now() - self.unread_for
        self.newest_row_version = max(self.newest_row_version, row.version)
        if row.is_deleted:
            self._present_keys.discard(row.key)
        else:
            self._present_keys.add(row.key)
        self._delivery.deliver(row, known)

    def _record_response(self) -> None:
        """Record a response; its rows are from after all known changes."""
        now = self._clock.now()
        self.unread_for = self._age()
        self._retry_pause = _MIN_RETRY_PAUSE_S
        if self._lost_since is not None:
            self._log.write(
                'store_regained',
                table=self.table,
                seconds=round(now - self._lost_since, 3),
            )
            self._lost_since = None

    def _record_failure(self, error: PlatformError) -> None:
        if self._lost_since is None:
            self._lost_since = self._clock.now()
            self._log.write('store_lost', table=self.table, error=error)
        self._is_cut_off |= not self._has_source()


__all__ = ['Follower']
