"""Usage is counted once despite lost responses and crashes.

A repeated write after a lost response must not count requests twice, and a
crash must not hide usage that was written.
"""

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
def test_totals_equal_the_recorded_usage(lost: int, vms: int) -> None:
    """Each request counts once, whichever responses are lost."""

    async def main() -> None:
        table = MemoryTable()
        recorders = [
            UsageRecorder(table, f'vm{i}', f'i{i}') for i in range(vms)
        ]
        for round_number in range(5):
            for recorder in recorders:
                recorder.record_served('solo', 10, 5, 2)
                table.lost_responses = lost if round_number % 2 else 0
                for _ in range(lost + 1):
                    try:
                        await recorder.write(float(round_number))
                    except PlatformError:
                        continue
        table.lost_responses = 0
        for recorder in recorders:
            await recorder.write(9.0)
        total = sum_by_workspace(await read_records(table))['solo']
        assert total[:4] == (5 * vms, 50 * vms, 25 * vms, 10 * vms)

    asyncio.run(main())


def test_a_crash_loses_only_unwritten_usage() -> None:
    """A later incarnation keeps the row of an earlier one."""

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
