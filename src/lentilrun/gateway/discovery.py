"""How a VM finds the others: rows of their own in the store."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..config.ini import Address
from ..decisions.topology import Member
from ..errors import PlatformError
from ..platform.rows import Write

if TYPE_CHECKING:
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log
    from .peers import Peers
    from .usage import UsageCheckpointer

FLEET_TABLE = 'fleet'
_PREFIX = 'vm/'
_READ_PAUSE_S = 30.0
_RETRY_PAUSE_S = 0.5


class _VmRow(NamedTuple):
    host: str
    port: int
    data_centre: str
    power: float


_decoder = msgspec.json.Decoder(_VmRow)


class Discovery:
    """Writes this VM's row and reads those of the others."""

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

    async def run(self) -> None:
        """Join the fleet and look for new members for ever.

        The own row is written before the others are read: of two VMs
        that join at once, one sees the other's.
        """
        has_joined = False
        while True:
            try:
                if not has_joined:
                    await self._join()
                found = await self._store.read(FLEET_TABLE)
            except PlatformError as error:
                self._log.write('fleet_unread', error=error)
                await asyncio.sleep(_RETRY_PAUSE_S)
                continue
            self._take(found)
            if not has_joined:
                has_joined = True
                self._usage.restore(found)
            self._peers.request_send()
            await asyncio.sleep(_READ_PAUSE_S)

    async def _join(self) -> None:
        own = self._member
        row = _VmRow(*self._address, own.data_centre, own.power)
        value = msgspec.json.encode(row)
        key = _PREFIX + own.name
        await self._store.write([Write(FLEET_TABLE, key, value, None)])

    def _take(self, found: Rows) -> None:
        for row in found.rows:
            if not row.key.startswith(_PREFIX):
                continue
            node = row.key.removeprefix(_PREFIX)
            try:
                vm = _decoder.decode(row.value)
            except msgspec.MsgspecError as error:
                self._log.write('row_unreadable', key=row.key, error=error)
                continue
            if node not in self._peers.by_name:
                member = Member(node, vm.data_centre, vm.power)
                self._peers.add(member, Address(vm.host, vm.port))


__all__ = ['Discovery', 'FLEET_TABLE']
