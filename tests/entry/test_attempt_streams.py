"""Attempts whose streams break off, at targets that send prepared bytes."""

from __future__ import annotations

import asyncio
import re
from types import SimpleNamespace
from typing import NamedTuple
from unittest import mock

from earlytargets import EarlyTarget
from earlytargets import Ending
from earlytargets import LONG_UPLOAD_BYTES
from lentilrun.config.ini import Address
from lentilrun.coordination.clock import SystemClock
from lentilrun.entry.attempt import AttemptDependencies
from lentilrun.entry.attemptrunner import AttemptRunner
from lentilrun.entry.call import Call
from lentilrun.entry.call import OPEN_WORKSPACE
from lentilrun.entry.retries import RetryBudget
from lentilrun.entry.suspects import SuspectStatus
from lentilrun.errors import CallError
from lentilrun.errors import Code
from lentilrun.targets.requests import OutgoingRequest
from lentilrun.web.client import Client
import pytest
from tornado.httputil import HTTPHeaders

_LOAD = b'{"incarnation": "i1"}'
_TIMEOUT_S = 8.0
_STREAM = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
_UNFRAMED = _STREAM + b'Connection: close\r\n\r\n'
_ATTEMPT = re.compile(rb'X-Attempt-Id: (\w+)')


def _number(*numbers: int) -> bytes:
    return b''.join(b'id: %d\ndata: piece\n\n' % n for n in numbers)


def _end(number: int) -> bytes:
    return b'id: %d\ndata: [DONE]\n\n' % number


def _frame(
    body: bytes, head: bytes = _STREAM, size: int | None = None
) -> bytes:
    length = len(body) if size is None else size
    return head + b'Content-Length: %d\r\n\r\n' % length + body


def _respond(status: bytes, body: bytes) -> bytes:
    head = b'HTTP/1.1 ' + status + b'\r\nContent-Type: text/plain\r\n'
    return _frame(body, head)


_OTHER = b'X-Attempt-Id: other\r\n'
_WHOLE = _frame(_number(1, 2) + _end(3))
_BROKEN = _frame(_number(1, 2), size=9999)
_REST = _frame(_end(3))


class _Target:
    """Sends the next response to each request, and closes its connection."""

    def __init__(self, responses: list[bytes]) -> None:
        self._responses = list(responses)
        self.requests: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request."""
        head = await reader.readuntil(b'\r\n\r\n')
        if head.startswith(b'GET /load'):
            writer.write(_respond(b'200 OK', _LOAD))
        elif not head.startswith(b'POST /v1/cancel'):
            self.requests.append(head)
            if self._responses:
                writer.write(self._responses.pop(0))
        await writer.drain()
        writer.close()


class _Caller:
    """Receives a stream."""

    def __init__(self) -> None:
        self.heads = 0
        self.data = b''

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Receive the head."""
        self.heads += 1

    async def write(self, data: bytes) -> None:
        """Receive events."""
        self.data += data


def _make_call(now: float, body: bytes = b'{}') -> Call:
    route = SimpleNamespace(urgency=3, idempotent=True, name='r')
    model = SimpleNamespace(name='m')
    outgoing = OutgoingRequest('POST', '/v1/completions', {}, body)
    return Call(
        'call',
        route,  # type: ignore[arg-type]
        model,  # type: ignore[arg-type]
        OPEN_WORKSPACE,
        '',
        outgoing,
        b'prompt',
        10,
        10,
        True,
        0.0,
        now,
        now + _TIMEOUT_S,
        '',
        'fingerprint',
    )


def _make_runner(client: Client, address: Address) -> AttemptRunner:
    state = mock.MagicMock()
    state.clock = SystemClock()
    state.wait_until_fresh = mock.AsyncMock(return_value=True)
    suspects = mock.MagicMock()
    suspects.get_status.return_value = SuspectStatus.CLEAR
    secrets = SimpleNamespace(stream_key=b'key')
    dependencies = AttemptDependencies(
        SimpleNamespace(secrets=secrets),  # type: ignore[arg-type]
        state,
        mock.MagicMock(),
        client,
        mock.MagicMock(),
        suspects,
        mock.MagicMock(),
        mock.MagicMock(),
    )
    assignment = mock.MagicMock()
    assignment.__exit__.return_value = None
    assignment.target_state = SimpleNamespace(
        target=SimpleNamespace(name='t1', address=address),
        incarnation='i1',
        weights_version='1',
        stall_callbacks=set(),
        own_in_flight=1,
    )
    scheduler = SimpleNamespace(
        acquire=mock.AsyncMock(return_value=assignment)
    )
    return AttemptRunner(
        dependencies,
        scheduler,  # type: ignore[arg-type]
        RetryBudget(),
    )


class _Case(NamedTuple):
    """What the target sends, and what the caller gets.

    The stream ends with ``error``, or as complete. ``requests`` reach the
    target.
    """

    responses: list[bytes]
    relayed: bytes
    error: Code | None = None
    requests: int = 2


