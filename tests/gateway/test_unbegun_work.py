"""A leaving VM answers what it has accepted and not yet begun to handle."""

from __future__ import annotations

import asyncio
import resource
import socket
import time
from typing import NamedTuple

import deployments
from deployments import CallerResponse
from deployments import Deployment
from lentilrun.gateway.listener import GuardedStream
from lentilrun.gateway.node import Node
from lentilrun.gateway.shutdown import NOTICE_S
import pytest

_ANSWER_TIMEOUT_S = 5.0
_BODY = b'x' * 2000
# Of the target, so that the call is open as the port closes.
_DELAY_S = 1.6
_QUIET_S = 10.0
_ADDRESSES = 2000
_MAX_PICK_S = 0.5
_OK = 200
_UNAVAILABLE = 503


class _Case(NamedTuple):
    """Requests on new connections, made right before the port closes."""

    path: str
    connections: int = 20
    # Of connections that are open before, and have sent nothing.
    silent: int = 0


_CASES = {
    'alone': _Case('/plain/x', 1),
    'some': _Case('/plain/x'),
    'body': _Case('/once/x'),
    'beside-silent': _Case('/plain/x', silent=5),
}


def _send_request(
    deployment: Deployment, node: Node, path: str
) -> socket.socket:
    """Send a request over a new connection without the event loop."""
    body = _BODY if path == '/once/x' else b''
    request = deployment.make_request(path, body, '', {})
    caller = socket.create_connection(node.settings.entry)
    caller.sendall(request)
    return caller


async def _read_all(callers: list[socket.socket]) -> list[CallerResponse]:
    """Return the responses; fails if a connection ended without one."""

    async def read(caller: socket.socket) -> CallerResponse:
        reader, writer = await asyncio.open_connection(sock=caller)
        try:
            return await deployments.read_response(reader)
        finally:
            writer.close()

    async with asyncio.timeout(_ANSWER_TIMEOUT_S):
        results = await asyncio.gather(
            *(read(c) for c in callers), return_exceptions=True
        )
    assert not [r for r in results if isinstance(r, BaseException)]
    return [r for r in results if isinstance(r, CallerResponse)]


def _end_process(node: Node) -> None:
    """Close the connections to callers, as the end of the process does."""
    for stream in list(node.caller_server._table):
        stream.close()


@pytest.mark.parametrize('name', _CASES)
def test_connection_accepted_as_the_port_closes(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A VM doesn't stop before it has looked at the last connections.

    They arrive in the iteration of the event loop that closes the port.
    """

    async def body() -> None:
        case = _CASES[name]
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            await deployments.wait_until(lambda: len(node.targets.states) == 1)
            silent = [
                await asyncio.open_connection(*node.settings.entry)
                for _ in range(case.silent)
            ]
            stop = node.caller_server.stop
            callers: list[socket.socket] = []

            def send_and_stop() -> None:
                callers.extend(
                    _send_request(deployment, node, case.path)
                    for _ in range(case.connections)
                )
                stop()

            monkeypatch.setattr(node.caller_server, 'stop', send_and_stop)
            await node.leave()
            _end_process(node)
            responses = await _read_all(callers)
            assert len(responses) == case.connections
            assert {r.status for r in responses} <= {_OK, _UNAVAILABLE}
            for _, writer in silent:
                writer.close()

    asyncio.run(body())


def test_no_descriptor_for_a_connection_as_the_port_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A VM that can't accept a connection answers its open calls."""

    async def body() -> None:
        async with Deployment() as deployment:
            state = deployment.add_replica('a1', 'app')
            state.plan.response_delay_s = _DELAY_S
            node = await deployment.start_node('vm1')
            await deployments.wait_until(lambda: len(node.targets.states) == 1)
            stop = node.caller_server.stop
            limits = resource.getrlimit(resource.RLIMIT_NOFILE)

            def stop_without_descriptors() -> None:
                with socket.create_connection(node.settings.entry) as late:
                    lowest = late.fileno()
                    resource.setrlimit(
                        resource.RLIMIT_NOFILE, (lowest, limits[1])
                    )
                    try:
                        stop()
                    finally:
                        resource.setrlimit(resource.RLIMIT_NOFILE, limits)

            monkeypatch.setattr(
                node.caller_server, 'stop', stop_without_descriptors
            )
            leaving = asyncio.ensure_future(node.leave())
            await asyncio.sleep(NOTICE_S - _DELAY_S / 2.0)
            call = asyncio.ensure_future(deployment.ask(node, '/plain/x'))
            await leaving
            _end_process(node)
            assert (await call).status == _OK

    asyncio.run(body())


def test_request_that_is_found_as_calls_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request whose task has not begun is answered when calls end."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            await deployments.wait_until(lambda: len(node.targets.states) == 1)
            port = node.caller_port
            mark_received = port.mark_received

            def mark_and_end(connection: object) -> None:
                mark_received(connection)  # type: ignore[arg-type]
                port.is_closed = True
                asyncio.get_running_loop().call_soon(port.end_calls)

            monkeypatch.setattr(port, 'mark_received', mark_and_end)
            caller = _send_request(deployment, node, '/plain/x')
            (response,) = await _read_all([caller])
            assert response.status == _UNAVAILABLE

    asyncio.run(body())


class _UnreadStream(GuardedStream):
    """A connection with bytes that were not read."""

    def __init__(self) -> None:
        pass

    def reading(self) -> bool:
        """Return whether a read is pending: what arrived is not handled."""
        return False


def test_cost_of_looking_for_a_connection_to_close() -> None:
    """The time grows with the connections, not with their square.

    All of them have unread bytes, as after a stall of the event loop.
    """

    async def body() -> None:
        async with Deployment() as deployment:
            node = await deployment.start_node('vm1')
            server = node.caller_server
            table = server._table
            since = node.clock.now() - _QUIET_S
            streams = [_UnreadStream() for _ in range(_ADDRESSES)]
            for number, stream in enumerate(streams):
                table.add(stream, f'caller-{number}', since)
            started_at = time.process_time()
            assert server._pick_closable() is None
            assert time.process_time() - started_at < _MAX_PICK_S
            for stream in streams:
                table.remove(stream)

    asyncio.run(body())
