"""Client of the platform's list of VMs, which lags behind their state."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import PlatformError

if TYPE_CHECKING:
    from .service import PlatformService

_OK = 200


class Vm(NamedTuple):
    """A VM: its name, its address and whether it is leaving."""

    name: str
    address: str
    is_leaving: bool


_list_decoder = msgspec.json.Decoder(list[Vm])


class VmList:
    """Reads the list of the VMs of routers and targets, live or leaving."""

    def __init__(self, service: PlatformService) -> None:
        self._service = service

    async def list(self) -> tuple[Vm, ...]:
        """Return the list as the platform has it; raises ``PlatformError``."""
        response = await self._service.send('GET', '/vms')
        if response.status != _OK:
            raise PlatformError(
                f'the VM list service responded with status {response.status}'
            )
        try:
            return tuple(_list_decoder.decode(response.body))
        except msgspec.DecodeError as error:
            raise PlatformError('the list of VMs is malformed') from error


__all__ = ['Vm', 'VmList']
