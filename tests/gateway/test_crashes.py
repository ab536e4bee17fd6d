"""A request that crashes targets is not sent to all of them."""

from __future__ import annotations

import asyncio
import os

from deployments import Deployment
from deployments import plan_fault
from deployments import wait_until
from lentilrun.config.ini import Address
from lentilrun.coordination.clock import Clock
from lentilrun.coordination.clock import ManualClock
from lentilrun.decisions.facts import Target
from lentilrun.decisions.quarantine import Crash
from lentilrun.decisions.quarantine import CrashHistory
from lentilrun.decisions.quarantine import Suspect
from lentilrun.decisions.quarantine import SuspectKind
from lentilrun.gateway.crashes import CrashTracker
from lentilrun.gateway.logs import Log
from lentilrun.gateway.recent import Origin
import pytest

_REQUEST = Suspect(SuspectKind.REQUEST, 'fingerprint')
_NO_LOG = os.open(os.devnull, os.O_WRONLY)
_TARGET = Target('a1', 7, 'app', Address('10.0.0.1', 1), 'a', 6, False, {})
_OTHERS = [_TARGET._replace(incarnation=f'a{n}') for n in range(2, 4)]
_REPORTS = [Crash(_REQUEST, f'a{n}/7') for n in range(1, 4)]


def _make_tracker(clock: Clock) -> CrashTracker:
    return CrashTracker(clock, Log(clock, 'vm1', _NO_LOG))


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
    own: list[Target], others: list[Crash], expected: bool
) -> None:
    """Three targets anywhere put a request into quarantine."""
    crashes = _make_tracker(ManualClock())
    for target in own:
        crashes.record_crash([_REQUEST], target, 0.0)
    crashes.receive(others, Origin.LOCAL)
    assert crashes.is_quarantined([_REQUEST]) is expected


def test_old_crashes_are_discarded() -> None:
    """A quarantine ends after a time."""
    clock = ManualClock()
    crashes = _make_tracker(clock)
    crashes.receive(_REPORTS, Origin.LOCAL)
    assert crashes.is_quarantined([_REQUEST])
    clock.advance(301.0)
    assert not crashes.is_quarantined([_REQUEST])


def test_repeated_reports_do_not_renew() -> None:
    """Guards against a quarantine that lasts as long as VMs restart."""
    clock = ManualClock()
    crashes = _make_tracker(clock)
    for _ in range(3):
        crashes.receive(_REPORTS, Origin.LOCAL)
        assert crashes.is_quarantined([_REQUEST])
        clock.advance(99.0)
    clock.advance(4.0)
    assert not crashes.is_quarantined([_REQUEST])


def test_saved_crash_is_as_old_as_it_is() -> None:
    """Guards against a report that makes a saved crash seem newer."""
    clock = ManualClock()
    crashes = _make_tracker(clock)
    clock.advance(290.0)
    crashes.receive(_REPORTS, Origin.LOCAL)
    starts = tuple(r.target_start for r in _REPORTS)
    crashes.restore(_REQUEST, CrashHistory(starts, clock.now() - 290.0))
    assert crashes.is_quarantined([_REQUEST])
    clock.advance(11.0)
    assert not crashes.is_quarantined([_REQUEST])


def test_response_clears_a_request() -> None:
    """A request that got a response from any target is cleared."""
    crashes = _make_tracker(ManualClock())
    crashes.receive(_REPORTS[:2], Origin.LOCAL)
    crashes.record_response([_REQUEST], _TARGET, 0.0)
    crashes.record_crash([_REQUEST], _OTHERS[1], 0.0)
    assert not crashes.is_quarantined([_REQUEST])


_POISON = 'dead'
# Crashes after which requests with a segment must not be sent any more, and
# the sends that are tolerated after them.
_MAX_POISON_RUNS = 5 + 3


_SEGMENT = Suspect(SuspectKind.SEGMENT, 'shared')


def _exchange(*trackers: CrashTracker) -> None:
    """Let VMs receive each other's reports."""
    for receiver in trackers:
        for sender in trackers:
            if sender is not receiver:
                reports = sender.recent.export(Origin.OWN)
                cleared = sender.recent_cleared.export(Origin.OWN)
                receiver.receive(reports, Origin.LOCAL)
                receiver.receive_cleared(cleared, Origin.LOCAL)


