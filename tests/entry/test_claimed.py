"""A claim whose write got no answer is freed, so that a repeat may run.

The table fails after the write took effect. The request is not sent, but
its claim would reject every repeat.
"""

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


class _TableDownAfterWrite(MemoryTable):
    """A table that fails after a write takes effect, before it answers."""

    def __init__(self) -> None:
        super().__init__()
        self.is_armed = True

    async def write(self, key: str, value: bytes, version: int) -> int:
        row_version = await super().write(key, value, version)
        if self.is_armed:
            self.down = True
            self._check()
        return row_version


def test_an_unused_claim_is_freed() -> None:
    """The first holder never sent the request; the next gets the claim."""

    async def main(loop: TimeLoop) -> None:
        table = _TableDownAfterWrite()
        claims = Claims(table)
        no_attempts: Any = None
        runner = ClaimedCallRunner(claims, no_attempts)
        try:
            await claims.claim('k', 'd', 'first')
        except PlatformError:
            runner._abandon_later('k', 'first')
        await asyncio.sleep(3.0)
        table.is_armed = False
        table.down = False
        await asyncio.sleep(3.0)
        claim_result = await claims.claim('k', 'd', 'second')
        assert claim_result.is_ours
        assert claim_result.claim.state is ClaimState.HELD

    timeloop.run(main)
