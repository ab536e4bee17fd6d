"""Leases in a table, with fencing numbers that only grow."""

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
    """A lease row: its holder, its fencing number and its renewals."""

    holder: str
    fencing_token: int
    renewals: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaseRecord)
_NOBODY = LeaseRecord('', 0, 0)


def _read(row: Row) -> LeaseRecord:
    if row.version == ABSENT:
        return _NOBODY
    try:
        return _decoder.decode(row.value)
    except msgspec.MsgspecError as error:
        raise PlatformError(f'{row.key} holds no lease') from error


class Lease:
    """One process's try at one lease.

    The holder counts the lease from before its write was sent. Others
    count from when they first saw the newest renewal, so a holder's
    lease has always ended by its own clock before another takes it.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        key: str,
        name: str,
        length: float = LEASE_LENGTH_S,
    ) -> None:
        """Try for lease ``key`` as ``name``; ``length`` in seconds."""
        self._table = table
        self._clock = clock
        self._key = _PREFIX + key
        self._name = name
        self._length = length
        self._seen_version = -1
        self._seen_at = 0.0
        self._until = float('-inf')
        self.fencing_token = 0

    def remaining(self) -> float:
        """Return the seconds for which the lease is surely held."""
        return max(0.0, self._until - self._clock.now())

    def is_held(self) -> bool:
        """Return whether the lease is held at this moment."""
        return self.remaining() > 0.0

    async def renew(self) -> bool:
        """Take or renew the lease; return whether it is held.

        Raises ``PlatformError`` if the table gives no answer; the lease
        then runs out by itself.
        """
        started = self._clock.now()
        row = await self._table.read(self._key)
        holder = _read(row)
        if row.version != self._seen_version:
            self._seen_version = row.version
            self._seen_at = started
        if holder.holder != self._name and not self._has_lapsed(holder):
            self._until = float('-inf')
            return False
        return await self._write(row, holder)

    def _has_lapsed(self, holder: LeaseRecord) -> bool:
        if not holder.holder:
            return True
        # Twice the length covers a renewal whose answer is still to come.
        waited = self._clock.now() - self._seen_at
        return waited > 2.0 * self._length

    async def _write(self, row: Row, holder: LeaseRecord) -> bool:
        ours = holder.holder == self._name and self.is_held()
        fence = holder.fencing_token if ours else holder.fencing_token + 1
        wanted = LeaseRecord(self._name, fence, holder.renewals + 1)
        started = self._clock.now()
        try:
            version = await self._table.write(
                self._key, _encoder.encode(wanted), row.version
            )
        except ConflictError:
            self._until = float('-inf')
            return False
        self._seen_version = version
        self._seen_at = started
        self.fencing_token = fence
        self._until = started + self._length
        return True

    async def release(self) -> None:
        """Give the lease up, so that another need not wait."""
        if not self.is_held():
            return
        self._until = float('-inf')
        row = await self._table.read(self._key)
        holder = _read(row)
        if (
            holder.holder == self._name
            and holder.fencing_token == self.fencing_token
        ):
            empty = LeaseRecord('', holder.fencing_token, holder.renewals + 1)
            await self._table.write(
                self._key, _encoder.encode(empty), row.version
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
