"""The store of one VM names the VM's proxies in the rows of targets."""

from __future__ import annotations

from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.rowstore import RowStoreState
import pytest
from soak.proxy import Proxy
from soak.storeview import StoreView


@pytest.mark.parametrize(
    ('table', 'port', 'seen_port'),
    [
        ('servers', 11111, 22222),
        ('servers', 11112, 11112),
        ('op', 11111, 11111),
    ],
)
def test_addresses(table: str, port: int, seen_port: int) -> None:
    """Only the addresses of targets that have a proxy differ."""
    store = RowStoreState()
    proxy = Proxy(('127.0.0.1', 11111))
    proxy.port = 22222
    view = StoreView(store, {11111: proxy})
    row = make_target_row('app', f'127.0.0.1:{port}', {}, 'ready')
    store.put(table, 'a1', row)
    store.put(table, 'a2', None)
    seen = make_target_row('app', f'127.0.0.1:{seen_port}', {}, 'ready')
    assert [r.value for r in view.list_changes(table, 0)] == [seen, None]
    assert [r.value for r in view.rows.values()] == [seen]
    assert view.version == store.version
