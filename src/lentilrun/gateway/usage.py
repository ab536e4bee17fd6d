"""Saves usage in the store, so that it outlasts a restart of all VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from ..errors import PlatformError
from ..platform.rows import Write
from ..records import PositionalRecord
from .discovery import FLEET_TABLE
from .fleetrows import decode_row
from .messages import UsePerSecond

if TYPE_CHECKING:
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log
    from .peers import Peers
    from .quotas import Quotas

_KEY = 'usage'
_CHECKPOINT_INTERVAL_S = 1.0


class _UsageRow(PositionalRecord, frozen=True):
    """Tokens by workspace and second up to ``written``, newest first.

    ``written`` is by the store's clock, in seconds.
    """

    uses: dict[str, UsePerSecond]
    written: float


_decoder = msgspec.json.Decoder(_UsageRow)


class UsageCheckpointer:
    """Writes the usage of workspaces that used much of their quota.

    Only the first of the VMs that are fit for a lease writes it: one that
    has lost the store lets the next one write.
    """

    def __init__(
        self,
        store: RowStore,
        peers: Peers,
        quotas: Quotas,
        log: Log,
    ) -> None:
        self._store = store
        self._peers = peers
        self._quotas = quotas
        self._log = log

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await asyncio.sleep(_CHECKPOINT_INTERVAL_S)
            uses = self._quotas.export_for_checkpoint()
            if not uses or not self._peers.is_first_candidate():
                continue
            row = _UsageRow(uses, self._store.estimate_clock())
            value = msgspec.json.encode(row)
            try:
                await self._store.write(
                    [Write(FLEET_TABLE, _KEY, value, None)]
                )
            except PlatformError as error:
                self._log.write('usage_unwritten', error=error)

    def restore(self, table_rows: Rows) -> None:
        """Adopt the usage that was written before this process started."""
        for row in table_rows.rows:
            if row.key != _KEY:
                continue
            checkpoint = decode_row(_decoder, row, self._log)
            if checkpoint is None:
                continue
            age = max(0.0, table_rows.store_time - checkpoint.written)
            self._log.write('usage_taken', uses=checkpoint.uses, age=age)
            self._quotas.adopt_checkpoint(checkpoint.uses, age)


__all__ = ['UsageCheckpointer']
