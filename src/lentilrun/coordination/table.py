"""What the coordination parts ask of a transactional table service."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from ..errors import ConflictError
from ..errors import PlatformError

ABSENT = 0


class Row(NamedTuple):
    """A row; versions count from 1, and 0 means that it is absent."""

    key: str
    value: bytes
    version: int


class Table(Protocol):
    """Conditional reads and writes of single rows.

    Every call raises ``PlatformError`` if no answer came; a write may
    have taken effect all the same.
    """

    async def read(self, key: str) -> Row:
        """Return the row; its version is ``ABSENT`` if there is none."""

    async def read_newer(self, key: str, version: int) -> Row | None:
        """Return the row, or nothing if it still has ``version``."""

    async def write(self, key: str, value: bytes, version: int) -> int:
        """Write if the row has ``version``; return the new version.

        Raises ``ConflictError`` if the row has another version.
        """

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``."""


class MemoryTable:
    """A table in memory with faults to order, for tests and examples."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.lost_responses = 0

    def _check(self) -> None:
        if self.down:
            raise PlatformError('the table is down')

    async def read(self, key: str) -> Row:
        """Return the row, or one with version ``ABSENT``."""
        self._check()
        return self.rows.get(key, Row(key, b'', ABSENT))

    async def read_newer(self, key: str, version: int) -> Row | None:
        """Return the row, or nothing if it still has ``version``."""
        row = await self.read(key)
        return row if row.version != version else None

    async def write(self, key: str, value: bytes, version: int) -> int:
        """Write if the version fits; the answer may be set to be lost."""
        self._check()
        found = self.rows.get(key, Row(key, b'', ABSENT))
        if found.version != version:
            raise ConflictError(f'{key} has version {found.version}')
        self.rows[key] = Row(key, value, version + 1)
        if self.lost_responses:
            self.lost_responses -= 1
            raise PlatformError('the answer was lost')
        return version + 1

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``."""
        self._check()
        return [r for k, r in self.rows.items() if k.startswith(prefix)]


__all__ = ['ABSENT', 'MemoryTable', 'Row', 'Table']
