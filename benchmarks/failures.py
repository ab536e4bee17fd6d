"""Costs of failures: recovery time and peer traffic, at growing sizes.

Run ``python -m benchmarks.failures``; seeded, on simulated time.
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

_VM_COUNTS = (8, 16, 32)
_TIMEOUT_S = 60.0
# Keeps failures from being aligned with the members' periodic tasks.
_PHASE_OFFSET_S = 0.137


class FailureCost(NamedTuple):
    """The cost of a failure.

    ``seconds`` pass until the fleet is stable again; ``extra_bytes`` are
    sent in addition to the traffic of idle members.
    """

    failure: str
    vms: int
    seconds: float
    extra_bytes: float


def _count_bytes(fleet: Fleet) -> int:
    return sum(
        m.metrics.get(Count.PEER_BYTES, 'sent') for m in fleet.members.values()
    )


def _is_stable(fleet: Fleet, names: list[str]) -> bool:
    members = [fleet.members[n] for n in names]
    units = sum(m.state.shares.count_units().get('solo', 0) for m in members)
    rosters = {m.state.roster.names() for m in members}
    is_complete = units == UNITS_PER_BUCKET and rosters == {frozenset(names)}
    return is_complete and all(m.state.is_fresh() for m in members)


def _kill_vm(fleet: Fleet) -> list[str]:
    fleet.members['vm2'].kill()
    return [n for n in fleet.names if n != 'vm2']


def _kill_quarter(fleet: Fleet) -> list[str]:
    killed = fleet.names[1 : 1 + len(fleet.names) // 4]
    for name in killed:
        fleet.members[name].kill()
    return [n for n in fleet.names if n not in killed]


def _restart_vm(fleet: Fleet) -> list[str]:
    fleet.restart('vm2')
    return fleet.names


def _restart_all(fleet: Fleet) -> list[str]:
    for name in fleet.names:
        fleet.restart(name)
    return fleet.names


_FAILURES: dict[str, Callable[[Fleet], list[str]]] = {
    'a VM restarts': _restart_vm,
    'a VM dies': _kill_vm,
    'a quarter dies (rack, data centre)': _kill_quarter,
    'all restart at once': _restart_all,
}


def measure(failure: str, vms: int) -> FailureCost:
    """Cause a failure and wait until the fleet is stable again."""

    async def main(loop: TimeLoop) -> FailureCost:
        fleet = Fleet(loop, vms)
        await fleet.settle(10.0)
        await fleet.apply(declare())
        await fleet.settle(10.0 + _PHASE_OFFSET_S)
        bytes_before = _count_bytes(fleet)
        await fleet.settle(5.0)
        idle_bytes_per_s = (_count_bytes(fleet) - bytes_before) / 5.0
        names = _FAILURES[failure](fleet)
        await asyncio.sleep(0.05)
        bytes_before = _count_bytes(fleet)
        started_at = loop.time()
        while not _is_stable(fleet, names):
            if loop.time() - started_at > _TIMEOUT_S:
                break
            await asyncio.sleep(0.05)
        seconds = loop.time() - started_at
        extra_bytes = (
            _count_bytes(fleet) - bytes_before - idle_bytes_per_s * seconds
        )
        return FailureCost(failure, vms, seconds, max(0.0, extra_bytes))

    return timeloop.run(main)


def main() -> None:
    """Print a table."""
    for failure in _FAILURES:
        for vms in _VM_COUNTS:
            cost = measure(failure, vms)
            verdict = ' (NOT STEADY)' if cost.seconds >= _TIMEOUT_S else ''
            sys.stdout.write(
                f'{failure}, {vms} VMs: steady after {cost.seconds:.1f} s'
                f'{verdict}, {cost.extra_bytes / 1000:.1f} KB more than idle\n'
            )


if __name__ == '__main__':
    main()
