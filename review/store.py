"""The platform's metadata store: rows, their feed, and transactions."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
from typing import NamedTuple
import urllib.parse

from . import http

_PROTECTED_TABLES = ('op', 'servers')
_PAGE_ROWS = 500


class Row(NamedTuple):
    """A row; its value is None once it was removed."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


class Store:
    """Holds all rows and all changes; a sound platform."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str, str], Row] = {}
        self._changes: list[Row] = []
        self._changed = asyncio.Event()
        self.server = http.Server(self._handle)
        # The feeds that wait now: the table, and when they began to.
        self.waiting_feeds: dict[int, tuple[str, float]] = {}

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a server; None removes it."""
        self.version += 1
        data = None if value is None else json.dumps(value).encode()
        self._apply(table, '', key, data)
        self._wake()

    def _apply(
        self, table: str, part: str, key: str, value: bytes | None
    ) -> None:
        row = Row(table, part, key, value, self.version)
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = row
        self._changes.append(row)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: http.Request) -> http.Response:
        url = urllib.parse.urlsplit(request.uri)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == '/lentilrun/rows-get':
            return self._get(query)
        if url.path == '/lentilrun/rows-feed':
            return await self._feed(query)
        if url.path == '/lentilrun/rows-tx':
            return self._transact(json.loads(request.body))
        return http.Response(404, {})

    def _respond(
        self, status: int, rows: list[Row], has_more: bool = False
    ) -> http.Response:
        body = {
            'rows': [_encode(r) for r in rows],
            'has-more': has_more,
            'row-version': self.version,
            'now-ms': int(time.monotonic() * 1e3),
        }
        return http.Response(
            status,
            {'Content-Type': 'application/json'},
            json.dumps(body).encode(),
        )

    def _get(self, query: dict[str, str]) -> http.Response:
        limit = int(query.get('limit', _PAGE_ROWS))
        rows = sorted(
            (
                r
                for r in self.rows.values()
                if r.table == query['table']
                and r.part == query.get('part', '')
                and r.key >= query.get('from', '')
            ),
            key=lambda r: r.key.encode(),
        )
        return self._respond(200, rows[:limit], len(rows) > limit)

    def _list_changes(self, table: str, after: int) -> list[Row]:
        last = {
            (r.part, r.key): r
            for r in self._changes
            if r.table == table and r.version > after
        }
        return sorted(last.values(), key=lambda r: r.version)

    async def _feed(self, query: dict[str, str]) -> http.Response:
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + int(query['wait-ms']) / 1e3
        token = id(query)
        self.waiting_feeds[token] = (table, time.monotonic())
        try:
            while not (rows := self._list_changes(table, after)):
                left = until - time.monotonic()
                if left <= 0.0:
                    break
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await self._changed.wait()
        finally:
            del self.waiting_feeds[token]
        return self._respond(200, rows)

    def _transact(self, body: dict[str, Any]) -> http.Response:
        names = [*body.get('puts', []), *body.get('remove', [])]
        if any(n['table'] in _PROTECTED_TABLES for n in names):
            return self._respond(403, [])
        current = [
            self.rows.get((e['table'], e.get('part', ''), e['key']))
            for e in body.get('expected', [])
        ]
        for row, expected in zip(current, body.get('expected', [])):
            if (row.version if row else 0) != expected['row-version']:
                return self._respond(412, [r for r in current if r])
        self.version += 1
        for put in body.get('puts', []):
            value = base64.b64decode(put['value'])
            self._apply(put['table'], put.get('part', ''), put['key'], value)
        for name in body.get('remove', []):
            self._apply(name['table'], name.get('part', ''), name['key'], None)
        self._wake()
        return self._respond(200, [])


def _encode(row: Row) -> dict[str, Any]:
    fields: dict[str, Any] = {
        'table': row.table,
        'part': row.part,
        'key': row.key,
        'row-version': row.version,
    }
    if row.value is None:
        return {**fields, 'deleted': True}
    return {**fields, 'value': base64.b64encode(row.value).decode()}
