"""Datagrams of any content end no task and stop no message of a VM."""

from __future__ import annotations

import asyncio
import os
import pathlib
from typing import Any

from deployments import BOUNDS
from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.config.ini import Address
from lentilrun.decisions.quarantine import Crash
from lentilrun.decisions.quarantine import Suspect
from lentilrun.decisions.quarantine import SuspectKind
from lentilrun.gateway.messages import BadMessageError
from lentilrun.gateway.messages import decode
from lentilrun.gateway.messages import encode
from lentilrun.gateway.messages import GossipMessage
from lentilrun.gateway.messages import LoadReport
from lentilrun.gateway.messages import RateLimitReport
from lentilrun.gateway.messages import RelayedRow
from lentilrun.gateway.messages import RelayedRows
from lentilrun.gateway.messages import Scope
from lentilrun.gateway.node import Node
from lentilrun.platform.node import NodeSettings
import msgspec
import pytest

_MESSAGE = GossipMessage(
    'vm2',
    Scope.VM,
    'a',
    1.0,
    '127.0.0.1',
    9,
    7,
    False,
    0,
    False,
    [LoadReport('e1', 1, 0, 100.0, 100.0, 1.0, 1.0, 0.0)],
    [],
    [],
    [Crash(Suspect(SuspectKind.REQUEST, 'ff'), 'e1/1')],
    {'workspace': 5.0},
    {'workspace': [5]},
    {'op': 1},
    [],
    [],
    rate_limits=[RateLimitReport('e1', 1.5, 0.1)],
)
_ROWS = RelayedRows('vm2', 'op', 0, 1, [RelayedRow('config', b'{}', 1, False)])
_ADDRESS = Address('127.0.0.1', 1)

_ODD_VALUES = st.sampled_from(
    (
        *(None, '', [], {}, -1, 0, 1 << 63, (1 << 64) - 1, -1.5, 1e308, 'x'),
        *(float('nan'), float('inf'), b'x', 70_000, [[]], {'a': []}),
    )
)


def _make_node(log_file: int) -> Node:
    node_settings = NodeSettings(
        'vm1', '127.0.0.1', 'a', 1.0, _ADDRESS, _ADDRESS, 1, _ADDRESS, BOUNDS
    )
    return Node(node_settings, log_file)


class _Transport(asyncio.DatagramTransport):
    """Checks the addresses as a socket does."""

    def sendto(self, data: Any, addr: Any = None) -> None:
        host, port = addr
        assert all(part.isdecimal() for part in host.split('.'))
        assert 0 < port < 65536

    def is_closing(self) -> bool:
        return False


def _receive(data: bytes, log: pathlib.Path) -> str:
    """Let a VM receive a datagram and send its own; return its log."""

    async def body() -> None:
        descriptor = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        try:
            node = _make_node(descriptor)
            node.peers._transport = _Transport()
            node.peers._receive_datagram(data)
            node.peers._send_now()
        finally:
            os.close(descriptor)

    asyncio.run(body())
    return log.read_text(encoding='utf-8')


@st.composite
def _draw_changed(draw: st.DrawFn) -> bytes:
    """Draw a message with a field that was replaced."""
    message = draw(st.sampled_from([_MESSAGE, _ROWS]))
    fields: list[Any] = list(
        msgspec.to_builtins(message, builtin_types=(bytes,))
    )
    index = draw(st.integers(0, len(fields) - 1))
    fields[index] = draw(_ODD_VALUES)
    return encode(message)[:1] + msgspec.msgpack.encode(fields)


@st.composite
def _draw_mutated(draw: st.DrawFn) -> bytes:
    """Draw a message with changed bytes."""
    data = bytearray(encode(draw(st.sampled_from([_MESSAGE, _ROWS]))))
    for _ in range(draw(st.integers(1, 4))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.integers(0, len(data)))])


@settings(
    suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None
)
@given(
    st.binary(max_size=60)
    | st.binary(max_size=60).map(lambda data: b'b' + data)
    | _draw_changed()
    | _draw_mutated()
)
@example(encode(msgspec.structs.replace(_ROWS, rows=[])))
@example(encode(msgspec.structs.replace(_MESSAGE, port=70_000)))
@example(encode(msgspec.structs.replace(_MESSAGE, host='example.com')))
@example(encode(msgspec.structs.replace(_MESSAGE, power=float('nan'))))
@example(
    encode(
        msgspec.structs.replace(_MESSAGE, used_per_second={'workspace': []})
    )
)
@example(b'b' + b'\x91' * 50_000)
def test_any_datagram(tmp_path: pathlib.Path, data: bytes) -> None:
    """A datagram is applied, or left out with a line in the log."""
    log = _receive(data, tmp_path / 'log')
    assert 'peer_message_failed' not in log


@pytest.mark.parametrize(
    'change',
    [
        {'port': 0},
        {'port': 70_000},
        {'host': 'example.com'},
        {'host': ''},
        {'power': float('nan')},
        {'power': float('inf')},
        {'power': -1.0},
        {'used_per_second': {'workspace': []}},
        {'used_per_second': {'workspace': [1 << 63]}},
        {'admitted_tokens': {'workspace': float('nan')}},
        {'admitted_tokens': {'workspace': float('inf')}},
        {
            'loads': [
                msgspec.structs.replace(_MESSAGE.loads[0], in_flight=1 << 63)
            ]
        },
        {
            'loads': [
                msgspec.structs.replace(
                    _MESSAGE.loads[0], long_in_flight=1 << 63
                )
            ]
        },
    ],
)
def test_impossible_values(change: dict[str, Any]) -> None:
    """A message with a value that no VM sends is not decoded."""
    assert decode(encode(_MESSAGE)) == _MESSAGE
    with pytest.raises(BadMessageError):
        decode(encode(msgspec.structs.replace(_MESSAGE, **change)))
