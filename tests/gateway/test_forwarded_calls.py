"""Calls that a VM without a path to targets lets another VM pass on."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time

import deployments
from deployments import Deployment
from deployments import make_configuration
from deployments import wait_until
from lentilrun.config.ini import Address
from lentilrun.gateway.node import Node
from lentilrun.metrics.registry import Count
from lentilrun.standins.configuration import KEY
from lentilrun.standins.replica import ExecutedRequest
import pytest
from targetcuts import Cut
from targetcuts import TargetPaths

_TOKENS = '300,20'
# Time until other VMs know what one has admitted.
_GOSSIP_S = 0.6


@contextlib.asynccontextmanager
async def _run(
    cut: Cut | None = Cut.RESET, names: tuple[str, ...] = ('vm1', 'vm2')
) -> AsyncIterator[tuple[Deployment, Node, TargetPaths]]:
    """Run VMs, the first of them cut off from its targets."""
    async with Deployment() as deployment:
        deployment.add_replica('a1', 'app')
        deployment.add_replica('e1', 'llm')
        for name in names:
            await deployment.start_node(name)
        nodes = list(deployment.nodes.values())
        await wait_until(
            lambda: all(
                len(n.peers.list_responsive()) == len(names) - 1 for n in nodes
            )
        )
        async with TargetPaths(nodes[0], deployment) as paths:
            if cut is not None:
                await _cut(nodes[0], paths, cut, deployment)
            yield deployment, nodes[0], paths


async def _cut(
    node: Node, paths: TargetPaths, cut: Cut, deployment: Deployment
) -> None:
    paths.cut(cut)
    await deployment.ask(node, '/plain/x')
    await wait_until(node.reachability.is_cut_off)


def _list_runs(deployment: Deployment) -> list[ExecutedRequest]:
    return [r for s in deployment.replicas.values() for r in s.runs]


def _count_forwards(node: Node) -> float:
    return node.metrics.get(Count.FORWARDS, 'delivered')


def test_request_that_the_target_gets() -> None:
    """Its id, deadline, workspace and bytes are those of a direct call."""

    async def body() -> None:
        async with _run() as (deployment, node, _):
            before = len(_list_runs(deployment))
            response = await deployment.ask(
                node,
                '/once/x?a=b',
                b'some bytes',
                X_Request_Id='the-id',
                X_Deadline_Ms='2000',
                X_Tenant_Id='another',
            )
            assert response.status == 200
            assert response.headers['X-Request-Id'] == 'the-id'
            assert response.headers['X-Response-Signature'] == 'signed'
            (run,) = _list_runs(deployment)[before:]
            assert (run.request_id, run.uri) == ('the-id', '/once/x?a=b')
            assert run.body == b'some bytes'
            assert run.headers['X-Tenant-Id'] == 'workspace'
            assert 1000 < int(run.headers['X-Deadline-Ms']) <= 2000
            names = {n.lower() for n in run.headers}
            assert not names & {'api-key', 'lentilrun-forwarded'}

    asyncio.run(body())


def test_one_charge_and_no_second_hop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only the VM that admitted a call charges it; two cut VMs refuse it."""

    async def body() -> None:
        async with _run() as (deployment, node, _):
            helper = deployment.nodes['vm2']
            charges: list[object] = []
            monkeypatch.setattr(
                helper.quotas, 'charge', lambda *charge: charges.append(charge)
            )
            await deployment.ask(node, '/chat/x', b'{}', _TOKENS)
            assert _count_forwards(node) > 0
            assert not charges
            helper.target_client.close_all_idle()
            async with TargetPaths(helper, deployment) as paths:
                await _cut(helper, paths, Cut.RESET, deployment)
                runs = len(_list_runs(deployment))
                started_at = time.monotonic()
                response = await deployment.ask(node, '/once/x', b'x')
                assert response.status == 503
                assert 'Retry-After' in response.headers
                assert time.monotonic() - started_at < 2.0
                assert len(_list_runs(deployment)) == runs

    asyncio.run(body())


@pytest.mark.parametrize(
    ('key', 'header', 'status'),
    [
        ('unknown', '["vm1",1,0.0,false]', 401),
        (KEY, '["vm1",9,0.0,false]', 503),
        (KEY, '["vm1",1,0.0]', 503),
        (KEY, '["vm1",1,0.0,null]', 503),
        (KEY, '{"node":"vm1"}', 400),
        (KEY, 'nonsense', 400),
        (KEY, None, 400),
    ],
)
def test_vm_that_is_not_believed(
    key: str, header: str | None, status: int
) -> None:
    """A helper checks the key, and needs a configuration as new."""

    async def body() -> None:
        async with _run(None) as (deployment, node, _):
            address = Address(node.settings.host, node.settings.peer_port)
            headers = {'Api-Key': key}
            if header is not None:
                headers['Lentilrun-Forwarded'] = header
            request = deployment.make_request('/once/x', b'x', '', headers)
            response = await deployments.ask(address, request)
            assert response.status == status
            assert 'Lentilrun-Refusal' in response.headers
            assert not _list_runs(deployment)

    asyncio.run(body())


