"""Agreed values that reach every member and never revert.

A value of a topic has a generation, the version of its row in the
table. A change is announced to a majority of the members, then written
on condition of the generation before it, then told to all. Whoever hears
a majority hears of every change that may have been committed.
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

_READ_BACK_TRIES = 5
_READ_BACK_DELAY = 0.2
_DOUBT_LIMIT = 15.0
_REMEMBERED_OPERATIONS = 32


class Operation(NamedTuple):
    """The id of a change and the generation that it made."""

    name: str
    generation: int


class TopicValue(NamedTuple):
    """A topic's value with its recent operations, newest first."""

    generation: int
    body: bytes
    operations: tuple[Operation, ...]


class Announce(NamedTuple):
    """Tells of a change that may be committed soon."""

    topic: str
    operation: str
    value: TopicValue


class Acknowledge(NamedTuple):
    """Says that a change was heard of, or why it is refused."""

    topic: str
    operation: str
    refusal: str


class Withdraw(NamedTuple):
    """Says that an announced change was surely not committed."""

    topic: str
    operation: str


class Commit(NamedTuple):
    """Tells of a committed value, newly or on request."""

    topic: str
    value: TopicValue


class Committed(NamedTuple):
    """Tells that an announced change was committed, without its value."""

    topic: str
    operation: str
    generation: int


class Fetch(NamedTuple):
    """Asks for the newest committed and announced value of a topic."""

    topic: str


class OutcomeUnknownError(LentilrunError):
    """The table gave no answer; repeat with the same operation id."""

    code = Code.PLATFORM_UNAVAILABLE


class _Pending(NamedTuple):
    announce: Announce
    since: float


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
    """The newest value of one topic, and changes of it in doubt."""

    def __init__(
        self,
        name: str,
        table: Table,
        clock: Clock,
        adopt: Callable[[TopicValue], None],
    ) -> None:
        """Keep topic ``name``; ``adopt`` is called with newer values."""
        self.name = name
        self._table = table
        self._clock = clock
        self._adopt = adopt
        self._pending: dict[str, _Pending] = {}
        self.value = EMPTY_VALUE

    async def _read(self) -> TopicValue:
        return _decode(await self._table.read(f'accord/{self.name}'))

    async def refresh(self) -> None:
        """Read the table and adopt what is newer there."""
        started = self._clock.now()
        key = f'accord/{self.name}'
        row = await self._table.read_newer(key, self.value.generation)
        if row is not None:
            self.adopt(_decode(row))
        for operation, pending in list(self._pending.items()):
            if started - pending.since > _DOUBT_LIMIT:
                del self._pending[operation]

    def adopt(self, value: TopicValue) -> bool:
        """Take in a committed value if it is newer; return if it was.

        What ``adopt`` raises leaves the value before it in place.
        """
        if value.generation <= self.value.generation:
            return False
        self._adopt(value)
        self.value = value
        for operation, pending in list(self._pending.items()):
            if pending.announce.value.generation <= value.generation:
                del self._pending[operation]
        return True

    def add_pending(self, announce: Announce) -> None:
        """Remember a change that may be committed."""
        if announce.value.generation > self.value.generation:
            pending = _Pending(announce, self._clock.now())
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
        """Forget a change that was surely not committed."""
        self._pending.pop(operation, None)

    def list_pending(self) -> list[Announce]:
        """Return the changes in doubt."""
        return [p.announce for p in self._pending.values()]

    def newest_pending_generation(self) -> int:
        """Return the newest generation in doubt, or 0."""
        announced = [a.value.generation for a in self.list_pending()]
        return max(announced, default=0)

    async def commit(self, operation: str, value: TopicValue) -> TopicValue:
        """Write a value on condition of the generation before it.

        Raises ``ConflictError`` if another change came first, or
        ``OutcomeUnknownError`` if the table does not say.
        """
        body = _encoder.encode((value.body, value.operations))
        key = f'accord/{self.name}'
        for _ in range(_READ_BACK_TRIES):
            try:
                await self._table.write(key, body, value.generation - 1)
                return value
            except (ConflictError, PlatformError):
                found = await self._read_back()
            made = self.find_operation(found, operation)
            if made is not None and found is not None:
                return found
            if found is not None and found.generation >= value.generation:
                raise ConflictError(f'generation {found.generation} was first')
        raise OutcomeUnknownError('the table does not say; repeat it')

    async def _read_back(self) -> TopicValue | None:
        try:
            return await self._read()
        except PlatformError:
            await asyncio.sleep(_READ_BACK_DELAY)
            return None

    @staticmethod
    def find_operation(
        value: TopicValue | None, operation: str
    ) -> Operation | None:
        """Return an operation that a value remembers."""
        if value is None:
            return None
        found = [o for o in value.operations if o.name == operation]
        return found[0] if found else None

    def propose(self, operation: str, body: bytes) -> Announce:
        """Return the announcement of the value after the present one."""
        generation = self.value.generation + 1
        made = Operation(operation, generation)
        kept = (made, *self.value.operations)[:_REMEMBERED_OPERATIONS]
        value = TopicValue(generation, body, kept)
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
