"""Leases in a table, with fencing tokens that only increase."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import ConflictError
from ..errors import PlatformError
from .table import ABSENT

if TYPE_CHECKING:
    from types import TracebackType

    from .clock import Clock
    from .table import Row
    from .table import Table

LEASE_LENGTH_S = 6.0
_PREFIX = 'leases/'


class LeaseRecord(NamedTuple):
    """A lease row: its holder, its fencing token and its renewals."""

    holder: str
    fencing_token: int
    renewals: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaseRecord)
_NO_HOLDER = LeaseRecord('', 0, 0)


def _decode_record(row: Row) -> LeaseRecord:
    if row.version == ABSENT:
        return _NO_HOLDER
    try:
        return _decoder.decode(row.value)
    except msgspec.MsgspecError as error:
        raise PlatformError(f'{row.key} is not a valid lease row') from error


class Lease:
    """A lease that one process acquires, renews and releases.

    The holder's lease runs from just before its write was sent. Other
    processes count from when they first saw the newest renewal, so the
    lease has always expired by the holder's own clock before another
    process acquires it.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        key: str,
        name: str,
        length_s: float = LEASE_LENGTH_S,
    ) -> None:
        """Prepare lease ``key`` for ``name``; renewals last ``length_s``."""
        self._table = table
        self._clock = clock
        self._key = _PREFIX + key
        self._name = name
        self._length_s = length_s
        self._seen_version = -1
        self._version_seen_at = 0.0
        self._expires_at = float('-inf')
        self.fencing_token = 0

    def remaining(self) -> float:
        """Return the seconds until the lease expires, 0 if not held."""
        return max(0.0, self._expires_at - self._clock.now())

    def is_held(self) -> bool:
        """Return whether this process holds the lease now."""
        return self.remaining() > 0.0

    async def renew(self) -> bool:
        """Acquire or renew the lease; return whether it is held.

        Raises ``PlatformError`` if the table doesn't respond; the lease
        then expires unless a later renewal succeeds.
        """
        started = self._clock.now()
        row = await self._table.read(self._key)
        record = _decode_record(row)
        if row.version != self._seen_version:
            self._seen_version = row.version
            self._version_seen_at = started
        if record.holder != self._name and not self._has_expired(record):
            self._expires_at = float('-inf')
            return False
        return await self._write(row, record)

    def _has_expired(self, record: LeaseRecord) -> bool:
        if not record.holder:
            return True
        # Twice the length covers a renewal still waiting for its response.
        waited = self._clock.now() - self._version_seen_at
        return waited > 2.0 * self._length_s

    async def _write(self, row: Row, record: LeaseRecord) -> bool:
        is_ours = record.holder == self._name and self.is_held()
        token = record.fencing_token if is_ours else record.fencing_token + 1
        renewed = LeaseRecord(self._name, token, record.renewals + 1)
        started = self._clock.now()
        try:
            version = await self._table.write(
                self._key, _encoder.encode(renewed), row.version
            )
        except ConflictError:
            self._expires_at = float('-inf')
            return False
        self._seen_version = version
        self._version_seen_at = started
        self.fencing_token = token
        self._expires_at = started + self._length_s
        return True

    async def release(self) -> None:
        """Release the lease, so that others need not wait until it expires.

        Raises ``PlatformError`` if the table doesn't respond, and
        ``ConflictError`` if the row changed in between.
        """
        if not self.is_held():
            return
        self._expires_at = float('-inf')
        row = await self._table.read(self._key)
        record = _decode_record(row)
        if (
            record.holder == self._name
            and record.fencing_token == self.fencing_token
        ):
            free = LeaseRecord('', record.fencing_token, record.renewals + 1)
            await self._table.write(
                self._key, _encoder.encode(free), row.version
            )

    async def __aenter__(self) -> Lease:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        try:
            async with asyncio.timeout(1.0):
                await self.release()
        except (PlatformError, ConflictError, TimeoutError):
            pass


__all__ = ['Lease', 'LEASE_LENGTH_S', 'LeaseRecord']
