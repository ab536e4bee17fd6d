"""A lease with a fencing token, for work that a single VM does."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..errors import ConflictError
from ..platform.rows import Write
from ..records import PositionalRecord
from .discovery import FLEET_TABLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..platform.rows import Row
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log

_KEY_PREFIX = 'lease/'
_LEASE_S = 1.5
# The lease is renewed when less than this is left.
_RENEW_BELOW_S = 0.8
# Margin for the time that an order takes to reach an engine.
_ORDER_DELAY_MARGIN_S = 0.25
# Fencing tokens that are given out in an era of the store are below this.
_FENCES_IN_ERA = 10**6


class _LeaseRow(PositionalRecord, frozen=True):
    """The lease; ``until`` by the store's clock, in seconds."""

    holder: str
    fence: int
    until: float


_decoder = msgspec.json.Decoder(_LeaseRow)
_NO_LEASE = _LeaseRow('', 0, 0.0)


class OrderLease:
    """The right to do some work; acquired only while there is any.

    An idle fleet thus makes no calls for it. ``until`` of a row is by the
    store's clock. The holder counts the lease from before its call was
    sent, so that it ends by the holder's clock before it does by the
    store's. Another VM may acquire it only after a gap: for this
    time an engine must have received no order from the previous holder.

    When the store was restored from an older copy, the newest lease may be
    lost: it is acquired only after the longest time that it may have been
    held, and fencing tokens grow with the era. A lease that can't be read is
    taken for one of another VM that was acquired as it was first seen.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        name: str,
        gap: float,
        log: Log,
        work: str = 'weights',
    ) -> None:
        """Acquire leases as the VM ``name``; ``gap`` in seconds.

        ``work`` distinguishes leases that are independent of each other.
        """
        self._store = store
        self._clock = clock
        self._name = name
        self._gap = gap
        self._log = log
        self._key = _KEY_PREFIX + work
        self._row = _NO_LEASE
        self._row_version = 0
        self._held_until = float('-inf')
        self._newest_fence = 0
        # The version of the row that can't be read, and when it ends.
        self._unreadable_version = 0
        self._unreadable_until = 0.0
        # Called with the rows of the lease's table, each time they are read.
        self.on_read: list[Callable[[Rows], None]] = []

    @property
    def fence(self) -> int:
        """Return the fencing token of the lease that is held."""
        return self._row.fence

    def is_held(self) -> bool:
        """Return whether an order may be sent now."""
        return self._clock.now() < self._held_until

    async def acquire(self) -> float:
        """Acquire or renew the lease; return 0 if this VM holds it now.

        Otherwise return the time after which to try again, in seconds.
        Raises ``PlatformError`` if the store does not answer, and
        ``ConflictError`` if another VM wrote the lease first.
        """
        if self._held_until - self._clock.now() > _RENEW_BELOW_S:
            return 0.0
        sent_at = self._clock.now()
        if self.is_held():
            # The store's clock shows at least this time.
            await self._write(self._row, self._store.estimate_clock(), sent_at)
            return 0.0
        table_rows = await self._store.read(FLEET_TABLE)
        self._record_lease(table_rows)
        for callback in self.on_read:
            callback(table_rows)
        wait = self._compute_wait(table_rows.store_time)
        if wait > 0.0:
            self._held_until = float('-inf')
            return wait
        await self._write(self._row, table_rows.store_time, sent_at)
        return 0.0

    def _compute_wait(self, store_time: float) -> float:
        """Return the time until this VM may acquire the lease, in s."""
        gap = self._gap + _ORDER_DELAY_MARGIN_S
        row = self._row
        if row.fence < self._first_fence():
            # There may have been a later lease, and the VM may have it still.
            store = self._store
            since = store.era_known_at if row.fence else store.restored_at
            return since + _LEASE_S + gap - self._clock.now()
        if row.holder == self._name:
            return 0.0
        return row.until + gap - store_time

    def _first_fence(self) -> int:
        """Return the smallest fencing token of the store's era."""
        return self._store.current_era() * _FENCES_IN_ERA

    async def release(self) -> None:
        """End the lease now, if this VM holds it; send no orders after it.

        Raises ``PlatformError`` if the store does not answer, and
        ``ConflictError`` if another VM wrote the lease first.
        """
        if not self.is_held():
            return
        self._held_until = float('-inf')
        lease = msgspec.structs.replace(
            self._row, until=self._store.estimate_clock()
        )
        value = msgspec.json.encode(lease)
        write = Write(FLEET_TABLE, self._key, value, self._row_version)
        await self._store.write([write])
        self._log.write('lease_released', fence=lease.fence)

    def _record_lease(self, table_rows: Rows) -> None:
        self._row = _NO_LEASE
        self._row_version = 0
        for row in table_rows.rows:
            if row.key != self._key:
                continue
            self._row_version = row.version
            try:
                self._row = _decoder.decode(row.value)
            except msgspec.MsgspecError as error:
                self._log.write('row_unreadable', key=row.key, error=error)
                self._row = self._assume_lease(row, table_rows.store_time)
            self._newest_fence = max(self._newest_fence, self._row.fence)

    def _assume_lease(self, row: Row, store_time: float) -> _LeaseRow:
        """Return the lease that a row which can't be read may hold."""
        if row.version != self._unreadable_version:
            self._unreadable_version = row.version
            self._unreadable_until = store_time + _LEASE_S
        return _LeaseRow('', self._newest_fence, self._unreadable_until)

    async def _write(
        self, row: _LeaseRow, store_time: float, sent_at: float
    ) -> None:
        is_new = row.holder != self._name or not self.is_held()
        fence = row.fence
        if is_new:
            fence = max(fence, self._first_fence()) + 1
        lease = _LeaseRow(self._name, fence, store_time + _LEASE_S)
        value = msgspec.json.encode(lease)
        write = Write(FLEET_TABLE, self._key, value, self._row_version)
        try:
            written = await self._store.write([write])
        except ConflictError:
            self._held_until = float('-inf')
            raise
        self._row = lease
        self._newest_fence = max(self._newest_fence, fence)
        self._row_version = written.store_version
        self._held_until = sent_at + _LEASE_S
        if is_new:
            self._log.write(
                'lease_taken',
                key=self._key,
                fence=fence,
                before=row.holder or None,
            )


__all__ = ['OrderLease']
