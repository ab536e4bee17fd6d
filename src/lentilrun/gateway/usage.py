"""Saves usage in the store, so that it outlasts a restart of all VMs.

Beside it are the ceilings of workspaces: use exceeds one only after a higher
one has been stored. See ``docs/design/quota-restarts.md``.
"""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from ..errors import ConflictError
from ..errors import PlatformError
from ..platform.rows import Write
from ..records import KeyedRecord
from ..records import PositionalRecord
from .ceilings import Ceilings
from .ceilings import CeilingStatement
from .ceilings import Tokens
from .discovery import FLEET_TABLE
from .messages import UsePerSecond

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..platform.rows import Row
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log
    from .peers import Peers
    from .quotas import CeilingPlan
    from .quotas import Quotas

_KEY = 'usage'
_CEILINGS_KEY = 'usage-ceilings'
# Time between two checkpoints while use is high.
_CHECKPOINT_INTERVAL_S = 1.0
# Time between two looks at the use, and two rows that raise a ceiling.
_CHECK_INTERVAL_S = 0.1
_RAISE_INTERVAL_S = 0.25
# If a row that is due is not written, the next VM writes it after this time:
# a call of the first one may hang for longer than it takes to notice.
_TAKEOVER_S = 0.5
_WRITERS = 3


class _UsageRow(PositionalRecord, frozen=True):
    """Tokens by workspace and second up to ``written``, newest first.

    ``written`` is by the store's clock, in seconds.
    """

    uses: dict[str, UsePerSecond]
    written: float


class _CeilingsRow(KeyedRecord, frozen=True):
    """The tokens that VMs may have admitted in a window, by workspace.

    A workspace without an entry needs none. ``is_by_starting`` if all VMs
    may have just started.
    """

    ceilings: dict[str, Tokens]
    is_by_starting: bool = False


_decoder = msgspec.json.Decoder(_UsageRow)
_ceilings_decoder = msgspec.json.Decoder(_CeilingsRow)


class UsageCheckpointer:
    """Writes the usage of workspaces that used much of their quota.

    The first of the VMs that are fit for it writes. The next ones do if it
    does not.
    """

    def __init__(
        self,
        store: RowStore,
        peers: Peers,
        quotas: Quotas,
        clock: Clock,
        log: Log,
    ) -> None:
        self._store = store
        self._peers = peers
        self._quotas = quotas
        self._clock = clock
        self._log = log
        self.ceilings = Ceilings(peers, quotas, log)
        # The version of the newest row that is known, and since when.
        self._seen_version = 0
        self._seen_at = float('-inf')
        self._near_since: float | None = None

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            rank = self._find_rank()
            if rank is None:
                continue
            plan = self._quotas.plan_ceilings(self.ceilings.statement.stored)
            if self._is_due(plan, rank):
                await self._write(plan)

    def _find_rank(self) -> int | None:
        """Return this VM's place among the writers, nothing if it is none."""
        writers = self._peers.list_lease_candidates()[:_WRITERS]
        own = self._peers.own_member.name
        return writers.index(own) if own in writers else None

    def _is_due(self, plan: CeilingPlan, rank: int) -> bool:
        """Return whether this VM is to write a row now."""
        now = self._clock.now()
        if self.ceilings.version != self._seen_version:
            self._seen_version = self.ceilings.version
            self._seen_at = now
            self._near_since = None
        if not plan.is_near:
            self._near_since = None
        elif self._near_since is None:
            self._near_since = now
        patience = rank * _TAKEOVER_S
        age = now - self._seen_at
        if self._near_since is not None and age >= _RAISE_INTERVAL_S:
            return now - self._near_since >= patience
        is_needed = plan.is_too_high or self._quotas.needs_checkpoint()
        return is_needed and age >= _CHECKPOINT_INTERVAL_S + patience

    async def _write(self, plan: CeilingPlan) -> None:
        """Write the use and the ceilings, unless there is a newer row.

        A ceiling that falls is stored once the VMs know of it.
        """
        stored = dict(self.ceilings.statement.in_force)
        for name, ceiling in plan.ceilings.items():
            stored[name] = max(ceiling, stored.get(name, 0.0))
        uses = self._quotas.export_for_checkpoint(stored)
        row = _UsageRow(uses, self._store.estimate_clock())
        ceilings_row = _CeilingsRow(stored, self._peers.is_starting())
        writes = [
            Write(
                FLEET_TABLE,
                _CEILINGS_KEY,
                msgspec.json.encode(ceilings_row),
                self.ceilings.version,
            ),
            Write(FLEET_TABLE, _KEY, msgspec.json.encode(row), None),
        ]
        try:
            written = await self._store.write(writes)
        except ConflictError:
            await self._read()
        except PlatformError as error:
            self._log.write('usage_unwritten', error=error)
        else:
            statement = CeilingStatement(plan.ceilings, stored)
            self.ceilings.apply(written.store_version, statement)
            self.ceilings.announce()

    async def _read(self) -> None:
        """Read the ceilings that another VM has written."""
        try:
            table_rows = await self._store.read(FLEET_TABLE)
        except PlatformError as error:
            self._log.write('ceilings_unread', error=error)
            return
        self._apply_rows(table_rows)

    def _apply_rows(self, table_rows: Rows) -> _CeilingsRow:
        """Apply the ceilings that are in the store, and return them."""
        for row in table_rows.rows:
            if row.key != _CEILINGS_KEY:
                continue
            checkpoint = self._decode(row, _ceilings_decoder)
            found: _CeilingsRow = checkpoint or _CeilingsRow({})
            self.ceilings.apply(
                row.version, CeilingStatement(found.ceilings, found.ceilings)
            )
            return found
        return _CeilingsRow({})

    def _decode(self, row: Row, decoder: msgspec.json.Decoder[Any]) -> Any:
        """Return a row's record, nothing if it is unreadable."""
        try:
            return decoder.decode(row.value)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self._log.write('row_unreadable', key=row.key, error=error)
            return None

    def restore(self, table_rows: Rows) -> None:
        """Adopt the usage that was written before this process started."""
        found = self._apply_rows(table_rows)
        uses: dict[str, list[int]] = {}
        age = 0.0
        for row in table_rows.rows:
            if row.key != _KEY:
                continue
            checkpoint = self._decode(row, _decoder)
            if checkpoint is not None:
                uses = checkpoint.uses
                age = max(0.0, table_rows.store_time - checkpoint.written)
        if uses or found.ceilings:
            self._log.write(
                'usage_taken', uses=uses, ceilings=found.ceilings, age=age
            )
        self._quotas.restore(uses, found.ceilings, age, found.is_by_starting)


__all__ = ['UsageCheckpointer']
