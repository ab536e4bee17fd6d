"""Long streams do not keep an engine from loading new weights."""

from __future__ import annotations

import asyncio
import re

from deployments import Deployment
from deployments import make_configuration
from deployments import MODEL
from deployments import wait_until
import pytest

_EVENT_COUNT = 27
_EVENT_INTERVAL_S = 0.1
_TIMEOUT_MS = 9000


def _read_event_ids(body: bytes) -> list[int]:
    return [int(n) for n in re.findall(rb'^id: (\d+)', body, re.MULTILINE)]


async def _start_engines(deployment: Deployment) -> None:
    for name in ('e1', 'e2'):
        plan = deployment.add_replica(name, 'llm').plan
        plan.event_count = _EVENT_COUNT
        plan.event_interval_s = _EVENT_INTERVAL_S


def _lengthen_timeouts(deployment: Deployment) -> None:
    """Let streams last longer than the engines need for all events."""
    configuration = make_configuration(2)
    for route in configuration['routes']:
        route['timeout-ms'] = _TIMEOUT_MS
    deployment.configure(configuration)


def _count_runs(deployment: Deployment) -> int:
    return sum(len(r.runs) for r in deployment.replicas.values())


@pytest.mark.parametrize(
    ('path', 'expected_runs', 'loads_early'),
    [('/talk/x', 2, True), ('/chat/x', 1, False)],
)
def test_resumable_stream_continues_on_new_weights(
    path: str, expected_runs: int, loads_early: bool
) -> None:
    """A stream that may be resumed moves; any other one is waited for."""

    async def body() -> None:
        async with Deployment() as deployment:
            _lengthen_timeouts(deployment)
            await _start_engines(deployment)
            node = await deployment.start_node('vm1')
            call = asyncio.ensure_future(
                deployment.ask(
                    node, path, b'{}', '1000,900', X_Deadline_Ms='9000'
                )
            )
            await wait_until(lambda: _count_runs(deployment) == 1)
            deployment.announce_weights(2)
            replicas = deployment.replicas.values()

            def are_loaded() -> bool:
                return all(r.versions[MODEL] == 2 for r in replicas)

            await asyncio.sleep(2.1)
            assert are_loaded() is loads_early
            response = await call
            assert response.is_whole
            assert _read_event_ids(response.body) == [
                *range(1, _EVENT_COUNT + 1)
            ]
            assert _count_runs(deployment) == expected_runs
            await wait_until(are_loaded)

    asyncio.run(body())


def test_unreachable_engine_does_not_delay_the_others() -> None:
    """An engine that went dark takes no place of those that can load."""

    async def body() -> None:
        async with Deployment() as deployment:
            for name in ('e1', 'e2', 'e9'):
                deployment.add_replica(name, 'llm')
            node = await deployment.start_node('vm1')
            await deployment.stop_replica('e9')
            deployment.announce_weights(2)
            alive = [deployment.replicas[n] for n in ('e1', 'e2')]
            await wait_until(
                lambda: all(r.versions[MODEL] == 2 for r in alive), 2.0
            )
            assert node.targets.states['e9'].connect_failures

    asyncio.run(body())


def test_cordon_ends_with_its_report() -> None:
    """A VM that knew of the load before the last report does not wait."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('e1', 'llm')
            first = await deployment.start_node('vm1')
            second = await deployment.start_node('vm2')
            await wait_until(lambda: second.peers.list_responsive() == ['vm1'])
            await wait_until(lambda: first.peers.list_responsive() == ['vm2'])
            loading = first.targets.states['e1']
            state = second.targets.states['e1']
            loading.is_loading_by_this_vm = True
            # The row of the engine arrives before the last report.
            state.record_weights_version(MODEL, 2)
            loading.record_weights_version(MODEL, 2)
            loading.cordon(first.clock.now(), 5.0)
            await wait_until(lambda: state.is_cordoned(second.clock.now()))
            loading.end_cordon()
            await wait_until(
                lambda: not state.is_cordoned(second.clock.now()), 1.0
            )

    asyncio.run(body())


def test_silent_engine_frees_its_place() -> None:
    """Requests that hang at a dark engine do not delay other engines."""

    async def body() -> None:
        async with Deployment() as deployment:
            for name in ('e1', 'e2', 'e9'):
                deployment.add_replica(name, 'llm')
            node = await deployment.start_node('vm1')
            await deployment.stop_replica('e9')
            node.targets.states['e9'].in_flight = 1
            deployment.announce_weights(2)
            alive = [deployment.replicas[n] for n in ('e1', 'e2')]
            await wait_until(
                lambda: all(r.versions[MODEL] == 2 for r in alive), 2.0
            )

    asyncio.run(body())


def test_unexpected_weights_are_read() -> None:
    """A VM that did not learn of a load asks the engine, once."""

    async def body() -> None:
        async with Deployment() as deployment:
            engine = deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            deployment.store.faults.is_down = True
            engine.versions[MODEL] = 2
            for _ in range(3):
                response = await deployment.ask(
                    node, '/chat/x', b'{}', '1000,200'
                )
                assert response.status == 200
            versions = [
                r.headers.get('X-Expected-Version') for r in engine.runs
            ]
            assert versions == ['2', '2', '2']

    asyncio.run(body())
