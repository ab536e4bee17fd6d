"""A claim that was made too late is freed, so that a repeat may run."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from lentilrun.coordination.claims import Claims
from lentilrun.coordination.claims import ClaimState
from lentilrun.coordination.table import MemoryTable
from lentilrun.entry.claimedcalls import ClaimedCallRunner
from lentilrun.errors import PlatformError
from lentilrun.standins import timeloop

if TYPE_CHECKING:
    from lentilrun.standins.timeloop import TimeLoop


class _DownAfterWrite(MemoryTable):
    """Goes down as a write takes effect, before it is answered."""

    def __init__(self) -> None:
        super().__init__()
        self.is_armed = True

    async def write(self, key: str, value: bytes, version: int) -> int:
        made = await super().write(key, value, version)
        if self.is_armed:
            self.down = True
            self._check()
        return made


def test_a_late_claim_is_freed() -> None:
    """The holder never sent it, so the next try gets the claim."""

    async def main(loop: TimeLoop) -> None:
        table = _DownAfterWrite()
        claims = Claims(table)
        nobody: Any = None
        runs = ClaimedCallRunner(claims, nobody)
        try:
            await claims.claim('k', 'd', 'first')
        except PlatformError:
            runs._abandon_later('k', 'first')
        await asyncio.sleep(3.0)
        table.is_armed = False
        table.down = False
        await asyncio.sleep(3.0)
        claimed = await claims.claim('k', 'd', 'second')
        assert claimed.is_ours
        assert claimed.claim.state is ClaimState.HELD

    timeloop.run(main)
