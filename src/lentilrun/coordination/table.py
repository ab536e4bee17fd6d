"""The interface of a transactional table, and one held in memory."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from ..errors import ConflictError
from ..errors import PlatformError

ABSENT = 0


class Row(NamedTuple):
    """A row; versions count from 1, and ``ABSENT`` is for no row."""

    key: str
    value: bytes
    version: int


class Table(Protocol):
    """Conditional reads and writes of single rows.

    Every call raises ``PlatformError`` if the table doesn't respond; a
    write may have taken effect all the same.
    """

    async def read(self, key: str) -> Row:
        """Return the row; its version is ``ABSENT`` if there is none."""

    async def read_newer(self, key: str, version: int) -> Row | None:
        """Return the row, or nothing if it still has ``version``."""

    async def write(self, key: str, value: bytes, version: int) -> int:
        """Write if the row is at ``version``; return the new version.

        Raises ``ConflictError`` if the row has another version.
        """

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``."""


class MemoryTable:
    """A table in memory with injected faults, for tests and examples.

    While ``down`` is set, every call fails. The responses to the next
    ``lost_responses`` writes are lost after the write took effect.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.lost_responses = 0

    def _check(self) -> None:
        if self.down:
            raise PlatformError('the table is unavailable')

    async def read(self, key: str) -> Row:
        """Return the row, or one with version ``ABSENT``."""
        self._check()
        return self.rows.get(key, Row(key, b'', ABSENT))

    async def read_newer(self, key: str, version: int) -> Row | None:
        """Return the row, or nothing if it still has ``version``."""
        row = await self.read(key)
        return row if row.version != version else None

    async def write(self, key: str, value: bytes, version: int) -> int:
        """Write if the row is at ``version``; return the new version."""
        self._check()
        current = self.rows.get(key, Row(key, b'', ABSENT))
        if current.version != version:
            raise ConflictError(f'{key} has version {current.version}')
        self.rows[key] = Row(key, value, version + 1)
        if self.lost_responses:
            self.lost_responses -= 1
            raise PlatformError('the response to the write was lost')
        return version + 1

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``."""
        self._check()
        return [r for k, r in self.rows.items() if k.startswith(prefix)]


__all__ = ['ABSENT', 'MemoryTable', 'Row', 'Table']
