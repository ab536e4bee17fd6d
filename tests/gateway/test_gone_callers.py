"""Calls whose callers have disconnected are not sent to a target later."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from deployments import Deployment
from deployments import wait_until
from lentilrun.config.ini import Address
from lentilrun.gateway.call import Cancellation
from lentilrun.gateway.node import Node
from lentilrun.metrics.registry import Count
import pytest
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

# No request may be sent this long after its caller has disconnected.
_GONE_S = 0.5
# Until then a call that was admitted can't be sent.
_UNUSABLE_S = 0.8
_CONNECT_S = 0.3
_RESPONSE_S = 0.3
_UNUSED_PORT = 1


def _block_targets(node: Node) -> None:
    """Leave calls no target to be sent to for a time."""
    for state in node.targets.states.values():
        state.blocked_until = node.clock.now() + _UNUSABLE_S


def _delay_connections(node: Node) -> None:
    """Let each connection to a target take some time."""
    connect = node.target_client._connect

    async def connect_late(address: Address, timeout: float) -> IOStream:
        await asyncio.sleep(_CONNECT_S)
        return await connect(address, timeout)

    node.target_client._connect = connect_late  # type: ignore[method-assign]
    node.target_client.close_all_idle()


def _refuse_connections(node: Node) -> None:
    """Let the targets refuse connections for a time."""
    connect = node.target_client._connect
    usable_at = node.clock.now() + _UNUSABLE_S

    async def connect_later(address: Address, timeout: float) -> IOStream:
        if node.clock.now() < usable_at:
            address = Address(address.host, _UNUSED_PORT)
        return await connect(address, timeout)

    node.target_client._connect = connect_later  # type: ignore[method-assign]
    node.target_client.close_all_idle()


_OBSTACLES: dict[str, Callable[[Node], None]] = {
    'no usable target': _block_targets,
    'slow connections': _delay_connections,
    'refused connections': _refuse_connections,
}


async def _start(deployment: Deployment) -> Node:
    for name in ('a1', 'a2'):
        deployment.add_replica(name, 'app')
    node = await deployment.start_node('vm1')
    await wait_until(lambda: len(node.targets.states) == 2)
    return node


async def _send_and_leave(deployment: Deployment, node: Node) -> None:
    """Send an unsafe request; disconnect while it is open."""
    request = deployment.make_request('/once/x', b'x', '', {})
    _, writer = await asyncio.open_connection(*node.settings.entry)
    writer.write(request)
    await wait_until(lambda: len(node.caller_port.in_flight) == 1)
    await asyncio.sleep(_RESPONSE_S / 3)
    writer.close()


def _count_runs(deployment: Deployment) -> int:
    return sum(len(s.runs) for s in deployment.replicas.values())


@pytest.mark.parametrize('name', _OBSTACLES)
def test_unsafe_call_that_was_not_sent(name: str) -> None:
    """It is cancelled; it was sent once there was a target for it."""

    async def body() -> None:
        async with Deployment() as deployment:
            node = await _start(deployment)
            _OBSTACLES[name](node)
            await _send_and_leave(deployment, node)
            await wait_until(lambda: not node.caller_port.in_flight, _GONE_S)
            await asyncio.sleep(_UNUSABLE_S)
            assert not _count_runs(deployment)

    asyncio.run(body())


def test_unsafe_call_that_a_target_refuses_later() -> None:
    """It is not sent to the next one, as it was, after its caller left."""

    async def body() -> None:
        async with Deployment() as deployment:
            node = await _start(deployment)
            for replica in deployment.replicas.values():
                replica.is_busy = True
                replica.plan.queue_s = _RESPONSE_S
            await _send_and_leave(deployment, node)
            await wait_until(
                lambda: node.metrics.get(Count.ATTEMPTS, 'not_run') == 1
            )
            for replica in deployment.replicas.values():
                replica.is_busy = False
            await wait_until(lambda: not node.caller_port.in_flight, _GONE_S)
            await asyncio.sleep(_UNUSABLE_S)
            assert not _count_runs(deployment)

    asyncio.run(body())


def test_unsafe_call_that_may_have_run() -> None:
    """It is completed at its target, and is not sent again."""

    async def body() -> None:
        async with Deployment() as deployment:
            node = await _start(deployment)
            for replica in deployment.replicas.values():
                replica.plan.response_delay_s = _RESPONSE_S
            await _send_and_leave(deployment, node)
            await wait_until(lambda: not node.caller_port.in_flight)
            assert _count_runs(deployment) == 1
            for replica in deployment.replicas.values():
                assert not replica.cancelled
                assert not replica.in_flight

    asyncio.run(body())


def test_cancellation() -> None:
    """It waits while it is forbidden, and then ends the call once."""
    cancelled: list[bool] = []
    cancellation = Cancellation()
    cancellation.cancel = lambda: cancelled.append(True)
    cancellation.forbid()
    cancellation.permit()
    cancellation.forbid()
    cancellation.request()
    assert not cancelled
    with pytest.raises(StreamClosedError):
        cancellation.permit()
    assert not cancelled


def test_cancellation_at_once() -> None:
    """It is not delayed before anything was sent."""
    cancelled: list[bool] = []
    cancellation = Cancellation()
    cancellation.cancel = lambda: cancelled.append(True)
    cancellation.request()
    assert cancelled
