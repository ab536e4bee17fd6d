"""The store as one VM sees it, with proxies of its own before targets."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from .proxy import LOOPBACK

if TYPE_CHECKING:
    from lentilrun.standins.rowstore import RowStoreState
    from lentilrun.standins.rowstore import StoredRow

    from .proxy import Proxy

_TARGETS = 'servers'


class StoreView:
    """Another view of a store: the addresses of some targets differ."""

    def __init__(
        self, store: RowStoreState, proxies: dict[int, Proxy]
    ) -> None:
        """Name proxies in place of the targets' ports."""
        self._store = store
        self._addresses = {
            _encode_address(port): _encode_address(proxy.port)
            for port, proxy in proxies.items()
        }

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)

    @property
    def rows(self) -> dict[tuple[str, str, str], StoredRow]:
        """Return all rows."""
        rows = self._store.rows
        return {k: self._replace(row) for k, row in rows.items()}

    def list_changes(self, table: str, after: int) -> list[StoredRow]:
        """Return the last change of each row since a version."""
        changes = self._store.list_changes(table, after)
        return [self._replace(row) for row in changes]

    def _replace(self, row: StoredRow) -> StoredRow:
        value = row.value
        if row.table != _TARGETS or value is None:
            return row
        for old, new in self._addresses.items():
            value = value.replace(old, new)
        return row._replace(value=value)


def _encode_address(port: int) -> bytes:
    return f'"{LOOPBACK}:{port}"'.encode()


__all__ = ['StoreView']
