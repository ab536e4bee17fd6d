"""A request under which targets crash is not handed to all of them."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from deployments import plan_fault
from lentilrun.config.ini import Address
from lentilrun.coordination.clock import ManualClock
from lentilrun.decisions.facts import Target
from lentilrun.gateway.crashes import CrashTracker
from lentilrun.gateway.messages import CrashReport
from lentilrun.gateway.recent import Origin
import pytest

_PRINT = b'fingerpr'
_TARGET = Target('a1', 7, 'app', Address('10.0.0.1', 1), 'a', 6, False, {})
_OTHERS = [_TARGET._replace(incarnation=f'a{n}') for n in range(2, 4)]
_NEWS = [CrashReport(_PRINT.hex(), f'a{n}/7') for n in range(1, 4)]


@pytest.mark.parametrize(
    ('own', 'others', 'expected'),
    [
        ([], [], False),
        ([_TARGET, _OTHERS[0]], [], False),
        ([_TARGET, *_OTHERS], [], True),
        # Seen by other VMs, and told by several.
        ([_TARGET], _NEWS[1:], True),
        ([_TARGET], [*_NEWS[:2], *_NEWS[:2]], False),
        # One target that hangs under what many callers ask is no sign.
        ([_TARGET] * 5, [], False),
        # The same target counts again once it has started anew.
        (
            [_TARGET, *(_TARGET._replace(started_at_ms=n) for n in (8, 9))],
            [],
            True,
        ),
    ],
)
def test_counts_targets_over_all_vms(
    own: list[Target], others: list[CrashReport], expected: bool
) -> None:
    """Three targets anywhere put a request into quarantine."""
    crashes = CrashTracker(ManualClock())
    for target in own:
        crashes.record_crash(_PRINT, target)
    crashes.receive(others, Origin.LOCAL)
    assert crashes.is_quarantined(_PRINT) is expected


def test_old_crashes_are_forgotten() -> None:
    """A quarantine ends."""
    clock = ManualClock()
    crashes = CrashTracker(clock)
    crashes.receive(_NEWS, Origin.LOCAL)
    assert crashes.is_quarantined(_PRINT)
    clock.advance(61.0)
    assert not crashes.is_quarantined(_PRINT)


def test_an_answer_clears_a_request() -> None:
    """What some target answered does not crash each of them."""
    crashes = CrashTracker(ManualClock())
    crashes.receive(_NEWS[:2], Origin.LOCAL)
    crashes.clear(_PRINT)
    crashes.record_crash(_PRINT, _OTHERS[1])
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
