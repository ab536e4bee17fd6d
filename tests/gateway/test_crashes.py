"""A request that crashes targets is not sent to all of them."""

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

_FINGERPRINT = b'fingerpr'
_TARGET = Target('a1', 7, 'app', Address('10.0.0.1', 1), 'a', 6, False, {})
_OTHERS = [_TARGET._replace(incarnation=f'a{n}') for n in range(2, 4)]
_REPORTS = [CrashReport(_FINGERPRINT.hex(), f'a{n}/7') for n in range(1, 4)]


@pytest.mark.parametrize(
    ('own', 'others', 'expected'),
    [
        ([], [], False),
        ([_TARGET, _OTHERS[0]], [], False),
        ([_TARGET, *_OTHERS], [], True),
        # Crashes that other VMs report, some of them repeatedly.
        ([_TARGET], _REPORTS[1:], True),
        ([_TARGET], [*_REPORTS[:2], *_REPORTS[:2]], False),
        # One target that hangs on a frequent request is not enough.
        ([_TARGET] * 5, [], False),
        # The same target counts again after a restart.
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
        crashes.record_crash(_FINGERPRINT, target)
    crashes.receive(others, Origin.LOCAL)
    assert crashes.is_quarantined(_FINGERPRINT) is expected


def test_old_crashes_are_discarded() -> None:
    """A quarantine ends after a time."""
    clock = ManualClock()
    crashes = CrashTracker(clock)
    crashes.receive(_REPORTS, Origin.LOCAL)
    assert crashes.is_quarantined(_FINGERPRINT)
    clock.advance(61.0)
    assert not crashes.is_quarantined(_FINGERPRINT)


def test_response_clears_a_request() -> None:
    """A request that got a response from any target is cleared."""
    crashes = CrashTracker(ManualClock())
    crashes.receive(_REPORTS[:2], Origin.LOCAL)
    crashes.clear(_FINGERPRINT)
    crashes.record_crash(_FINGERPRINT, _OTHERS[1])
    assert not crashes.is_quarantined(_FINGERPRINT)


_POISON = 'dead'
# Crashes after which requests with a segment must not be sent any more, and
# the sends that are tolerated after them.
_MAX_POISON_RUNS = 5 + 3


def _count_poison_runs(deployment: Deployment) -> int:
    return sum(
        _POISON in run.headers['X-Prefix-Hash']
        for state in deployment.replicas.values()
        for run in state.runs
    )


async def _ask_with(
    deployment: Deployment, vm: str, segments: str, number: int
) -> int:
    """Return the status of a request that is like no other."""
    response = await deployment.ask(
        deployment.nodes[vm],
        '/chat/x',
        f'body {number}'.encode(),
        '1000,20',
        X_Prefix_Hash=f'{segments},ee{number:02x}:100',
    )
    return response.status if response.is_whole else 0


def test_segment_that_crashes_engines() -> None:
    """Requests that share only a segment stop reaching engines."""

    async def body() -> None:
        async with Deployment() as deployment:
            for name in ('e1', 'e2', 'e3', 'e4'):
                state = deployment.add_replica(name, 'llm')
                state.plan.crash_segment = _POISON
            for name in ('vm1', 'vm2'):
                await deployment.start_node(name)
            sound = []
            for number in range(14):
                vm = f'vm{number % 2 + 1}'
                await _ask_with(
                    deployment,
                    vm,
                    f'aa:400,bb{number:02x}:200,{_POISON}:200',
                    number,
                )
                await deployment.replace_crashed('llm')
                await asyncio.sleep(0.3)
                sound.append(
                    await _ask_with(
                        deployment, vm, 'aa:400,bb:200', number + 100
                    )
                )
            assert _count_poison_runs(deployment) <= _MAX_POISON_RUNS
            assert sound[-7:] == [200] * 7

    asyncio.run(body())


def test_repeated_crash_request() -> None:
    """A request that its caller repeats runs three times at most."""

    async def body() -> None:
        async with Deployment() as deployment:
            for name in ('a1', 'a2', 'a3', 'a4'):
                deployment.add_replica(name, 'app')
            node = await deployment.start_node('vm1')
            plan_fault(deployment, 'reset', -1)
            statuses = []
            for _ in range(6):
                response = await deployment.ask(node, '/once/x', b'poison')
                statuses.append(response.status)
            states = deployment.replicas.values()
            assert sum(len(s.runs) for s in states) == 3
            assert statuses == [502] * 3 + [503] * 3

    asyncio.run(body())


def test_slow_targets_quarantine_nothing() -> None:
    """Attempts that the router ends at the deadline are no crashes."""

    async def body() -> None:
        async with Deployment() as deployment:
            for name in ('a1', 'a2', 'a3', 'a4'):
                deployment.add_replica(name, 'app')
            node = await deployment.start_node('vm1')
            plan_fault(deployment, 'hang', -1)
            statuses = []
            for _ in range(5):
                response = await deployment.ask(
                    node, '/once/x', b'slow', X_Deadline_Ms='200'
                )
                statuses.append(response.status)
            assert statuses == [504] * 5

    asyncio.run(body())
