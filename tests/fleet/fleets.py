"""A fleet of members in one process, on modelled time."""

from __future__ import annotations

import asyncio
import secrets
from typing import NamedTuple

from lentilrun.coordination.table import MemoryTable
from lentilrun.errors import LentilrunError
from lentilrun.fleet.state import CONFIGURATION_TOPIC
from lentilrun.fleet.state import pack_text
from lentilrun.standins.members import make_settings
from lentilrun.standins.members import SimulatedMember
from lentilrun.standins.network import SimulatedNetwork
from lentilrun.standins.timeloop import TimeLoop


class Taken(NamedTuple):
    """An amount that was taken, and when."""

    at: float
    amount: float


class Fleet:
    """Members, their network and their table."""

    def __init__(self, loop: TimeLoop, count: int, seed: int = 1) -> None:
        self.loop = loop
        self.network = SimulatedNetwork(seed)
        self.shared = MemoryTable()
        self.names = [f'vm{i}' for i in range(1, count + 1)]
        self.members: dict[str, SimulatedMember] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a member."""
        settings = make_settings(name, self.names)
        self.members[name] = SimulatedMember(
            self.loop, self.network, self.shared, settings
        )

    def restart(self, name: str) -> None:
        """Kill a member and start it anew, with nothing kept."""
        self.members[name].kill()
        self.start(name)

    def set_table(self, down: bool, names: list[str] | None = None) -> None:
        """Put the table out of, or into, the reach of members."""
        for name in names or self.names:
            self.members[name].table.is_down = down

    async def settle(self, seconds: float = 5.0) -> None:
        """Let time pass."""
        await asyncio.sleep(seconds)

    async def apply(
        self, text: str, name: str = 'vm1', operation: str = ''
    ) -> int:
        """Change the configuration at a member; return the generation."""
        member = self.members[name]
        topic = member.state.topics[CONFIGURATION_TOPIC]
        operation = operation or secrets.token_hex(4)
        announce = topic.propose(operation, pack_text(text))
        value = await member.run(
            member.agreement.change(topic, operation, announce)
        )
        return value.generation

    async def try_apply(self, text: str, name: str = 'vm1') -> str:
        """Change the configuration; return the error's code, or nothing."""
        try:
            await self.apply(text, name)
        except LentilrunError as error:
            return error.code
        return ''

    def generations(self) -> list[int]:
        """Return the generation in force at each member."""
        return [
            self.members[n].state.configuration_generation()
            for n in self.names
        ]

    def fresh(self) -> dict[str, bool]:
        """Return which members may act."""
        return {n: self.members[n].state.is_fresh() for n in self.names}


def declare(rate: float = 1000.0, burst: float = 2000.0, *more: str) -> str:
    """Return an operators' file with one workspace."""
    head = f'[workspace solo]\nrate = {rate}\nburst = {burst}\n'
    return '\n'.join([head, *more])


def find_excess(taken: list[Taken], rate: float, burst: float) -> float:
    """Return the most by which any window exceeds rate x time + burst."""
    # The most is found by a bucket that is filled as slowly as allowed.
    level = burst
    last = taken[0].at if taken else 0.0
    worst = 0.0
    for one in sorted(taken):
        level = min(burst, level + (one.at - last) * rate)
        last = one.at
        level -= one.amount
        worst = max(worst, -level)
    return worst
