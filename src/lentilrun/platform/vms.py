"""Client of the platform's lagging list of VMs."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import PlatformError

if TYPE_CHECKING:
    from .service import PlatformService

_OK = 200


class Vm(NamedTuple):
    """One entry: its name, its address and whether it is leaving."""

    name: str
    address: str
    is_leaving: bool


_decoder = msgspec.json.Decoder(list[Vm])


class VmList:
    """The list of live and leaving VMs, of routers and of targets."""

    def __init__(self, service: PlatformService) -> None:
        self._service = service

    async def list(self) -> tuple[Vm, ...]:
        """Return the list as the platform knows it."""
        response = await self._service.send('GET', '/vms')
        if response.status != _OK:
            raise PlatformError(f'the list of VMs said {response.status}')
        try:
            return tuple(_decoder.decode(response.body))
        except msgspec.DecodeError as error:
            raise PlatformError('the list of VMs is odd') from error


__all__ = ['Vm', 'VmList']
