"""Client of the platform's row store."""

from __future__ import annotations

import base64
from typing import Annotated
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from ..errors import Code
from ..errors import ConflictError
from ..errors import LentilrunError
from ..errors import PlatformError
from ..web.client import Request
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError
from ..web.numbers import parse_number
from .rowversions import find_era
from .rowversions import make_version
from .rowversions import MAX_ERA
from .rowversions import MAX_NUMBER
from .rowversions import split_version
from .storeclock import StoreClock
from .storeclock import TimedResponse

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from ..config.ini import Address
    from ..coordination.clock import Clock
    from ..web.client import Client
    from ..web.responses import Response

_REQUEST_TIMEOUT_S = 1.5
# Added to the wait of a feed request, as its response may arrive later.
_FEED_GRACE_S = 0.8
_MAX_PAGE_ROWS = 500
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
# Rises by one each time that the store is restored from an older copy.
_ERA = 'Store-Era'


_Query = dict[str, str | int]


class HistoryLostError(LentilrunError):
    """The store does not have the changes after a row version."""

    code = Code.PLATFORM_UNAVAILABLE


class Row(NamedTuple):
    """A row; ``version`` is that of the transaction that last wrote it.

    Versions are made by ``rowversions``: rows that are read in a later era
    of the store have larger ones, also if they were not written since.
    """

    key: str
    value: bytes
    version: int
    is_deleted: bool = False


class Rows(NamedTuple):
    """Rows as of one time.

    ``store_version`` is the newest row version of the whole store,
    ``store_time`` the reading of its monotonic clock, in seconds.
    """

    rows: tuple[Row, ...]
    store_version: int
    store_time: float


