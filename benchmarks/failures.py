"""What failures cost: seconds to steady and bytes moved, at growing sizes.

Run ``python -m benchmarks.failures``; seeded, on modelled time.
"""

from __future__ import annotations

import asyncio
import sys
from typing import NamedTuple
from typing import TYPE_CHECKING

from fleets import declare
from fleets import Fleet
from lentilrun.coordination.shares import UNITS_PER_BUCKET
from lentilrun.metrics.registry import Count
from lentilrun.standins import timeloop

if TYPE_CHECKING:
    from collections.abc import Callable

    from lentilrun.standins.timeloop import TimeLoop

_SIZES = (8, 16, 32)
_LIMIT = 60.0
# Failures don't wait for the members' clocks to tick.
_PHASE = 0.137


class Cost(NamedTuple):
    """What a failure cost; bytes are above those of idle members."""

    failure: str
    vms: int
    seconds: float
    extra_bytes: float


def _count_bytes(fleet: Fleet) -> int:
    return sum(
        m.metrics.get(Count.PEER_BYTES, 'sent') for m in fleet.members.values()
    )


def _is_steady(fleet: Fleet, names: list[str]) -> bool:
    members = [fleet.members[n] for n in names]
    held = sum(m.state.shares.count_units().get('solo', 0) for m in members)
    rosters = {m.state.roster.names() for m in members}
    whole = held == UNITS_PER_BUCKET and rosters == {frozenset(names)}
    return whole and all(m.state.is_fresh() for m in members)


def _kill(fleet: Fleet) -> list[str]:
    fleet.members['vm2'].kill()
    return [n for n in fleet.names if n != 'vm2']


def _kill_quarter(fleet: Fleet) -> list[str]:
    dead = fleet.names[1 : 1 + len(fleet.names) // 4]
    for name in dead:
        fleet.members[name].kill()
    return [n for n in fleet.names if n not in dead]


def _restart(fleet: Fleet) -> list[str]:
    fleet.restart('vm2')
    return fleet.names


def _restart_all(fleet: Fleet) -> list[str]:
    for name in fleet.names:
        fleet.restart(name)
    return fleet.names


_FAILURES: dict[str, Callable[[Fleet], list[str]]] = {
    'a VM restarts': _restart,
    'a VM dies': _kill,
    'a quarter dies (rack, data centre)': _kill_quarter,
    'all restart at once': _restart_all,
}


def measure(failure: str, vms: int) -> Cost:
    """Cause a failure and wait until all is steady."""

    async def main(loop: TimeLoop) -> Cost:
        fleet = Fleet(loop, vms)
        await fleet.settle(10.0)
        await fleet.apply(declare())
        await fleet.settle(10.0 + _PHASE)
        before = _count_bytes(fleet)
        await fleet.settle(5.0)
        idle = (_count_bytes(fleet) - before) / 5.0
        names = _FAILURES[failure](fleet)
        await asyncio.sleep(0.05)
        before = _count_bytes(fleet)
        began = loop.time()
        while not _is_steady(fleet, names):
            if loop.time() - began > _LIMIT:
                break
            await asyncio.sleep(0.05)
        seconds = loop.time() - began
        moved = _count_bytes(fleet) - before - idle * seconds
        return Cost(failure, vms, seconds, max(0.0, moved))

    return timeloop.run(main)


def main() -> None:
    """Print a table."""
    for failure in _FAILURES:
        for vms in _SIZES:
            cost = measure(failure, vms)
            late = ' (NOT STEADY)' if cost.seconds >= _LIMIT else ''
            sys.stdout.write(
                f'{failure}, {vms} VMs: steady after {cost.seconds:.1f} s'
                f'{late}, {cost.extra_bytes / 1000:.1f} KB more than idle\n'
            )


if __name__ == '__main__':
    main()
