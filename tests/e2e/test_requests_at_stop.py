"""A stopping daemon answers the requests that arrived at its interface."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import signal
import socket
import time
from typing import NamedTuple

from harness import API_KEYS
from harness import FleetProcesses
from harness import VmAddresses
import pytest

_VM = 'vm1'
_OK = 200
_UNPROCESSABLE = 422
_UNAVAILABLE = 503
_TIMEOUT_S = 10.0
_CONNECTIONS = 20
# More than the server accepts in one iteration of its event loop.
_MANY_CONNECTIONS = 300
# From SIGTERM on: the ports close after 1.0 s. A while later, connections may
# be open or closed, but not closed with a request.
_PORT_CLOSES_S = 1.0
_AFTER_CLOSE_S = 1.2
_HELD_BEFORE_S = 0.15
_HELD_AFTER_S = 0.1
_LATE_S = 0.3
# Of all routes, when a caller reads nothing of a response of this size, which
# is more than the system holds for a connection.
_DEADLINE_S = 2.0
_STOP_MARGIN_S = 8.0
_LONG_BYTES = 8_000_000
_SIGNAL_INTERVAL_S = 0.01
_WARM_UP = b'GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n'
_LOOK = b'GET /look/x HTTP/1.1\r\nHost: vm\r\n\r\n'
_STATUS = b'GET /status HTTP/1.1\r\nHost: vm\r\n\r\n'


def _make_post(path: str, body: bytes) -> bytes:
    head = (
        f'POST {path} HTTP/1.1\r\nHost: vm\r\n'
        f'X-Api-Key: {API_KEYS["solo"]}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


_BOOK = _make_post('/book', b'x' * 2000)


class _Case(NamedTuple):
    """How requests are sent while the process is held.

    ``early_share`` of each request is sent before it is held, ``late_share`` a
    while after.
    """

    request: bytes
    is_kept: bool = True
    is_operator: bool = False
    early_share: float = 0.0
    late_share: float = 0.0
    connections: int = _CONNECTIONS


_CASES = {
    'kept': _Case(_LOOK),
    'kept-body': _Case(_BOOK),
    'kept-ready': _Case(_WARM_UP),
    'kept-head-in-parts': _Case(_LOOK, early_share=0.3),
    'kept-body-in-parts': _Case(_BOOK, early_share=0.5),
    'kept-head-late': _Case(_LOOK, early_share=0.3, late_share=0.3),
    'kept-body-late': _Case(_BOOK, early_share=0.5, late_share=0.3),
    'new': _Case(_LOOK, is_kept=False),
    'new-body': _Case(_BOOK, is_kept=False),
    'new-many': _Case(_LOOK, is_kept=False, connections=_MANY_CONNECTIONS),
    'operator': _Case(_STATUS, is_operator=True),
    'operator-check': _Case(
        _make_post('/check', b'x' * 2000),
        is_operator=True,
        early_share=0.9,
    ),
    'operator-late': _Case(
        _make_post('/check', b'x' * 2000),
        is_operator=True,
        early_share=0.9,
        late_share=0.05,
    ),
    'operator-new': _Case(_STATUS, is_kept=False, is_operator=True),
}


class _Caller:
    """A connection to a daemon."""

    def __init__(self, vm: VmAddresses, case: _Case) -> None:
        self._case = case
        self._address = vm.operators if case.is_operator else vm.callers
        self._socket = socket.socket()
        self._socket.settimeout(_TIMEOUT_S)
        self._sent = 0

    def connect(self) -> None:
        """Connect, and use the connection."""
        self._socket.connect(self._address)
        self._socket.sendall(_STATUS if self._case.is_operator else _WARM_UP)
        assert self._socket.recv(65536).startswith(b'HTTP/1.1 ')

    def is_open(self) -> bool:
        """Return whether the connection is open, or can be made."""
        try:
            if not self._case.is_kept and not self._sent:
                self._socket.connect(self._address)
            self._socket.setblocking(False)
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except ConnectionError:
            return False
        finally:
            self._socket.settimeout(_TIMEOUT_S)
        return False

    def send_until(self, share: float) -> None:
        """Send the bytes of the request up to a share."""
        end = int(len(self._case.request) * share)
        self._socket.sendall(self._case.request[self._sent : end])
        self._sent = end

    def try_to_send_rest(self) -> None:
        """Send the rest, unless the connection was reset."""
        with contextlib.suppress(ConnectionError):
            self.send_until(1.0)

    def read_start(self) -> str:
        """Return the response's version and status, or how it failed."""
        try:
            data = self._socket.recv(65536)
        except OSError as error:
            return repr(error)
        finally:
            self._socket.close()
        return data[:12].decode()