class Write(NamedTuple):
    """A row to write, or to remove if ``value`` is nothing.

    ``expected_version`` is the version that the stored row must have, 0 if
    the row must not exist, and nothing if any version is accepted.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None


class _WireRow(msgspec.Struct, rename='kebab'):
    # Other writers may put values of any type into the fields.
    key: str
    # Base64; empty for a deleted row.
    value: Any = ''
    row_version: Any = 0
    deleted: Any = False


_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# A deeply nested document exceeds the recursion limit.
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


class _WireRows(msgspec.Struct, rename='kebab'):
    # The newest version of the whole store, not that of one of the rows.
    row_version: _Number
    # The reading of the monotonic clock of the store; no wall-clock time.
    now_ms: float
    rows: list[msgspec.Raw] = []
    has_more: bool = False


_rows_decoder = msgspec.json.Decoder(_WireRows)
_row_decoder = msgspec.json.Decoder(_WireRow)


def _decode_row(raw: msgspec.Raw, era: int) -> Row | None:
    """Return a row, or nothing if its key is unreadable.

    A row whose other fields are malformed has an empty value.
    """
    try:
        wire_row = _row_decoder.decode(raw)
    except _DECODE_ERRORS:
        return None
    number = wire_row.row_version
    if type(number) is not int or not 0 <= number <= MAX_NUMBER:
        return Row(wire_row.key, b'', make_version(era, 0))
    version = make_version(era, number)
    if wire_row.deleted is True:
        return Row(wire_row.key, b'', version, True)
    return Row(wire_row.key, _decode_value(wire_row.value), version)


def _decode_value(value: Any) -> bytes:
    """Return the bytes of a row, none if they are malformed."""
    if not isinstance(value, str):
        return b''
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        return b''


def _decode_rows(body: bytes, era: int) -> tuple[Rows, bool]:
    """Return the rows with a key, and whether more rows follow.

    They are of an ``era``. Raises ``PlatformError``, also if the next rows
    can't be asked for.
    """
    try:
        wire_rows = _rows_decoder.decode(body)
    except _DECODE_ERRORS as error:
        raise PlatformError('the store sent a malformed response') from error
    decoded = [_decode_row(r, era) for r in wire_rows.rows]
    rows = tuple(r for r in decoded if r is not None)
    if wire_rows.has_more and not rows:
        raise PlatformError('the store sent rows without a key')
    return (
        Rows(
            rows,
            make_version(era, wire_rows.row_version),
            wire_rows.now_ms / 1e3,
        ),
        wire_rows.has_more,
    )


class RowStore:
    """Reads, follows and writes rows.

    The platform charges for every call; ``call_count`` counts them.
    ``era_known_at`` is when the current era was first known, and
    ``restored_at`` when the era last rose, by the clock, in seconds.
    """

    def __init__(self, client: Client, address: Address, clock: Clock) -> None:
        self._client = client
        self._address = address
        self._clock = clock
        self._store_clock = StoreClock()
        self.call_count = 0
        # The newest era that a response stated, if there was any response,
        # and that another VM reported.
        self._era: int | None = None
        self._reported_era = 0
        self.era_known_at = float('-inf')
        self.restored_at = float('-inf')
        # Called when a response or another VM shows that it was restored.
        self.on_restored: list[Callable[[], None]] = []

    def current_era(self) -> int:
        """Return the newest era of the store's responses, at first 0."""
        return self._era or 0

    def estimate_clock(self) -> float:
        """Return a lower bound of the store's clock, in seconds."""
        return self._store_clock.earliest(self._clock.now())

    def latest_clock(self) -> float:
        """Return an upper bound of the store's clock, in seconds."""
        return self._store_clock.latest(self._clock.now())

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

    def _record_era(self, response: Response) -> int:
        """Return the era of a response; raises ``PlatformError``.

        A response of an earlier era was delayed, and shows what is no
        longer in the store.
        """
        era = parse_number(response.headers.get(_ERA)) or 0
        if era > MAX_ERA:
            raise PlatformError('the store stated a malformed era')
        if era < self.current_era():
            raise PlatformError('a response from before a restoration')
        if era != self._era:
            self._enter_era(era)
        return era

    def _enter_era(self, era: int) -> None:
        is_first = self._era is None
        self._era = era
        if is_first:
            self.era_known_at = self._clock.now()
        elif era > self._reported_era:
            self._record_restoration()

    def record_reported_era(self, era: int) -> None:
        """Record the era that another VM read the store in.

        Responses to this VM are still believed if they state earlier ones.
        """
        if self._era is None or era <= max(self._era, self._reported_era):
            return
        self._reported_era = era
        self._record_restoration()

    def _record_restoration(self) -> None:
        self.restored_at = self.era_known_at = self._clock.now()
        for callback in self.on_restored:
            callback()

    async def read(self, table: str) -> Rows:
        """Return all rows of a table that have an empty ``part``.

        Rows with an unreadable key are left out, other malformed ones have
        an empty value. The pages of a long table are of different times: the
        version is that of the first one, so that no change after it is taken
        for read. Raises ``PlatformError``.
        """
        first_version: int | None = None
        rows: list[Row] = []
        first_key = ''
        while True:
            query: _Query = {
                'table': table,
                'part': '',
                'limit': _MAX_PAGE_ROWS,
            }
            if first_key:
                query['from'] = first_key
            sent_at = self._clock.now()
            page, has_more = await self._read_page(query)
            self._store_clock.record(
                TimedResponse(page.store_time, sent_at, self._clock.now())
            )
            if first_version is None:
                first_version = page.store_version
            if find_era(page.store_version) != find_era(first_version):
                raise PlatformError('the store was restored during a read')
            rows += page.rows
            if not has_more:
                return Rows(tuple(rows), first_version, page.store_time)
            # The smallest key that sorts after the last one.
            first_key = page.rows[-1].key + '\0'

    async def _read_page(self, query: _Query) -> tuple[Rows, bool]:
        path = '/lentilrun/rows-get?' + urlencode(query)
        response = await self._send('GET', path, b'', _REQUEST_TIMEOUT_S)
        if response.status != _OK:
            raise PlatformError(
                f'the store responded with status {response.status}'
            )
        return _decode_rows(response.body, self._record_era(response))

    async def follow(self, table: str, after: int, wait: float) -> Rows:
        """Return the rows changed after a store version, once there are any.

        ``wait`` is the longest time to wait, in seconds; there may be no
        rows then. Raises ``HistoryLostError`` if the store does not have
        all these changes, and ``PlatformError``.
        """
        position = split_version(after)
        if position.era < self.current_era():
            raise HistoryLostError(f'{after} is of an earlier era')
        query = {
            'table': table,
            'after': position.number,
            'wait-ms': int(wait * 1e3),
        }
        path = '/lentilrun/rows-feed?' + urlencode(query)
        timeout = wait + _FEED_GRACE_S
        response = await self._send('GET', path, b'', timeout)
        if response.status == _GONE:
            raise HistoryLostError(
                f'changes after {after} are no longer stored'
            )
        if response.status != _OK:
            raise PlatformError(
                f'the store responded with status {response.status}'
            )
        era = self._record_era(response)
        if era != position.era:
            raise HistoryLostError(f'{after} is of another era than {era}')
        changes, has_more = _decode_rows(response.body, era)
        if has_more:
            return changes._replace(store_version=changes.rows[-1].version)
        return changes

    async def write(self, writes: Sequence[Write]) -> Rows:
        """Write all rows, or none.

        Raises ``ConflictError`` if a row has another version than expected
        or the store was restored since that was read, and ``PlatformError``
        if there is no response; in the two last cases, the rows may have
        been written all the same.
        """
        expected_eras = {
            find_era(w.expected_version) for w in writes if w.expected_version
        }
        if expected_eras - {self.current_era()}:
            raise ConflictError('a row was read in an earlier era')
        sent_in_era = self.current_era()
        body = msgspec.json.encode(
            {
                'expected': [
                    {
                        **_make_row_name(w),
                        'row-version': split_version(
                            w.expected_version
                        ).number,
                    }
                    for w in writes
                    if w.expected_version is not None
                ],
                'puts': [
                    {
                        **_make_row_name(w),
                        'value': base64.b64encode(w.value).decode(),
                    }
                    for w in writes
                    if w.value is not None
                ],
                'remove': [
                    _make_row_name(w) for w in writes if w.value is None
                ],
            }
        )
        path = '/lentilrun/rows-tx'
        response = await self._send('POST', path, body, _REQUEST_TIMEOUT_S)
        if response.status == _PRECONDITION_FAILED:
            raise ConflictError('a row has another version than expected')
        if response.status != _OK:
            raise PlatformError(
                f'the store responded with status {response.status}'
            )
        era = self._record_era(response)
        is_conditional = any(w.expected_version is not None for w in writes)
        if is_conditional and era != sent_in_era:
            # A row that is another one may have the expected number.
            raise ConflictError('the store was restored before a write')
        return _decode_rows(response.body, era)[0]


def _make_row_name(write: Write) -> dict[str, str | int]:
    return {'table': write.table, 'part': '', 'key': write.key}


__all__ = ['HistoryLostError', 'Row', 'Rows', 'RowStore', 'Write']