@pytest.mark.parametrize('delay', [0.0, 2.0])
def test_caller_that_leaves(delay: float) -> None:
    """Its call is cancelled at the target, over both VMs."""

    async def body() -> None:
        async with _run() as (deployment, node, _):
            engine = deployment.replicas['e1']
            engine.plan.response_delay_s = delay
            engine.plan.event_interval_s = 0.05
            engine.plan.event_count = 40
            reader, writer = await asyncio.open_connection(
                *node.settings.entry
            )
            writer.write(
                deployment.make_request('/chat/x', b'{}', _TOKENS, {})
            )
            await wait_until(lambda: engine.in_flight == 1)
            if not delay:
                await reader.readuntil(b'id: 1')
            writer.close()
            await wait_until(lambda: engine.cancelled == 1, 0.5)

    asyncio.run(body())


@pytest.mark.parametrize('cut', [Cut.SILENT, Cut.RESET])
def test_stream_that_another_vm_continues(cut: Cut) -> None:
    """A cut in the middle of a resumable stream loses no event."""

    async def body() -> None:
        async with _run(None) as (deployment, node, paths):
            engine = deployment.replicas['e1']
            engine.plan.event_interval_s = 0.3
            engine.plan.event_count = 6
            asking = asyncio.ensure_future(
                deployment.ask(
                    node, '/talk/x', b'{}', _TOKENS, X_Deadline_Ms='6000'
                )
            )
            await wait_until(lambda: bool(engine.runs))
            await asyncio.sleep(0.4)
            paths.cut(cut)
            response = await asking
            assert response.is_whole
            expected = ''.join(engine_event(n) for n in range(1, 7))
            assert response.body.decode() == expected

    asyncio.run(body())


def engine_event(number: int) -> str:
    """Return an event as the stand-in for an engine sends it."""
    return f'id: {number}\ndata: piece {number}\n\n'


@pytest.mark.parametrize('cut', Cut)
def test_vm_whose_targets_return(cut: Cut) -> None:
    """It sends calls to its targets again, and to no other VM."""

    async def body() -> None:
        async with _run(cut) as (deployment, node, paths):
            await deployment.ask(node, '/once/x', b'x')
            assert _count_forwards(node) > 0
            paths.heal()
            await wait_until(lambda: not node.reachability.is_cut_off(), 2.0)
            before = _count_forwards(node)
            for _ in range(5):
                response = await deployment.ask(node, '/once/x', b'x')
                assert response.status == 200
            assert _count_forwards(node) == before

    asyncio.run(body())


def test_helper_that_leaves() -> None:
    """A call goes to another helper, and one that runs is completed."""

    async def body() -> None:
        async with _run(names=('vm1', 'vm2', 'vm3')) as (deployment, node, _):
            app = deployment.replicas['a1']
            app.plan.response_delay_s = 0.8
            before = len(app.runs)
            calls = [
                asyncio.ensure_future(deployment.ask(node, '/once/x', b'x'))
                for _ in range(6)
            ]
            await wait_until(lambda: len(app.runs) == before + 6)
            app.plan.response_delay_s = 0.0
            leaving = asyncio.ensure_future(deployment.nodes['vm2'].leave())
            await asyncio.sleep(0.05)
            calls += [
                asyncio.ensure_future(deployment.ask(node, '/once/x', b'x'))
                for _ in range(6)
            ]
            responses = await asyncio.gather(*calls)
            assert {r.status for r in responses} == {200}
            assert len(app.runs) == before + 12
            await leaving

    asyncio.run(body())


def test_targets_that_no_vm_reaches() -> None:
    """With all targets of a service gone, callers are refused truly."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            await deployment.start_node('vm2')
            await wait_until(lambda: bool(node.peers.list_responsive()))
            await deployment.stop_replica('a1')
            started_at = time.monotonic()
            responses = await asyncio.gather(
                *(deployment.ask(node, '/once/x', b'x') for _ in range(5))
            )
            assert {r.status for r in responses} == {503}
            assert time.monotonic() - started_at < 2.4
            chat = await deployment.ask(node, '/chat/x', b'{}', _TOKENS)
            assert chat.status == 200

    asyncio.run(body())


def test_helper_without_the_new_key() -> None:
    """A key that the helper doesn't know yet leads to a true refusal."""

    async def body() -> None:
        async with _run() as (deployment, node, _):
            helper = deployment.nodes['vm2']
            configuration = make_configuration(5)
            configuration['tenants'][0]['api-keys'] = ['key-2']
            old = helper.view.configuration
            deployment.configure(configuration)
            await asyncio.sleep(_GOSSIP_S)
            assert node.view.configuration != old
            helper.view.configuration = old
            response = await deployment.ask(
                node, '/once/x', b'x', Api_Key='key-2'
            )
            assert response.status == 503

    asyncio.run(body())
