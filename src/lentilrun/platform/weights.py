"""Client of the platform's rate-limited weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from ..errors import PlatformError

if TYPE_CHECKING:
    from .service import PlatformService

_OK = 200
_NOT_FOUND = 404


class WeightStore:
    """Looks up which weights versions of a model are stored."""

    def __init__(self, service: PlatformService) -> None:
        self._service = service

    async def has_version(self, model: str, version: str) -> bool:
        """Return whether a version is stored; raises ``PlatformError``."""
        path = f'/weights/{quote(model)}/{quote(version)}'
        response = await self._service.send('GET', path)
        if response.status not in (_OK, _NOT_FOUND):
            raise PlatformError(
                f'the weight store responded with status {response.status}'
            )
        return response.status == _OK


__all__ = ['WeightStore']
