"""Client of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from ..errors import PlatformError
from .service import take_value

if TYPE_CHECKING:
    from .service import PlatformService

_OK = 200
_NOT_FOUND = 404
_STORED_STATUSES = (200, 201, 204)


class ObjectStore:
    """Reads and writes objects; an object never changes once written."""

    def __init__(self, service: PlatformService) -> None:
        self._service = service

    async def read(self, key: str) -> bytes | None:
        """Return an object, or nothing if absent; raises ``PlatformError``."""
        response = await self._service.send('GET', f'/objects/{quote(key)}')
        if response.status == _NOT_FOUND:
            return None
        if response.status != _OK:
            raise PlatformError(
                f'the object store responded with status {response.status}'
            )
        return take_value(response)

    async def write(self, key: str, value: bytes) -> None:
        """Store an object; safe to repeat. Raises ``PlatformError``."""
        path = f'/objects/{quote(key)}'
        response = await self._service.send('PUT', path, value)
        if response.status not in _STORED_STATUSES:
            raise PlatformError(
                f'the object store responded with status {response.status}'
            )


__all__ = ['ObjectStore']
