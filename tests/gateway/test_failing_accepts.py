"""A VM leaves though the system fails to accept a last connection."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any
from typing import NoReturn

from deployments import Deployment
from deployments import wait_until
import pytest

# The port is closed before the response.
_RESPONSE_DELAY_S = 2.7
_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EPROTO)


class _FailingListener:
    """A listening socket that accepts no connection any more."""

    def __init__(self, listener: socket.socket, error: int) -> None:
        self._listener = listener
        self._error = error

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)

    def accept(self) -> NoReturn:
        """Fail as the system does."""
        raise OSError(self._error, os.strerror(self._error))


@pytest.mark.parametrize('error', _ERRORS, ids=errno.errorcode.get)
def test_open_calls_are_answered(error: int) -> None:
    """The process ended with the error, and its open calls with it."""

    async def body() -> None:
        async with Deployment() as deployment:
            state = deployment.add_replica('a1', 'app')
            state.plan.response_delay_s = _RESPONSE_DELAY_S
            node = await deployment.start_node('vm1')
            await wait_until(lambda: len(node.targets.states) == 1)
            call = asyncio.ensure_future(
                deployment.ask(node, '/plain/x', X_Deadline_Ms='3000')
            )
            await wait_until(lambda: bool(state.runs))
            sockets: dict[int, Any] = node.caller_server._sockets
            for descriptor, listener in sockets.items():
                sockets[descriptor] = _FailingListener(listener, error)
            await node.leave()
            assert not node.caller_port.in_flight
            assert (await call).status == 200

    asyncio.run(body())
