"""Client of the object store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from ..errors import PlatformError

if TYPE_CHECKING:
    from .service import PlatformService

_OK = 200
_NOT_FOUND = 404
_STORED = (200, 201, 204)


class ObjectStore:
    """Objects by key; an object never changes once it is written."""

    def __init__(self, service: PlatformService) -> None:
        self._service = service

    async def read(self, key: str) -> bytes | None:
        """Return an object, or nothing if it is absent."""
        response = await self._service.send('GET', f'/objects/{quote(key)}')
        if response.status == _NOT_FOUND:
            return None
        if response.status != _OK:
            raise PlatformError(f'the object store said {response.status}')
        return response.body

    async def write(self, key: str, value: bytes) -> None:
        """Store an object; safe to repeat."""
        path = f'/objects/{quote(key)}'
        response = await self._service.send('PUT', path, value)
        if response.status not in _STORED:
            raise PlatformError(f'the object store said {response.status}')


__all__ = ['ObjectStore']
