"""No unexpected error ends a task of a VM or leaves a caller without end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import socket
from typing import Any

import deployments
from deployments import Deployment
from lentilrun.gateway.discovery import Discovery
from lentilrun.gateway.follower import Follower
from lentilrun.gateway.node import Node
from lentilrun.gateway.peers import Peers
from lentilrun.gateway.upgrades import Upgrades
from lentilrun.gateway.usage import UsageCheckpointer
from lentilrun.platform.rows import Row
import pytest

_Check = Callable[[Deployment, Node], Awaitable[None]]


def _run(check: _Check, log: pathlib.Path) -> str:
    """Run a check on a VM with a target; return the VM's log."""

    async def body() -> None:
        descriptor = os.open(log, os.O_WRONLY | os.O_CREAT)
        async with Deployment(descriptor) as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            await check(deployment, node)

    asyncio.run(body())
    return log.read_text(encoding='utf-8')


def test_follower_goes_on(tmp_path: pathlib.Path) -> None:
    """Rows are followed after a row whose handling failed."""

    async def check(deployment: Deployment, node: Node) -> None:
        apply_row = node.view.apply_target_row

        def fail(row: Row) -> None:
            if row.key == 'odd':
                raise ZeroDivisionError
            apply_row(row)

        node.target_rows._delivery._handle_row = fail
        deployment.store.put('servers', 'odd', b'{}')
        await asyncio.sleep(0.1)
        deployment.add_replica('a2', 'app')
        await deployments.wait_until(lambda: 'a2' in node.targets.states)

    assert 'ZeroDivisionError' in _run(check, tmp_path / 'log')


@pytest.mark.parametrize(
    'component', [Peers, Upgrades, Discovery, UsageCheckpointer, Follower]
)
def test_tasks_go_on(
    component: type[Any],
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A task that failed starts again, with a line in the log."""
    starts = []
    run = component.run

    async def fail_once(self: object) -> None:
        starts.append(self)
        if starts.count(self) == 1:
            raise ZeroDivisionError
        await run(self)

    monkeypatch.setattr(component, 'run', fail_once)

    async def check(deployment: Deployment, node: Node) -> None:
        await deployments.wait_until(lambda: len(starts) == 2 * len({*starts}))
        assert (await deployment.ask(node, '/plain/x')).status == 200

    assert 'ZeroDivisionError' in _run(check, tmp_path / 'log')


def test_datagram_that_fails_is_logged(tmp_path: pathlib.Path) -> None:
    """An error in the handling of a datagram ends nothing."""

    async def check(deployment: Deployment, node: Node) -> None:
        def fail(message: object) -> None:
            raise ZeroDivisionError

        node.peers.on_message.insert(0, fail)
        await deployment.start_node('vm2')
        await deployments.wait_until(lambda: 'vm2' in node.peers.by_name)
        await asyncio.sleep(0.5)
        assert (await deployment.ask(node, '/plain/x')).status == 200

    assert 'ZeroDivisionError' in _run(check, tmp_path / 'log')


def test_caller_gets_a_response_to_a_failed_admission(
    tmp_path: pathlib.Path,
) -> None:
    """A caller does not wait for a response that never comes."""

    async def check(deployment: Deployment, node: Node) -> None:
        def fail(incoming: object) -> None:
            raise ZeroDivisionError

        node.admission.admit = fail  # type: ignore[assignment,method-assign]
        async with asyncio.timeout(2.0):
            response = await deployment.ask(node, '/plain/x')
        assert response.status == 500

    assert 'ZeroDivisionError' in _run(check, tmp_path / 'log')


@pytest.mark.parametrize('digits', [18, 19, 4301, 5000])
@pytest.mark.parametrize(
    'name', ['X-Deadline-Ms', 'X-Token-Usage', 'Last-Event-Id']
)
def test_long_numbers(name: str, digits: int, tmp_path: pathlib.Path) -> None:
    """A number of any length gets a response."""

    async def check(deployment: Deployment, node: Node) -> None:
        headers = {name: '9' * digits}
        async with asyncio.timeout(3.0):
            request = deployment.make_request('/plain/x', b'', '', headers)
            response = await deployments.ask(node.settings.entry, request)
        assert response.status in (200, 400, 429)

    assert 'request_error' not in _run(check, tmp_path / 'log')


def test_garbage_datagrams(tmp_path: pathlib.Path) -> None:
    """Datagrams that are no messages end nothing."""

    async def check(deployment: Deployment, node: Node) -> None:
        settings = node.settings
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b'', b'b', b'r', b'x', b'b\xc1', b'r' + b'\x91' * 9):
                sender.sendto(data, (settings.host, settings.peer_port))
        other = await deployment.start_node('vm2')
        await deployments.wait_until(lambda: 'vm2' in node.peers.by_name)
        await deployments.wait_until(lambda: 'vm1' in other.peers.by_name)

    _run(check, tmp_path / 'log')
