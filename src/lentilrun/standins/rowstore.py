"""A stand-in for the platform's row store, with injectable faults."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import time
from typing import Any
from typing import NamedTuple

import msgspec
from tornado.web import Application
from tornado.web import RequestHandler

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_UNAVAILABLE = 503
_OPERATOR_TABLES = frozenset(('op', 'servers'))
_FORBIDDEN = 403
# A call that waits for changes checks for an outage this often.
_FAULT_CHECK_S = 0.05


class StoredRow(NamedTuple):
    """A row, or its removal if ``value`` is None."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


class RowStoreFaults:
    """Faults that tests may set while the store runs.

    ``is_down`` rejects calls, also those that wait for changes, ``hangs``
    never responds to them,
    ``loses_answers`` applies writes and closes their connections.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.hangs = False
        self.loses_answers = False


class RowStoreCopy(NamedTuple):
    """A copy of the rows, with the version up to which it has them."""

    rows: dict[tuple[str, str, str], StoredRow]
    changes: list[StoredRow]
    version: int


class RowStoreState:
    """All rows, and the changes since the last compaction.

    ``era`` rises each time that the store is restored from a copy; versions
    after that of the copy are then given out again.
    """

    def __init__(self) -> None:
        self.version = 0
        self.era = 0
        self.rows: dict[tuple[str, str, str], StoredRow] = {}
        self.changes: list[StoredRow] = []
        self.compacted_version = 0
        self.calls = 0
        self.faults = RowStoreFaults()
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row, or remove it if ``value`` is None."""
        self.version += 1
        self._apply(table, '', key, value)
        self.wake_followers()
        return self.version

    def _apply(
        self, table: str, part: str, key: str, value: bytes | None
    ) -> None:
        row = StoredRow(table, part, key, value, self.version)
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = row
        self.changes.append(row)

    def wake_followers(self) -> None:
        """Wake the handlers that wait for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        """Drop the recorded changes."""
        self.changes.clear()
        self.compacted_version = self.version

    def copy(self) -> RowStoreCopy:
        """Return a copy from which the store can be restored."""
        return RowStoreCopy(dict(self.rows), list(self.changes), self.version)

    def restore(self, copy: RowStoreCopy) -> None:
        """Lose all that was written since a copy was made."""
        self.era += 1
        self.rows = dict(copy.rows)
        self.changes = list(copy.changes)
        self.version = copy.version
        self.wake_followers()

    def has_history(self, after: int) -> bool:
        """Return whether the changes after a version are all there."""
        return self.compacted_version <= after <= self.version

    def get_row_version(self, reference: dict[str, Any]) -> int:
        """Return the version of a row, 0 if it does not exist."""
        row = self.rows.get(
            (reference['table'], reference['part'], reference['key'])
        )
        return row.version if row is not None else 0

    def commit(self, body: dict[str, Any]) -> bool:
        """Apply a transaction if all expected row versions match."""
        for reference in body['expected']:
            if self.get_row_version(reference) != reference['row-version']:
                return False
        self.version += 1
        for put in body['puts']:
            value = base64.b64decode(put['value'])
            self._apply(put['table'], put['part'], put['key'], value)
        for reference in body['remove']:
            self._apply(
                reference['table'], reference['part'], reference['key'], None
            )
        self.wake_followers()
        return True

    def list_changes(self, table: str, after: int) -> list[StoredRow]:
        """Return the last change of each row of a table since a version."""
        last_changes: dict[tuple[str, str], StoredRow] = {}
        for row in self.changes:
            if row.table == table and row.version > after:
                last_changes[row.part, row.key] = row
        return sorted(last_changes.values(), key=lambda r: r.version)


def encode_row(row: StoredRow) -> dict[str, Any]:
    """Return a row as it is sent."""
    fields: dict[str, Any] = {
        'table': row.table,
        'part': row.part,
        'key': row.key,
        'row-version': row.version,
    }
    if row.value is None:
        fields['deleted'] = True
    else:
        fields['value'] = base64.b64encode(row.value).decode()
    return fields


class _Handler(RequestHandler):
    def initialize(self, state: RowStoreState) -> None:
        self.state = state

    async def prepare(self) -> None:
        self.state.calls += 1
        self.set_header('Store-Era', str(self.state.era))
        if self.state.faults.is_down:
            self.reject()
        elif self.state.faults.hangs:
            await asyncio.Event().wait()

    def reject(self) -> None:
        """Respond that the store is down."""
        self.set_status(_UNAVAILABLE)
        self.finish()

    def respond(self, status: int, rows: list[StoredRow]) -> None:
        self.set_status(status)
        self.set_header('Store-Era', str(self.state.era))
        self.set_header('Content-Type', 'application/json')
        body = {
            'rows': [encode_row(r) for r in rows],
            'has-more': False,
            'row-version': self.state.version,
            'now-ms': int(time.monotonic() * 1e3),
        }
        self.finish(msgspec.json.encode(body))


class _GetHandler(_Handler):
    def get(self) -> None:
        table = self.get_argument('table')
        part = self.get_argument('part', '')
        first_key = self.get_argument('from', '')
        rows = [
            r
            for r in self.state.rows.values()
            if r.table == table and r.part == part and r.key >= first_key
        ]
        self.respond(_OK, sorted(rows, key=lambda r: r.key))


class _FeedHandler(_Handler):
    async def get(self) -> None:
        state = self.state
        table = self.get_argument('table')
        after = int(self.get_argument('after'))
        wait_s = int(self.get_argument('wait-ms')) / 1e3
        if not state.has_history(after):
            self.respond(_GONE, [])
            return
        era = state.era
        wait_until = time.monotonic() + wait_s
        while not (rows := state.list_changes(table, after)):
            if state.faults.is_down:
                self.reject()
                return
            if not state.has_history(after) or state.era != era:
                break
            time_left = min(_FAULT_CHECK_S, wait_until - time.monotonic())
            if time_left <= 0.0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(time_left):
                    await state.changed.wait()
        if not state.has_history(after) and not rows:
            self.respond(_GONE, [])
            return
        self.respond(_OK, rows)


class _TransactionHandler(_Handler):
    def post(self) -> None:
        body = msgspec.json.decode(self.request.body)
        references = [*body['puts'], *body['remove']]
        if any(n['table'] in _OPERATOR_TABLES for n in references):
            self.respond(_FORBIDDEN, [])
            return
        is_committed = self.state.commit(body)
        if self.state.faults.loses_answers:
            self.request.connection.stream.close()  # type: ignore
            return
        self.respond(_OK if is_committed else _PRECONDITION_FAILED, [])


def make_application(state: RowStoreState) -> Application:
    """Return the web application of the store."""
    arguments = {'state': state}
    return Application(
        [
            ('/lentilrun/rows-get', _GetHandler, arguments),
            ('/lentilrun/rows-feed', _FeedHandler, arguments),
            ('/lentilrun/rows-tx', _TransactionHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


__all__ = [
    'encode_row',
    'make_application',
    'RowStoreCopy',
    'RowStoreFaults',
    'RowStoreState',
    'StoredRow',
]
