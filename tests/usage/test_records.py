"""Lost answers and crashes neither double nor hide what was used."""

from __future__ import annotations

import asyncio

from lentilrun.coordination.table import MemoryTable
from lentilrun.errors import PlatformError
from lentilrun.usage.records import read_records
from lentilrun.usage.records import sum_by_workspace
from lentilrun.usage.records import UsageRecorder
import pytest


@pytest.mark.parametrize('lost', [0, 1, 3])
@pytest.mark.parametrize('vms', [1, 3])
def test_totals_equal_what_was_noted(lost: int, vms: int) -> None:
    """Whatever answers are lost, each request counts once."""

    async def main() -> None:
        table = MemoryTable()
        books = [UsageRecorder(table, f'vm{i}', f'i{i}') for i in range(vms)]
        for round_ in range(5):
            for book in books:
                book.record_served('solo', 10, 5, 2)
                table.lost_responses = lost if round_ % 2 else 0
                for _ in range(lost + 1):
                    try:
                        await book.write(float(round_))
                    except PlatformError:
                        continue
        table.lost_responses = 0
        for book in books:
            await book.write(9.0)
        total = sum_by_workspace(await read_records(table))['solo']
        assert total[:4] == (5 * vms, 50 * vms, 25 * vms, 10 * vms)

    asyncio.run(main())


def test_a_crash_loses_what_was_not_written_only() -> None:
    """A later incarnation has a row of its own."""

    async def main() -> None:
        table = MemoryTable()
        first = UsageRecorder(table, 'vm1', 'a')
        first.record_served('solo', 1, 0, 0)
        await first.write(1.0)
        first.record_served('solo', 1, 0, 0)
        second = UsageRecorder(table, 'vm1', 'b')
        second.record_served('solo', 1, 0, 0)
        await second.write(2.0)
        assert (
            sum_by_workspace(await read_records(table))['solo'].requests == 2
        )

    asyncio.run(main())
