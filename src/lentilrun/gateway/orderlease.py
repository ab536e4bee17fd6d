"""The lease of the one VM that gives orders to engines."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import ConflictError
from ..platform.rows import Write
from .discovery import FLEET_TABLE

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log

_KEY = 'lease/weights'
_LENGTH_S = 1.5
# Renewed once less than this is left.
_RENEW_S = 0.8
# Orders take some time to reach an engine.
_MARGIN_S = 0.25


class _LeaseRow(NamedTuple):
    """The lease; ``until`` by the store's clock, in seconds."""

    holder: str
    fence: int
    until: float


_decoder = msgspec.json.Decoder(_LeaseRow)
_NOBODY = _LeaseRow('', 0, 0.0)


class OrderLease:
    """Held while there is work only, so that it costs nothing else.

    ``until`` of a row is by the store's clock. The holder counts it from
    before its call was sent, so that its lease ends by its own clock
    before it does by the store's. Another may take it only after the gap
    for which an engine must have heard nothing of the holder before.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        name: str,
        gap: float,
        log: Log,
    ) -> None:
        """Try as ``name``; ``gap`` in seconds."""
        self._store = store
        self._clock = clock
        self._name = name
        self._gap = gap
        self._log = log
        self._row = _NOBODY
        self._version = 0
        self._until = float('-inf')

    @property
    def fence(self) -> int:
        """Return the fencing number of the lease that is held."""
        return self._row.fence

    def is_held(self) -> bool:
        """Return whether an order may be sent at this moment."""
        return self._clock.now() < self._until

    async def acquire(self) -> float:
        """Take or renew the lease; return how long to wait if it is not.

        Raises ``PlatformError`` if the store gives no answer, and
        ``ConflictError`` if another VM was faster.
        """
        if self._until - self._clock.now() > _RENEW_S:
            return 0.0
        sent = self._clock.now()
        if self.is_held():
            # The store's clock has moved on by at least this much.
            await self._write(self._row, self._store.estimate_clock(), sent)
            return 0.0
        found = await self._store.read(FLEET_TABLE)
        self._note_row(found)
        row = self._row
        if row.holder != self._name:
            wait = row.until + self._gap + _MARGIN_S - found.store_time
            if wait > 0.0:
                self._until = float('-inf')
                return wait
        await self._write(row, found.store_time, sent)
        return 0.0

    def _note_row(self, found: Rows) -> None:
        self._row = _NOBODY
        self._version = 0
        for row in found.rows:
            if row.key != _KEY:
                continue
            self._version = row.version
            try:
                self._row = _decoder.decode(row.value)
            except msgspec.MsgspecError as error:
                self._log.write('row_unreadable', key=row.key, error=error)

    async def _write(self, row: _LeaseRow, now: float, sent: float) -> None:
        is_new = row.holder != self._name or not self.is_held()
        fence = row.fence + 1 if is_new else row.fence
        wanted = _LeaseRow(self._name, fence, now + _LENGTH_S)
        value = msgspec.json.encode(wanted)
        write = Write(FLEET_TABLE, _KEY, value, self._version)
        try:
            written = await self._store.write([write])
        except ConflictError:
            self._until = float('-inf')
            raise
        self._row = wanted
        self._version = written.store_version
        self._until = sent + _LENGTH_S
        if is_new:
            self._log.write(
                'lease_taken', fence=fence, before=row.holder or None
            )


__all__ = ['OrderLease']
