"""Engines that go back to older weights."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from deployments import Deployment
from deployments import MODEL
from deployments import wait_until
from lentilrun.coordination.clock import ManualClock
from lentilrun.gateway.targets import Targets
from lentilrun.platform.documents import decode_target
from lentilrun.standins.configuration import make_target_row
import pytest

_ASKS = 20
_PAUSE_S = 0.2
_SETTLED_S = 0.6


@pytest.mark.parametrize('vms', [1, 3])
@pytest.mark.parametrize('newest', [2, 3])
def test_engine_that_went_back_is_upgraded_again(
    newest: int, vms: int
) -> None:
    """An engine that carried out an older order late gets a new one.

    VMs believed the newest version that it ever had, and it refused all
    their requests.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            engine = deployment.add_replica('e1', 'llm')
            nodes = [await deployment.start_node(f'vm{n}') for n in range(vms)]
            deployment.announce_weights(newest)
            await wait_until(lambda: engine.versions[MODEL] == newest)
            deployment.register('e1', 'llm')
            await asyncio.sleep(_SETTLED_S)
            # The first one is a model that nobody has announced.
            engine.versions = {'other': 0, MODEL: 1}
            engine.orders.clear()
            deployment.register('e1', 'llm')
            for _ in range(_ASKS):
                for node in nodes:
                    await deployment.ask(node, '/chat/x', b'{}', '1000,20')
                await asyncio.sleep(_PAUSE_S)
            assert engine.versions[MODEL] == newest

    asyncio.run(body())


class _Step(NamedTuple):
    """Who states a version, some seconds after the step before."""

    delay: float
    source: str
    version: int


_OWN_1 = _Step(1.1, 'report', 1)
_WENT_BACK = [_Step(0.0, 'report', 1), _OWN_1]


@pytest.mark.parametrize(
    ('steps', 'expected'),
    [
        # A single report may be an old one.
        ([_Step(0.0, 'report', 1)], 3),
        ([_Step(0.0, 'report', 1), _Step(0.5, 'report', 1)], 3),
        ([_Step(0.0, 'report', 1), _Step(60.0, 'report', 1)], 3),
        ([_Step(0.0, 'report', 1), _Step(1.1, 'report', 2)], 3),
        ([_Step(0.0, 'report', 1), _Step(0.5, 'report', 3), _OWN_1], 3),
        (_WENT_BACK, 1),
        # Others, and rows, know less than the engine itself.
        ([_Step(0.0, 'row', 1), _Step(2.0, 'row', 1)], 3),
        ([_Step(0.0, 'other', 1), _Step(2.0, 'other', 1)], 3),
        ([_Step(0.0, 'report', 1), _Step(0.5, 'other', 3), _OWN_1], 1),
        ([*_WENT_BACK, _Step(0.1, 'other', 3), _Step(0.1, 'row', 3)], 1),
        ([*_WENT_BACK, _Step(0.1, 'other', 4)], 4),
        ([*_WENT_BACK, _Step(0.1, 'report', 3)], 3),
        ([*_WENT_BACK, _Step(6.0, 'other', 3)], 3),
    ],
)
def test_statements_of_older_weights(
    steps: list[_Step], expected: int
) -> None:
    """Guards against old reports, and against VMs that repeat old ones."""
    clock = ManualClock()
    targets = Targets(clock, 'a')

    def register(version: int) -> None:
        row = make_target_row('llm', '127.0.0.1:9', {MODEL: version}, 'ready')
        targets.register(decode_target('e1', row))

    register(3)
    state = targets.states['e1']
    for delay, source, version in steps:
        clock.advance(delay)
        if source == 'row':
            register(version)
        elif source == 'other':
            state.record_stated_version(MODEL, version, clock.now())
        elif version >= state.weights_versions[MODEL]:
            state.record_weights_version(MODEL, version)
        else:
            state.record_older_version(MODEL, version, clock.now())
    assert state.weights_versions[MODEL] == expected
