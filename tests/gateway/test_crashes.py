"""A request under which targets crash is not handed to all of them."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from deployments import plan_fault
from lentilrun.coordination.clock import ManualClock
from lentilrun.gateway.crashes import Crashes
from lentilrun.gateway.messages import CrashNews
import pytest

_PRINT = b'fingerpr'


@pytest.mark.parametrize(
    ('own', 'others', 'expected'),
    [(0, [], False), (2, [], False), (3, [], True), (1, [1, 1], True)],
)
def test_counts_over_all_vms(
    own: int, others: list[int], expected: bool
) -> None:
    """Three crashes anywhere put a request into quarantine."""
    crashes = Crashes(ManualClock())
    for _ in range(own):
        crashes.note(_PRINT)
    for number, count in enumerate(others):
        news = [CrashNews(_PRINT.hex(), count)]
        crashes.take(f'vm{number}', news)
        crashes.take(f'vm{number}', news)
    assert crashes.is_quarantined(_PRINT) is expected


def test_old_crashes_are_forgotten() -> None:
    """A quarantine ends."""
    clock = ManualClock()
    crashes = Crashes(clock)
    for _ in range(3):
        crashes.note(_PRINT)
    clock.advance(61.0)
    crashes.export()
    assert not crashes.is_quarantined(_PRINT)


def test_repeated_crash_request() -> None:
    """Its caller sends it again and again; it runs three times at most."""

    async def body() -> None:
        async with Deployment() as deployment:
            for name in ('a1', 'a2', 'a3', 'a4'):
                deployment.add_replica(name, 'app')
            node = await deployment.start_node('vm1')
            plan_fault(deployment, 'reset', -1)
            statuses = []
            for _ in range(6):
                found = await deployment.ask(node, '/once/x', b'poison')
                statuses.append(found.status)
            states = deployment.replicas.values()
            assert sum(len(s.runs) for s in states) == 3
            assert statuses == [502] * 3 + [503] * 3

    asyncio.run(body())