_CASES = {
    'whole': _Case([_WHOLE], _number(1, 2) + _end(3), None, 1),
    'whole without a length': _Case(
        [_UNFRAMED + _number(1, 2) + _end(3)], _number(1, 2) + _end(3), None, 1
    ),
    'broken off': _Case([_BROKEN, _REST], _number(1, 2) + _end(3)),
    'killed between events, without a length': _Case(
        [_UNFRAMED + _number(1, 2), _REST], _number(1, 2) + _end(3)
    ),
    'killed before the first event, without a length': _Case(
        [_UNFRAMED, _WHOLE], _number(1, 2) + _end(3)
    ),
    'whole by its length, without its end': _Case(
        [_frame(_number(1, 2)), _REST], _number(1, 2) + _end(3)
    ),
    'rest is broken off too': _Case(
        [_BROKEN, _frame(_number(3), size=99), _frame(_end(4))],
        _number(1, 2, 3) + _end(4),
        requests=3,
    ),
    'rest is unknown': _Case(
        [_BROKEN, _respond(b'404 Not Found', b'')],
        _number(1, 2),
        Code.STREAM_BROKEN,
    ),
    'rest is rejected': _Case(
        [_BROKEN, _respond(b'429 Too Many Requests', b'no')],
        _number(1, 2),
        Code.STREAM_BROKEN,
    ),
    'rest is no stream': _Case(
        [_BROKEN, *[_respond(b'200 OK', b'{}')] * 5],
        _number(1, 2),
        Code.STREAM_BROKEN,
        6,
    ),
    'rest has no events': _Case(
        [_BROKEN, *[_frame(b'')] * 5], _number(1, 2), Code.STREAM_BROKEN, 6
    ),
    'rest leaves an event out': _Case(
        [_BROKEN, *[_frame(_number(4) + _end(5))] * 5],
        _number(1, 2),
        Code.STREAM_BROKEN,
        6,
    ),
    'rest comes again from the start': _Case(
        [_BROKEN, _WHOLE], _number(1, 2) + _end(3)
    ),
    'event is missing once': _Case(
        [_frame(_number(1, 2, 4)), _frame(_number(3, 4) + _end(5))],
        _number(1, 2, 3, 4) + _end(5),
    ),
    'response to another attempt': _Case(
        [_frame(b'{}', b'HTTP/1.1 200 OK\r\n' + _OTHER), _WHOLE],
        _number(1, 2) + _end(3),
    ),
    'stream of another attempt': _Case(
        [_frame(_number(1) + _end(2), _STREAM + _OTHER), _WHOLE],
        _number(1, 2) + _end(3),
    ),
    'rest of another attempt': _Case(
        [_BROKEN, *[_frame(_end(3), _STREAM + _OTHER)] * 5],
        _number(1, 2),
        Code.STREAM_BROKEN,
        6,
    ),
    'rest of another process': _Case(
        [
            _frame(_number(1, 2), _STREAM + b'X-Incarnation: i1\r\n', 99),
            *[_frame(_end(3), _STREAM + b'X-Incarnation: i2\r\n')] * 5,
        ],
        _number(1, 2),
        Code.STREAM_BROKEN,
        6,
    ),
    'no numbers': _Case(
        [_frame(b'data: piece\n\n', size=99), _WHOLE],
        b'data: piece\n\n',
        Code.STREAM_BROKEN,
        1,
    ),
}


async def _play(case: _Case) -> tuple[_Caller, _Target, CallError | None]:
    target = _Target(case.responses)
    caller = _Caller()
    error: CallError | None = None
    server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
    address = Address('127.0.0.1', server.sockets[0].getsockname()[1])
    async with server:
        with Client() as client:
            runner = _make_runner(client, address)
            try:
                await runner.run(_make_call(SystemClock().now()), caller)
            except CallError as raised:
                error = raised
            await asyncio.sleep(0)
    return caller, target, error


@pytest.mark.parametrize('name', _CASES)
def test_streams_that_break_off(name: str) -> None:
    """Their rest follows in the same response, or they end in an error."""
    case = _CASES[name]
    caller, target, error = asyncio.run(_play(case))
    assert caller.data == case.relayed
    assert (None if error is None else error.code) is case.error
    assert len(target.requests) == case.requests
    assert caller.heads == 1
    assert len({_ATTEMPT.findall(r)[0] for r in target.requests[1:]}) <= 1


_CUTS = [e for e in Ending if e not in (Ending.OPEN, Ending.FIN_THEN_READ)]
_EARLY = {
    'a body': (b'HTTP/1.1 200 OK\r\n\r\n', b'{"part": 1}'),
    'a stream': (_UNFRAMED, _number(1)),
    'a status of 000': (b'HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n',),
    'a response behind 000': (
        b'HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n' + _WHOLE,
    ),
}


@pytest.mark.parametrize('ending', _CUTS)
@pytest.mark.parametrize('name', _EARLY)
def test_answer_that_is_cut_during_a_long_upload(
    name: str, ending: Ending
) -> None:
    """Callers got what came of it as a whole answer."""

    async def body() -> None:
        caller = _Caller()
        async with EarlyTarget(_EARLY[name], ending) as target:
            with Client() as client:
                runner = _make_runner(client, target.address)
                call = _make_call(
                    SystemClock().now(), b'x' * LONG_UPLOAD_BYTES
                )
                with pytest.raises(CallError):
                    await runner.run(call, caller)
                assert target.requests
        assert _number(1).startswith(caller.data)

    asyncio.run(body())


@pytest.mark.parametrize('is_killed', [False, True])
def test_unframed_answer_of_a_target_that_is_killed(is_killed: bool) -> None:
    """The connections of a killed process end as those of a sound one."""

    async def body() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = await reader.readuntil(b'\r\n\r\n')
            if head.startswith(b'GET /load'):
                writer.write(_respond(b'200 OK', _LOAD))
            else:
                writer.write(b'HTTP/1.1 200 OK\r\n\r\n{"part": 1}')
                if is_killed:
                    server.close()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        async with server:
            with Client() as client:
                runner = _make_runner(client, address)
                call = _make_call(SystemClock().now())
                if is_killed:
                    with pytest.raises(CallError):
                        await runner.run(call, _Caller())
                    return
                result = await runner.run(call, _Caller())
                assert result.response is not None
                assert result.response.body == b'{"part": 1}'

    asyncio.run(body())
