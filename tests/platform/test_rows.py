"""Rows of the store are read whatever other writers put into them."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import json
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.config.ini import Address
from lentilrun.coordination.clock import SystemClock
from lentilrun.errors import PlatformError
from lentilrun.platform.rows import Rows
from lentilrun.platform.rows import RowStore
from lentilrun.web.client import Client
from lentilrun.web.client import Request
from lentilrun.web.client import Response
import msgspec
import pytest
from tornado.httputil import HTTPHeaders

_ADDRESS = Address('127.0.0.1', 1)
_PAGE = 3
_VALUE = base64.b64encode(b'{}').decode()


class _FakeClient(Client):
    """Responds by a function of the path and query."""

    def __init__(self, respond: Callable[[str, dict[str, str]], bytes]):
        super().__init__()
        self._respond = respond
        self.calls = 0

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        self.calls += 1
        parts = urlsplit(request.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        body = self._respond(parts.path.rpartition('/')[2], query)
        return Response(200, HTTPHeaders(), body)


def _read(client: _FakeClient) -> Rows:
    store = RowStore(client, _ADDRESS, SystemClock())
    return asyncio.run(store.read('servers'))


def _make_row(key: str, version: int, **changes: Any) -> dict[str, Any]:
    row = {'key': key, 'value': _VALUE, 'row-version': version}
    row.update({k.replace('_', '-'): v for k, v in changes.items()})
    return row


def _serve_pages(
    rows: Sequence[dict[str, Any]],
) -> Callable[[str, dict[str, str]], bytes]:
    """Serve rows in pages, as the store does."""

    def respond(name: str, query: dict[str, str]) -> bytes:
        first = query.get('from', '')
        rest = [r for r in rows if r['key'] >= first]
        return msgspec.json.encode(
            {
                'rows': rest[:_PAGE],
                'has-more': len(rest) > _PAGE,
                'row-version': 99,
                'now-ms': 1.0,
            }
        )

    return respond


_MALFORMED = {
    'no base64': {'value': '!!!!'},
    'odd characters in base64': {'value': 'e3\n0='},
    'half of base64': {'value': _VALUE[:-1]},
    'a value of another type': {'value': 7},
    'no value': {'value': None},
    'a version of another type': {'row_version': 'x'},
}


@pytest.mark.parametrize('name', _MALFORMED)
@pytest.mark.parametrize('malformed', [{0}, {2}, {0, 1, 2}, {3, 4, 5}, {6}])
def test_malformed_rows_hide_no_others(malformed: set[int], name: str) -> None:
    """A page of malformed rows does not end a read."""
    keys = [f'key-{number}' for number in range(8)]
    rows = [
        _make_row(k, n + 1, **(_MALFORMED[name] if n in malformed else {}))
        for n, k in enumerate(keys)
    ]
    client = _FakeClient(_serve_pages(rows))
    read = _read(client)
    sound = [k for n, k in enumerate(keys) if n not in malformed]
    assert [r.key for r in read.rows if r.value == b'{}'] == sound
    assert client.calls <= 4


def test_malformed_value_is_not_a_missing_row() -> None:
    """A row that can't be read is there, with a value that names nothing."""
    rows = [_make_row('odd', 5, value='!!!!'), _make_row('sound', 6)]
    read = _read(_FakeClient(_serve_pages(rows)))
    assert [(r.key, r.value, r.version) for r in read.rows] == [
        ('odd', b'', 5),
        ('sound', b'{}', 6),
    ]


def test_page_without_a_key_is_no_whole_read() -> None:
    """A read that can't be continued fails; the rest counts not as gone."""

    def respond(name: str, query: dict[str, str]) -> bytes:
        return msgspec.json.encode(
            {
                'rows': [{'value': _VALUE}, 7],
                'has-more': True,
                'row-version': 1,
                'now-ms': 1.0,
            }
        )

    with pytest.raises(PlatformError):
        _read(_FakeClient(respond))


@pytest.mark.parametrize('row_count', [1, _PAGE, _PAGE + 1, 4 * _PAGE])
def test_rows_written_between_pages_are_not_skipped(row_count: int) -> None:
    """The feed is asked for all that changed since the first page."""
    rows = [_make_row(f'key-{n:02}', 1) for n in range(row_count)]
    versions = itertools.count(10)
    serve_page = _serve_pages(rows)

    def respond(name: str, query: dict[str, str]) -> bytes:
        page = msgspec.json.decode(serve_page(name, query))
        page['row-version'] = next(versions)
        return msgspec.json.encode(page)

    read = _read(_FakeClient(respond))
    assert len(read.rows) == row_count
    assert read.store_version == 10


@pytest.mark.parametrize('has_more', [False, True])
def test_feed_is_continued_after_its_last_row(has_more: bool) -> None:
    """Rows that did not fit into a response are not skipped."""

    def respond(name: str, query: dict[str, str]) -> bytes:
        assert name == 'rows-feed'
        return msgspec.json.encode(
            {
                'rows': [_make_row('a', 4), _make_row('b', 7)],
                'has-more': has_more,
                'row-version': 20,
                'now-ms': 1.0,
            }
        )

    store = RowStore(_FakeClient(respond), _ADDRESS, SystemClock())
    changes = asyncio.run(store.follow('servers', 3, 0.1))
    assert changes.store_version == (7 if has_more else 20)


_VALUES = (
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats()
    | st.text(max_size=9)
    | st.lists(st.none(), max_size=2)
)
_ROWS = st.dictionaries(
    st.sampled_from(['key', 'value', 'row-version', 'deleted', 'part']),
    _VALUES,
)
_PAGES = st.dictionaries(
    st.sampled_from(['rows', 'has-more', 'row-version', 'now-ms']),
    _VALUES | st.lists(_ROWS | _VALUES, max_size=3),
)


def _encode_loosely(page: dict[str, Any]) -> bytes:
    return json.dumps(page).encode()


@settings(deadline=None)
@given(
    st.binary(max_size=60)
    | _PAGES.map(_encode_loosely)
    | _PAGES.map(
        lambda page: _encode_loosely({'row-version': 1, 'now-ms': 1, **page})
    )
)
@example(b'[' * 100_000)
@example(b'{"row-version":1,"now-ms":1,"rows":[' + b'[' * 100_000)
@example(b'{"row-version":1,"now-ms":1,"rows":[{"key":"\xff"}]}')
@example(b'{"row-version":1,"now-ms":1,"rows":[{"key":"\\ud800"}]}')
@example(b'{"row-version":1e400,"now-ms":1}')
@example(b'{"row-version":1,"now-ms":' + b'9' * 5000 + b'}')
@example(b'{"row-version":' + b'9' * 5000 + b',"now-ms":1}')
def test_any_response_of_the_store(body: bytes) -> None:
    """A read returns rows of the right types or raises ``PlatformError``."""
    bodies = itertools.chain([body], itertools.repeat(b'{}'))
    try:
        read = _read(_FakeClient(lambda name, query: next(bodies)))
    except PlatformError:
        return
    msgspec.json.encode(read)
    for row in read.rows:
        assert isinstance(row.key, str)
        assert isinstance(row.value, bytes)
