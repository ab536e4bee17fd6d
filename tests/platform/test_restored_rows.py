"""Calls of a store that was restored from an older copy meanwhile."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.config.ini import Address
from lentilrun.coordination.clock import ManualClock
from lentilrun.errors import ConflictError
from lentilrun.errors import PlatformError
from lentilrun.platform.rows import HistoryLostError
from lentilrun.platform.rows import RowStore
from lentilrun.platform.rows import Write
from lentilrun.platform.rowversions import find_era
from lentilrun.platform.rowversions import make_version
from lentilrun.platform.rowversions import split_version
from lentilrun.web.client import Client
from lentilrun.web.client import Request
from lentilrun.web.client import Response
import msgspec
import pytest
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_TABLE = 'servers'


class _Answer(NamedTuple):
    """A response of the store: its era, status, version and rest."""

    era: str
    version: int = 50
    status: int = 200
    has_more: bool = False


class _FakeClient(Client):
    """Gives the next answer to each call."""

    def __init__(self, answers: list[_Answer]) -> None:
        super().__init__()
        self._answers = answers
        self.requests: list[Request] = []

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        self.requests.append(request)
        answer = self._answers.pop(0)
        row = {'key': 'k', 'value': '', 'row-version': answer.version}
        body = {
            'rows': [row],
            'has-more': answer.has_more,
            'row-version': answer.version,
            'now-ms': 1.0,
        }
        headers = HTTPHeaders({'Store-Era': answer.era})
        return Response(answer.status, headers, msgspec.json.encode(body))


def _write(expected: int | None) -> list[Write]:
    return [Write(_TABLE, 'k', b'v', expected)]


async def _read(store: RowStore) -> object:
    return await store.read(_TABLE)


async def _follow(store: RowStore) -> object:
    return await store.follow(_TABLE, make_version(1, 50), 0.0)


async def _write_if_unchanged(store: RowStore) -> object:
    return await store.write(_write(make_version(1, 50)))


async def _write_if_new(store: RowStore) -> object:
    return await store.write(_write(0))


async def _write_anyway(store: RowStore) -> object:
    return await store.write(_write(None))


class _Case(NamedTuple):
    """What a call does with an answer, after a read in the first era.

    It ends with ``error``, if any, after ``calls`` calls.
    """

    call: Callable[[RowStore], Awaitable[object]]
    answers: list[_Answer]
    error: type[Exception] | None
    calls: int = 1


@pytest.mark.parametrize(
    'case',
    [
        _Case(_read, [_Answer('1')], None),
        # Restored meanwhile, or delayed from before a restoration.
        _Case(_read, [_Answer('2', 20)], None),
        _Case(_read, [_Answer('0')], PlatformError),
        _Case(_read, [_Answer('')], PlatformError),
        _Case(_read, [_Answer('9' * 30)], PlatformError),
        _Case(_read, [_Answer('9' * 15)], PlatformError),
        _Case(
            _read,
            [_Answer('1', has_more=True), _Answer('2', 20)],
            PlatformError,
            2,
        ),
        _Case(_follow, [_Answer('1')], None),
        _Case(_follow, [_Answer('1', status=410)], HistoryLostError),
        # The store has that version again, with other rows before it.
        _Case(_follow, [_Answer('2', 90)], HistoryLostError),
        _Case(_write_if_unchanged, [_Answer('1')], None),
        # Another row may have the expected version.
        _Case(_write_if_unchanged, [_Answer('2')], ConflictError),
        _Case(_write_if_unchanged, [_Answer('2', status=412)], ConflictError),
        _Case(_write_if_new, [_Answer('2')], ConflictError),
        _Case(_write_anyway, [_Answer('2')], None),
    ],
)
def test_calls_around_a_restoration(case: _Case) -> None:
    """Answers of several eras are never put together."""

    async def main() -> None:
        client = _FakeClient([_Answer('1'), *case.answers])
        store = RowStore(client, Address('127.0.0.1', 1), ManualClock())
        await store.read(_TABLE)
        if case.error is None:
            await case.call(store)
        else:
            with pytest.raises(case.error):
                await case.call(store)
        assert len(client.requests) == 1 + case.calls

    asyncio.run(main())


@pytest.mark.parametrize('call', [_follow, _write_if_unchanged])
def test_versions_of_an_earlier_era_are_not_sent(
    call: Callable[[RowStore], Awaitable[object]],
) -> None:
    """The store would take them for its own."""

    async def main() -> None:
        client = _FakeClient([_Answer('1'), _Answer('2', 20)])
        store = RowStore(client, Address('127.0.0.1', 1), ManualClock())
        await store.read(_TABLE)
        restored = []
        store.on_restored.append(lambda: restored.append(store.current_era()))
        rows = await store.read(_TABLE)
        assert rows.store_version == make_version(2, 20)
        assert restored == [2]
        with pytest.raises((HistoryLostError, ConflictError)):
            await call(store)
        assert len(client.requests) == 2

    asyncio.run(main())


def test_restoration_counts_from_its_first_report() -> None:
    """Another VM may have read the store before this one does."""

    async def main() -> None:
        clock = ManualClock()
        client = _FakeClient([_Answer('1'), _Answer('1'), _Answer('2', 20)])
        store = RowStore(client, Address('127.0.0.1', 1), clock)
        store.record_reported_era(1)
        await store.read(_TABLE)
        assert store.restored_at == float('-inf')
        store.record_reported_era(2)
        reported_at = clock.now()
        clock.advance(5.0)
        # Responses that this VM gets still count, until they state the era.
        await store.read(_TABLE)
        await store.read(_TABLE)
        assert store.restored_at == reported_at

    asyncio.run(main())


@pytest.mark.parametrize(
    ('era', 'number'), [(0, 0), (0, 57), (1, 0), (3, 10**12 - 1)]
)
def test_row_versions(era: int, number: int) -> None:
    """They can be split, and grow with the era."""
    version = make_version(era, number)
    assert split_version(version) == (era, number)
    assert find_era(version) == era
    assert version < make_version(era + 1, 0)