async def _ask_held(
    fleet: FleetProcesses, case: _Case, held_until: float
) -> list[str]:
    """Send requests while the process is held; return how they end.

    It is held until shortly after a time. What is sent on a connection that
    it has closed before doesn't count.
    """
    callers = [_Caller(fleet.vms[0], case) for _ in range(case.connections)]
    for caller in callers:
        if case.is_kept:
            await asyncio.to_thread(caller.connect)
    fleet.send_signal(_VM, signal.SIGTERM)
    held_at = time.monotonic() + held_until - _HELD_BEFORE_S
    await asyncio.sleep(held_until - 2 * _HELD_BEFORE_S)
    if case.early_share:
        for caller in callers:
            caller.send_until(case.early_share)
    await asyncio.sleep(held_at - time.monotonic())
    fleet.send_signal(_VM, signal.SIGSTOP)
    callers = [c for c in callers if c.is_open()]
    for caller in callers:
        caller.send_until(1.0 - case.late_share)
    held_seconds = _HELD_BEFORE_S + _HELD_AFTER_S
    await asyncio.sleep(held_at + held_seconds - time.monotonic())
    fleet.send_signal(_VM, signal.SIGCONT)
    if case.late_share:
        await asyncio.sleep(_LATE_S)
        for caller in callers:
            caller.try_to_send_rest()
    return await asyncio.gather(
        *(asyncio.to_thread(c.read_start) for c in callers)
    )


@pytest.mark.parametrize('held_until', [_PORT_CLOSES_S, _AFTER_CLOSE_S])
@pytest.mark.parametrize('name', _CASES)
def test_request_at_a_stopping_daemon(
    tmp_path: pathlib.Path, name: str, held_until: float
) -> None:
    """A request that arrived is answered though the event loop stalled."""

    async def body() -> None:
        case = _CASES[name]
        async with FleetProcesses(tmp_path, vms=1, targets=0) as fleet:
            await fleet.apply(fleet.make_declaration())
            await fleet.wait_until_settled()
            starts = await _ask_held(fleet, case, held_until)
            if held_until == _PORT_CLOSES_S:
                assert len(starts) == case.connections
            unexpected = collections.Counter(starts)
            for status in (_OK, _UNPROCESSABLE, _UNAVAILABLE):
                unexpected.pop(f'HTTP/1.1 {status}', None)
            assert not unexpected
            assert await fleet.wait_for_exit(_VM) == 0

    asyncio.run(body())


def _ask_unread(vm: VmAddresses) -> socket.socket:
    """Ask for a long response that is never read; return its connection."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.settimeout(_TIMEOUT_S)
    caller.connect(vm.callers)
    caller.sendall(_make_post('/look/x', b'x' * _LONG_BYTES))
    return caller


def test_stop_ends_though_a_caller_reads_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """The process ends soon after the longest deadline of its calls."""

    async def body() -> None:
        async with FleetProcesses(tmp_path, vms=1, targets=0) as fleet:
            text = fleet.make_declaration()
            for number in (20, 5):
                new = f'deadline = {_DEADLINE_S}'
                text = text.replace(f'deadline = {number}', new)
            await fleet.apply(text)
            await fleet.wait_until_settled()
            with _ask_unread(fleet.vms[0]):
                await asyncio.sleep(1.0)
                started_at = time.monotonic()
                fleet.send_signal(_VM, signal.SIGTERM)
                assert await fleet.wait_for_exit(_VM) == 0
                seconds = time.monotonic() - started_at
                assert seconds < _DEADLINE_S + _STOP_MARGIN_S

    asyncio.run(body())


def test_call_goes_on_without_its_caller(tmp_path: pathlib.Path) -> None:
    """A call that must not be cancelled ends before the process does."""

    async def body() -> None:
        async with FleetProcesses(tmp_path, vms=1, targets=0) as fleet:
            await fleet.apply(fleet.make_declaration())
            await fleet.wait_until_settled()
            await fleet.inject_fault('stock', 'pause')
            with socket.create_connection(fleet.vms[0].callers) as caller:
                caller.sendall(_BOOK)
                await asyncio.sleep(_LATE_S)
            fleet.send_signal(_VM, signal.SIGTERM)
            await asyncio.sleep(_PORT_CLOSES_S + 1.0)
            assert fleet.processes[_VM].poll() is None
            await fleet.inject_fault('stock', 'resume')
            assert await fleet.wait_for_exit(_VM) == 0
            assert len(await fleet.get_ledger('stock')) == 1

    asyncio.run(body())


def test_sighup_does_not_end_the_process(tmp_path: pathlib.Path) -> None:
    """Calls are answered, and the process stops with its own exit code."""

    async def body() -> None:
        async with FleetProcesses(tmp_path, vms=1, targets=0) as fleet:
            await fleet.apply(fleet.make_declaration())
            await fleet.wait_until_settled()
            fleet.send_signal(_VM, signal.SIGHUP)
            address = fleet.vms[0].callers
            response = await fleet.send(address, 'GET', '/look/x')
            assert response.status == _OK
            fleet.send_signal(_VM, signal.SIGTERM)
            process = fleet.processes[_VM]
            while process.poll() is None:
                fleet.send_signal(_VM, signal.SIGHUP)
                await asyncio.sleep(_SIGNAL_INTERVAL_S)
            assert process.returncode == 0

    asyncio.run(body())
