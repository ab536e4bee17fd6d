"""Client of the transactional table service.

Row versions are sent as HTTP entity tags.
"""

from __future__ import annotations

import base64
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from ..coordination.table import ABSENT
from ..coordination.table import Row
from ..errors import ConflictError
from ..errors import PlatformError
from .service import take_value

if TYPE_CHECKING:
    from .service import PlatformService

_PATH = '/tables/lentilrun'
_OK = 200
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_CONFLICT_STATUSES = (409, 412)


class _ListedRow(NamedTuple):
    key: str
    value: str
    version: int


_list_decoder = msgspec.json.Decoder(list[_ListedRow])


def _parse_entity_tag(tag: str) -> int:
    try:
        return int(tag.strip('"'))
    except ValueError as error:
        raise PlatformError(f'no usable entity tag: {tag!r}') from error


class HttpTable:
    """Implements the ``Table`` of ``coordination`` over HTTP."""

    def __init__(self, service: PlatformService) -> None:
        self._service = service

    async def read(self, key: str) -> Row:
        """Return the row, or one with version ``ABSENT``."""
        return await self._read(key, {}) or Row(key, b'', ABSENT)

    async def read_newer(self, key: str, version: int) -> Row | None:
        """Return the row, or nothing if it still has ``version``."""
        condition = {'If-None-Match': f'"{version}"'}
        row = await self._read(key, condition)
        if row is not None and row.version == version:
            return None
        return row

    async def _read(self, key: str, condition: dict[str, str]) -> Row | None:
        path = f'{_PATH}/{quote(key)}'
        response = await self._service.send('GET', path, b'', condition)
        if response.status == _NOT_MODIFIED:
            return None
        if response.status == _NOT_FOUND:
            return Row(key, b'', ABSENT)
        if response.status != _OK:
            raise PlatformError(f'the table said {response.status}')
        version = _parse_entity_tag(response.headers.get('ETag', ''))
        return Row(key, take_value(response), version)

    async def write(self, key: str, value: bytes, version: int) -> int:
        """Write if the row has ``version``; return the new version.

        Raises ``ConflictError`` if the row has another version.
        """
        condition = {'If-Match': f'"{version}"'}
        if version == ABSENT:
            condition = {'If-None-Match': '*'}
        path = f'{_PATH}/{quote(key)}'
        response = await self._service.send('PUT', path, value, condition)
        if response.status in _CONFLICT_STATUSES:
            raise ConflictError(f'{key} is no longer at {version}')
        if response.status not in (_OK, 201, 204):
            raise PlatformError(f'the table said {response.status}')
        return _parse_entity_tag(
            response.headers.get('ETag', str(version + 1))
        )

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``."""
        path = f'{_PATH}?prefix={quote(prefix, safe="")}'
        response = await self._service.send('GET', path)
        if response.status != _OK:
            raise PlatformError(f'the table said {response.status}')
        try:
            listed = _list_decoder.decode(response.body)
            return [
                Row(r.key, base64.b64decode(r.value), r.version)
                for r in listed
            ]
        except (msgspec.DecodeError, ValueError) as error:
            raise PlatformError('the table sent an odd list') from error


__all__ = ['HttpTable']
