"""Discovery of the other VMs, by a row in the store for each VM."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from ..config.ini import parse_address
from ..decisions.topology import Member
from ..errors import PlatformError
from ..platform.rows import Write
from ..records import PositionalRecord
from .events import wait_for_event
from .messages import Port
from .messages import Power

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.ini import Address
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log
    from .peers import Peers
    from .usage import UsageCheckpointer

FLEET_TABLE = 'fleet'
_VM_KEY_PREFIX = 'vm/'
# A VM that joins later is found after this time at most, or once it sends.
_READ_INTERVAL_S = 30.0
_RETRY_PAUSE_S = 0.5
# All VMs together read the table at this rate after the store was restored.
_REREADS_PER_S = 40.0


class _VmRow(PositionalRecord, frozen=True):
    """Where a VM receives datagrams; ``power`` in processor cores."""

    host: str
    port: Port
    data_centre: str
    power: Power


_decoder = msgspec.json.Decoder(_VmRow)


class Discovery:
    """Writes the row of this VM; adds the VMs of the other rows as peers."""

    def __init__(
        self,
        store: RowStore,
        peers: Peers,
        member: Member,
        address: Address,
        usage: UsageCheckpointer,
        log: Log,
    ) -> None:
        self._usage = usage
        self._store = store
        self._peers = peers
        self._member = member
        self._address = address
        self._log = log
        # Whether the VMs of the fleet have been read.
        self.has_read = False
        self.on_read: list[Callable[[Rows], None]] = []
        self._restored = asyncio.Event()
        store.on_restored.append(self._restored.set)

    async def run(self) -> None:
        """Join the fleet and look for new members until cancelled.

        This VM's row is written before the others are read: of two VMs
        that join at the same time, at least one reads the other's row. It is
        written again if it is missing, as after the store was restored from
        an older copy.
        """
        has_joined = False
        while True:
            try:
                if not has_joined:
                    await self._join()
                table_rows = await self._store.read(FLEET_TABLE)
                if self._own_key() not in {r.key for r in table_rows.rows}:
                    await self._join()
            except PlatformError as error:
                self._log.write('fleet_unread', error=error)
                await asyncio.sleep(_RETRY_PAUSE_S)
                continue
            self._add_peers(table_rows)
            self.has_read = True
            for callback in self.on_read:
                callback(table_rows)
            if not has_joined:
                has_joined = True
                self._usage.restore(table_rows)
            self._peers.request_send()
            await self._wait_for_restoration(_READ_INTERVAL_S)

    async def _wait_for_restoration(self, timeout: float) -> None:
        """Wait for ``timeout`` s, or for less if the store is restored.

        The VMs then read the store one after the other.
        """
        if not await wait_for_event(self._restored, timeout):
            return
        self._restored.clear()
        vms = self._peers.count_members()
        await asyncio.sleep(random.uniform(0.0, vms / _REREADS_PER_S))

    def _own_key(self) -> str:
        return _VM_KEY_PREFIX + self._member.name

    async def _join(self) -> None:
        own = self._member
        row = _VmRow(*self._address, own.data_centre, own.power)
        value = msgspec.json.encode(row)
        write = Write(FLEET_TABLE, self._own_key(), value, None)
        await self._store.write([write])

    def _add_peers(self, table_rows: Rows) -> None:
        for row in table_rows.rows:
            if not row.key.startswith(_VM_KEY_PREFIX):
                continue
            name = row.key.removeprefix(_VM_KEY_PREFIX)
            try:
                vm = _decoder.decode(row.value)
                address = parse_address(f'{vm.host}:{vm.port}')
            except (
                msgspec.MsgspecError,
                ValueError,
                RecursionError,
            ) as error:
                self._log.write('row_unreadable', key=row.key, error=error)
                continue
            if name not in self._peers.by_name:
                member = Member(name, vm.data_centre, vm.power)
                self._peers.add(member, address)


__all__ = ['Discovery', 'FLEET_TABLE']
