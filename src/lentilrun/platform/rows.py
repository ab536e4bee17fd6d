"""Client of the platform's store of rows."""

from __future__ import annotations

import base64
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from ..errors import Code
from ..errors import ConflictError
from ..errors import LentilrunError
from ..errors import PlatformError
from ..web.client import InterruptedExchangeError
from ..web.client import NotSentError
from ..web.client import Request

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..config.ini import Address
    from ..coordination.clock import Clock
    from ..web.client import Client
    from ..web.client import Response

_CALL_TIMEOUT_S = 1.5
# How much later than asked an answer to a waiting call may come.
_FOLLOW_GRACE_S = 0.8
_PAGE_ROWS = 500
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412


_Query = dict[str, str | int]


class HistoryLostError(LentilrunError):
    """The changes since a version are no longer kept."""

    code = Code.PLATFORM_UNAVAILABLE


class Row(NamedTuple):
    """A row; ``version`` is that of the transaction that wrote it."""

    key: str
    value: bytes
    version: int
    is_deleted: bool = False


class Rows(NamedTuple):
    """Rows as of one moment.

    ``store_version`` is the newest of the whole store, ``store_time`` its
    steady clock in seconds.
    """

    rows: tuple[Row, ...]
    store_version: int
    store_time: float


class Write(NamedTuple):
    """A row to write; ``value`` is nothing for one to remove.

    ``expected_version`` is the version that it must have, 0 if it must not
    exist, and nothing if any will do.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None


class _WireRow(msgspec.Struct, rename='kebab'):
    key: str
    value: str = ''
    row_version: int = 0
    deleted: bool = False


class _WireRows(msgspec.Struct, rename='kebab'):
    row_version: int
    now_ms: float
    rows: list[msgspec.Raw] = []
    has_more: bool = False


_rows_decoder = msgspec.json.Decoder(_WireRows)
_row_decoder = msgspec.json.Decoder(_WireRow)


def _decode_row(raw: msgspec.Raw) -> Row | None:
    """Return a row, or nothing for one that can't be read."""
    try:
        found = _row_decoder.decode(raw)
        value = base64.b64decode(found.value)
    except (msgspec.MsgspecError, ValueError):
        return None
    return Row(found.key, value, found.row_version, found.deleted)


def _decode(body: bytes) -> tuple[Rows, bool]:
    try:
        found = _rows_decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise PlatformError('the store sent an odd answer') from error
    rows = [_decode_row(r) for r in found.rows]
    kept = tuple(r for r in rows if r is not None)
    return Rows(kept, found.row_version, found.now_ms / 1e3), found.has_more


class RowStore:
    """Reads, follows and writes rows; every call is priced."""

    def __init__(self, client: Client, address: Address, clock: Clock) -> None:
        self._client = client
        self._address = address
        self._clock = clock
        self._ahead = 0.0
        self.call_count = 0

    def estimate_clock(self) -> float:
        """Return what the store's clock shows at least, in seconds."""
        return self._clock.now() + self._ahead

    async def _send(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> Response:
        self.call_count += 1
        headers = {'Content-Type': 'application/json'} if body else {}
        request = Request(method, path, headers, body, timeout)
        try:
            return await self._client.fetch(self._address, request)
        except (NotSentError, InterruptedExchangeError) as error:
            raise PlatformError(str(error)) from error

    async def read(self, table: str) -> Rows:
        """Return all rows of a table whose part is empty."""
        rows: list[Row] = []
        start = ''
        while True:
            query: _Query = {'table': table, 'part': '', 'limit': _PAGE_ROWS}
            if start:
                query['from'] = start
            page, has_more = await self._read_page(query)
            self._ahead = page.store_time - self._clock.now()
            rows += page.rows
            if not has_more or not page.rows:
                return Rows(tuple(rows), page.store_version, page.store_time)
            # The smallest key after the last one.
            start = page.rows[-1].key + '\0'

    async def _read_page(self, query: _Query) -> tuple[Rows, bool]:
        path = '/lentilrun/rows-get?' + urlencode(query)
        response = await self._send('GET', path, b'', _CALL_TIMEOUT_S)
        if response.status != _OK:
            raise PlatformError(f'the store said {response.status}')
        return _decode(response.body)

    async def follow(self, table: str, after: int, wait: float) -> Rows:
        """Return the changes after a version, once there are any.

        ``wait`` is the longest time to wait, in seconds. Raises
        ``HistoryLostError``, ``PlatformError``.
        """
        query = {
            'table': table,
            'after': after,
            'wait-ms': int(wait * 1e3),
        }
        path = '/lentilrun/rows-feed?' + urlencode(query)
        timeout = wait + _FOLLOW_GRACE_S
        response = await self._send('GET', path, b'', timeout)
        if response.status == _GONE:
            raise HistoryLostError(f'changes after {after} are gone')
        if response.status != _OK:
            raise PlatformError(f'the store said {response.status}')
        return _decode(response.body)[0]

    async def write(self, writes: Sequence[Write]) -> Rows:
        """Write all rows, or none.

        Raises ``ConflictError`` if a row has another version, and
        ``PlatformError`` if no answer came: it may be written then.
        """
        body = msgspec.json.encode(
            {
                'expected': [
                    {**_name(w), 'row-version': w.expected_version}
                    for w in writes
                    if w.expected_version is not None
                ],
                'puts': [
                    {**_name(w), 'value': base64.b64encode(w.value).decode()}
                    for w in writes
                    if w.value is not None
                ],
                'remove': [_name(w) for w in writes if w.value is None],
            }
        )
        path = '/lentilrun/rows-tx'
        response = await self._send('POST', path, body, _CALL_TIMEOUT_S)
        if response.status == _PRECONDITION_FAILED:
            raise ConflictError('a row has another version')
        if response.status != _OK:
            raise PlatformError(f'the store said {response.status}')
        return _decode(response.body)[0]


def _name(write: Write) -> dict[str, str | int]:
    return {'table': write.table, 'part': '', 'key': write.key}


__all__ = ['HistoryLostError', 'Row', 'Rows', 'RowStore', 'Write']