@pytest.mark.parametrize('others', [1, 3])
@pytest.mark.parametrize('is_cleared_before', [False, True])
def test_started_vm_is_not_alone(others: int, is_cleared_before: bool) -> None:
    """Guards against a VM that alone refuses what the others serve.

    It has started since targets broke off as they began to answer, and
    answered later; its own connections to them are reset as well.
    """
    clock = ManualClock()
    serving = [_make_tracker(clock) for _ in range(others)]
    targets = [_TARGET, *_OTHERS]
    for target in targets if is_cleared_before else []:
        serving[0].record_crash([_SEGMENT], target, clock.now())
        _exchange(*serving)
        clock.advance(0.1)
        serving[0].record_response([_SEGMENT], target, clock.now())
        _exchange(*serving)
    clock.advance(5.0)
    started = _make_tracker(clock)
    for target in targets:
        started.record_crash([_SEGMENT], target, clock.now())
    assert started.is_quarantined([_SEGMENT])
    for _ in range(3):
        _exchange(started, *serving)
        clock.advance(0.2)
        serving[-1].record_response([_SEGMENT], _TARGET, clock.now())
    assert not started.is_quarantined([_SEGMENT])


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


def _convict(deployment: Deployment, vm: str, name: str) -> None:
    """Let a VM know of crashes under a segment."""
    suspect = Suspect(SuspectKind.SEGMENT, name)
    crashes = deployment.nodes[vm].crashes
    crashes.receive([Crash(suspect, f'x{n}/1') for n in range(3)], Origin.OWN)


@pytest.mark.parametrize('fault', ['reset', 'closed'])
def test_ways_in_which_a_crash_ends_a_stream(fault: str) -> None:
    """Also a stream without a length that just ends is a crash."""

    async def body() -> None:
        async with Deployment() as deployment:
            for number in range(4):
                deployment.add_replica(f'e{number}', 'llm')
            await deployment.start_node('vm1')
            plan_fault(deployment, fault, -1)
            for number in range(10):
                await _ask_with(
                    deployment, 'vm1', f'aa:400,{_POISON}:200', number
                )
                for state in deployment.replicas.values():
                    state.has_crashed = bool(state.runs)
                await deployment.replace_crashed('llm')
                await asyncio.sleep(0.1)
            assert _count_poison_runs(deployment) == 3

    asyncio.run(body())


def test_started_vm_learns_of_crashes() -> None:
    """A VM that starts refuses what the others refuse already."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('e1', 'llm')
            await deployment.start_node('vm1')
            _convict(deployment, 'vm1', _POISON)
            # Longer than reports go into messages.
            await asyncio.sleep(1.5)
            await deployment.start_node('vm2')
            crashes = deployment.nodes['vm2'].crashes
            poison = Suspect(SuspectKind.SEGMENT, _POISON)
            await wait_until(lambda: crashes.is_quarantined([poison]), 3.0)
            status = await _ask_with(
                deployment, 'vm2', f'aa:400,{_POISON}:200', 1
            )
            assert status == 503
            assert _count_poison_runs(deployment) == 0

    asyncio.run(body())


def test_engines_that_respond_have_not_crashed() -> None:
    """Lost answers of engines that live end no segment's use."""

    async def body() -> None:
        async with Deployment() as deployment:
            for name in ('e1', 'e2', 'e3'):
                deployment.add_replica(name, 'llm')
            node = await deployment.start_node('vm1')
            await wait_until(lambda: len(node.targets.states) == 3)
            suspect = Suspect(SuspectKind.SEGMENT, 'aa')
            for state in node.targets.states.values():
                node.crashes.record_crash([suspect], state.target, 0.0)
            assert node.crashes.is_quarantined([suspect])
            for number in range(9):
                await _ask_with(deployment, 'vm1', f'b{number}:100', number)
            assert await _ask_with(deployment, 'vm1', 'aa:100', 9) == 200

    asyncio.run(body())


def test_waiting_call_is_refused() -> None:
    """A call that waits for an engine is not sent after the conviction."""

    async def body() -> None:
        async with Deployment() as deployment:
            node = await deployment.start_node('vm1')
            call = asyncio.ensure_future(
                _ask_with(deployment, 'vm1', f'aa:400,{_POISON}:200', 1)
            )
            await wait_until(lambda: node.caller_port.in_flight)
            _convict(deployment, 'vm1', _POISON)
            async with asyncio.timeout(0.5):
                assert await call == 503

    asyncio.run(body())


def test_streams_under_way_are_victims() -> None:
    """What breaks off well after its first event crashed nothing."""

    async def body() -> None:
        async with Deployment() as deployment:
            for number in range(5):
                state = deployment.add_replica(f'e{number}', 'llm')
                state.plan.event_count = 100
                state.plan.event_interval_s = 0.02
            node = await deployment.start_node('vm1')
            for number in range(5):
                call = asyncio.ensure_future(
                    _ask_with(deployment, 'vm1', 'aa:400,bb:200', number)
                )
                await wait_until(
                    lambda: any(
                        r.in_flight for r in deployment.replicas.values()
                    )
                )
                await asyncio.sleep(0.3)
                for state in deployment.replicas.values():
                    if state.in_flight:
                        state.crash()
                assert await call == 0
                await deployment.replace_crashed('llm')
                await asyncio.sleep(0.1)
            segments = [Suspect(SuspectKind.SEGMENT, n) for n in ('aa', 'bb')]
            assert not node.crashes.is_quarantined(segments)

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
