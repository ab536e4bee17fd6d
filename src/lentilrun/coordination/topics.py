"""Topics: values that members agree on by majority and never revert.

A value of a topic has a generation, the version of its row in the
table. A change is announced to a majority of the members, then written
on condition that the row has the preceding generation, then sent to all
members. A member that receives heartbeats from a majority thus learns of
every change that may have been committed.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import Code
from ..errors import ConflictError
from ..errors import LentilrunError
from ..errors import PlatformError

if TYPE_CHECKING:
    from collections.abc import Callable

    from .clock import Clock
    from .table import Row
    from .table import Table

_MAX_COMMIT_TRIES = 5
_READ_BACK_DELAY_S = 0.2
_PENDING_TTL_S = 15.0
_MAX_REMEMBERED_OPERATIONS = 32


class Operation(NamedTuple):
    """The id of a change and the generation that it committed."""

    name: str
    generation: int


class TopicValue(NamedTuple):
    """A topic's value and the operations that led to it, newest first."""

    generation: int
    body: bytes
    operations: tuple[Operation, ...]


class Announce(NamedTuple):
    """Announces a change that may be committed soon."""

    topic: str
    operation: str
    value: TopicValue


class Acknowledge(NamedTuple):
    """Acknowledges an announced change, or gives a reason to refuse it."""

    topic: str
    operation: str
    refusal: str


class Withdraw(NamedTuple):
    """Withdraws an announced change that was certainly not committed."""

    topic: str
    operation: str


class Commit(NamedTuple):
    """Sends a committed value, in response to a fetch."""

    topic: str
    value: TopicValue


class Committed(NamedTuple):
    """Reports that an announced change was committed, without its value."""

    topic: str
    operation: str
    generation: int


class Fetch(NamedTuple):
    """Requests the newest committed and the announced values of a topic."""

    topic: str


class OutcomeUnknownError(LentilrunError):
    """A write to the table had no response, so it may have taken effect.

    The change can be repeated with the same operation id.
    """

    code = Code.PLATFORM_UNAVAILABLE


class _PendingChange(NamedTuple):
    announce: Announce
    added_at: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[bytes, tuple[Operation, ...]])
EMPTY_VALUE = TopicValue(0, b'', ())


def _decode(row: Row) -> TopicValue:
    if not row.version:
        return EMPTY_VALUE
    try:
        body, operations = _decoder.decode(row.value)
    except msgspec.MsgspecError as error:
        raise PlatformError(f'{row.key} holds no value') from error
    return TopicValue(row.version, body, operations)


class Topic:
    """The newest value of one topic, and its uncommitted changes."""

    def __init__(
        self,
        name: str,
        table: Table,
        clock: Clock,
        apply_value: Callable[[TopicValue], None],
    ) -> None:
        """Track topic ``name``; newer values are passed to ``apply_value``."""
        self.name = name
        self._table = table
        self._clock = clock
        self._apply_value = apply_value
        self._pending: dict[str, _PendingChange] = {}
        self.value = EMPTY_VALUE

    async def _read(self) -> TopicValue:
        return _decode(await self._table.read(f'accord/{self.name}'))

    async def refresh(self) -> None:
        """Read the table and adopt a newer value.

        Discards changes that were announced more than ``_PENDING_TTL_S``
        before the read. Raises ``PlatformError`` if the table doesn't
        respond.
        """
        started = self._clock.now()
        key = f'accord/{self.name}'
        row = await self._table.read_newer(key, self.value.generation)
        if row is not None:
            self.adopt(_decode(row))
        for operation, pending in list(self._pending.items()):
            if started - pending.added_at > _PENDING_TTL_S:
                del self._pending[operation]

    def adopt(self, value: TopicValue) -> bool:
        """Adopt a committed value if it is newer; return if it was.

        If ``apply_value`` raises, the previous value stays.
        """
        if value.generation <= self.value.generation:
            return False
        self._apply_value(value)
        self.value = value
        for operation, pending in list(self._pending.items()):
            if pending.announce.value.generation <= value.generation:
                del self._pending[operation]
        return True

    def add_pending(self, announce: Announce) -> None:
        """Record an announced change that may be committed."""
        if announce.value.generation > self.value.generation:
            pending = _PendingChange(announce, self._clock.now())
            self._pending[announce.operation] = pending

    def adopt_announced(self, committed: Committed) -> bool:
        """Adopt an announced change; return whether it is in force."""
        pending = self._pending.get(committed.operation)
        if pending is not None:
            value = pending.announce.value
            if value.generation == committed.generation:
                self.adopt(value)
        return self.value.generation >= committed.generation

    def withdraw(self, operation: str) -> None:
        """Discard a change that was certainly not committed."""
        self._pending.pop(operation, None)

    def list_pending(self) -> list[Announce]:
        """Return the uncommitted changes."""
        return [p.announce for p in self._pending.values()]

    def newest_pending_generation(self) -> int:
        """Return the newest uncommitted generation, or 0."""
        announced = [a.value.generation for a in self.list_pending()]
        return max(announced, default=0)

    async def commit(self, operation: str, value: TopicValue) -> TopicValue:
        """Write a value if the row has the preceding generation.

        Raises ``ConflictError`` if another change was committed first,
        or ``OutcomeUnknownError`` if the table does not respond.
        """
        body = _encoder.encode((value.body, value.operations))
        key = f'accord/{self.name}'
        for _ in range(_MAX_COMMIT_TRIES):
            try:
                await self._table.write(key, body, value.generation - 1)
                return value
            except (ConflictError, PlatformError):
                stored = await self._read_back()
            committed = self.find_operation(stored, operation)
            if committed is not None and stored is not None:
                return stored
            if stored is not None and stored.generation >= value.generation:
                raise ConflictError(
                    f'generation {stored.generation} was first'
                )
        raise OutcomeUnknownError('the table does not say; repeat it')

    async def _read_back(self) -> TopicValue | None:
        try:
            return await self._read()
        except PlatformError:
            await asyncio.sleep(_READ_BACK_DELAY_S)
            return None

    @staticmethod
    def find_operation(
        value: TopicValue | None, operation: str
    ) -> Operation | None:
        """Return the operation of that name in a value's history, if any."""
        if value is None:
            return None
        matching = [o for o in value.operations if o.name == operation]
        return matching[0] if matching else None

    def propose(self, operation: str, body: bytes) -> Announce:
        """Return the announcement of the next generation with ``body``."""
        generation = self.value.generation + 1
        latest = Operation(operation, generation)
        operations = (latest, *self.value.operations)[
            :_MAX_REMEMBERED_OPERATIONS
        ]
        value = TopicValue(generation, body, operations)
        return Announce(self.name, operation, value)


__all__ = [
    'Acknowledge',
    'Announce',
    'Commit',
    'Committed',
    'EMPTY_VALUE',
    'Fetch',
    'Operation',
    'OutcomeUnknownError',
    'Topic',
    'TopicValue',
    'Withdraw',
]
