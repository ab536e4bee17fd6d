"""The cause of a failed request is found by its id in the logs."""

from __future__ import annotations

import asyncio
import os
import pathlib
from typing import NamedTuple

from deployments import Deployment
from deployments import make_configuration
from deployments import plan_fault
from deployments import wait_until
from lentilrun.session.cmd.queries.explain import find_cause
from lentilrun.session.cmd.queries.explain import find_events
import pytest


class _Case(NamedTuple):
    """A request that fails: how, and the cause that the logs state."""

    path: str
    tokens: str
    fault: str
    rate: int
    status: int
    cause: str


_CASES = {
    'quota': _Case(
        '/talk/x', '400000,900', '', 1, 429, 'over its rate and burst'
    ),
    'connection reset': _Case(
        '/once/x', '', 'reset', 50000, 502, 'it must not run again'
    ),
    'hangs': _Case('/once/x', '', 'hang', 50000, 504, 'the deadline passed'),
    'unknown': _Case('/none/x', '', '', 50000, 404, 'no route has this host'),
}


@pytest.mark.parametrize('name', _CASES)
def test_causes(name: str, tmp_path: pathlib.Path) -> None:
    """The log lines of a request contain the cause of its failure."""
    case = _CASES[name]
    log = tmp_path / 'log'

    async def body() -> None:
        file = os.open(log, os.O_WRONLY | os.O_CREAT)
        async with Deployment(file) as deployment:
            deployment.add_replica('a1', 'app')
            deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            configuration = make_configuration(2)
            configuration['tenants'][0]['rate-per-s'] = case.rate
            configuration['tenants'][0]['burst'] = case.rate
            deployment.configure(configuration)
            await wait_until(lambda: node.view.configuration.version == 2)
            plan_fault(deployment, case.fault, 1)
            response = await deployment.ask(
                node,
                case.path,
                b'x',
                case.tokens,
                X_Request_Id='wanted',
                X_Deadline_Ms='300',
            )
            assert response.status == case.status

    asyncio.run(body())
    lines = log.read_text(encoding='utf-8').splitlines()
    events = find_events(lines, 'wanted')
    assert case.cause in find_cause(events)


def test_router_ends_an_attempt() -> None:
    """An attempt that the router ends is not the target's breaking off."""
    line = '{"event":"attempt","id":"wanted","fate":"timed_out"}'
    cause = find_cause(find_events([line], 'wanted'))
    assert 'the router ended it' in cause
    assert 'broke off' not in cause


def test_full_output_blocks_nothing(tmp_path: pathlib.Path) -> None:
    """If the log is not read, requests continue and lines are counted."""

    async def body() -> None:
        reader, writer = os.pipe()
        async with Deployment(writer) as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            for _ in range(30):
                node.log.write('padding', text='x' * 4000)
            response = await deployment.ask(node, '/plain/x')
            assert response.status == 200
            assert node.log.omitted_lines > 0
        os.close(reader)

    asyncio.run(body())
