"""Reported usage equals the targets' ledgers."""

from __future__ import annotations

import asyncio
import pathlib

from harness import FleetProcesses
from harness import is_complete_stream


def test_usage_equals_the_ledgers(tmp_path: pathlib.Path) -> None:
    """Usage totals are exact although table responses are lost."""
    asyncio.run(_run(tmp_path))


async def _run(folder: pathlib.Path) -> None:
    async with FleetProcesses(folder, vms=2, targets=2) as fleet:
        await fleet.apply(fleet.make_declaration())
        await fleet.wait_until_settled()
        for index in range(4):
            await fleet.inject_platform_fault(kind='lost', answers=2)
            sent = [
                fleet.chat(i % 2, f'{"z" * 3000}{i % 5}') for i in range(20)
            ]
            responses = await asyncio.gather(*sent)
            assert all(is_complete_stream(r, 10) for r in responses), index
            await asyncio.sleep(1.0)
        await fleet.inject_platform_fault(kind='lost', answers=0)
        await asyncio.sleep(3.0)
        ledger = [e for n in fleet.targets for e in await fleet.get_ledger(n)]
        report = await fleet.get_report('usage')
        total = report['totals']['solo']
        assert total['requests'] == len(ledger) == 80
        assert total['prompt'] == sum(e[6] for e in ledger)
        assert total['cached'] == sum(e[7] for e in ledger)
        assert total['output'] == sum(e[8] for e in ledger)
