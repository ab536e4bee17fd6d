"""Rows of the VMs' own table are read whatever they contain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
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
from lentilrun.gateway.messages import decode
from lentilrun.gateway.messages import encode
from lentilrun.gateway.messages import Scope
from lentilrun.gateway.node import Node
from lentilrun.platform.node import NodeSettings
from lentilrun.platform.rows import Row
from lentilrun.platform.rows import Rows
import pytest

_ADDRESS = Address('127.0.0.1', 1)
_VM = ['127.0.0.1', 9, 'a', 1.0]
_USAGE = [{'workspace': [5, 3]}, 1.0]
_ODD = st.sampled_from(
    [
        *(None, '', 'x', [], {}, -1, 0, 1 << 63, 10**30, 70_000, 1e308),
        *([[]], {'workspace': []}, {'workspace': [1 << 63]}, [None]),
    ]
)
_PROPERTY = settings(
    deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)


def _run(log: pathlib.Path, check: Callable[[Node], None]) -> str:
    """Run a check on a VM that is not started; return its log."""

    async def body() -> None:
        descriptor = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        node_settings = NodeSettings(
            'vm1', '127.0.0.1', 'a', 1.0, *[_ADDRESS] * 2, 1, _ADDRESS, BOUNDS
        )
        try:
            check(Node(node_settings, descriptor))
        finally:
            os.close(descriptor)

    asyncio.run(body())
    return log.read_text(encoding='utf-8')


def _draw_changed(document: list[Any]) -> st.SearchStrategy[bytes]:
    def change(index: int, value: Any) -> bytes:
        changed = [*document[:index], value, *document[index + 1 :]]
        return json.dumps(changed).encode()

    return st.builds(change, st.integers(0, len(document) - 1), _ODD)


def _send_messages(node: Node) -> None:
    """Make and encode a message as the VM sends it."""
    for _, message in node.gossip.make_messages(Scope.VM, ['vm2']):
        decode(encode(message))


@_PROPERTY
@given(st.binary(max_size=40) | _draw_changed(_VM))
@example(b'["example.com", 9, "a", 1.0]')
@example(b'["127.0.0.1", 70000, "a", 1.0]')
@example(b'[' * 100_000)
def test_any_vm_row(tmp_path: pathlib.Path, value: bytes) -> None:
    """A VM is added only with an address that datagrams can be sent to."""

    def check(node: Node) -> None:
        rows = (
            Row('vm/odd', value, 1),
            Row('vm/sound', json.dumps(_VM).encode(), 2),
        )
        node.discovery._add_peers(Rows(rows, 2, 1.0))
        assert 'sound' in node.peers.by_name
        for peer in node.peers.by_name.values():
            assert peer.address.host == '127.0.0.1'
            assert 0 < peer.address.port < 65536
        node.peers.hubs()

    _run(tmp_path / 'log', check)


@_PROPERTY
@given(st.binary(max_size=40) | _draw_changed(_USAGE))
@example(b'[{"workspace":[]},1.0]')
@example(b'[{"workspace":[9223372036854775808]},1.0]')
def test_any_usage_row(tmp_path: pathlib.Path, value: bytes) -> None:
    """Usage is adopted only if later messages can carry it."""

    def check(node: Node) -> None:
        row = Row('usage', value, 1)
        node.usage_checkpointer.restore(Rows((row,), 1, 2.0))
        _send_messages(node)

    _run(tmp_path / 'log', check)


@pytest.mark.parametrize(
    ('key', 'value'),
    [('vm/odd', b'["example.com",9,"a",1.0]'), ('usage', b'[{"w":[]},1.0]')],
)
def test_unreadable_row_is_logged(
    key: str, value: bytes, tmp_path: pathlib.Path
) -> None:
    """A row that is left out has a line in the log."""

    def check(node: Node) -> None:
        rows = Rows((Row(key, value, 1),), 1, 2.0)
        node.discovery._add_peers(rows)
        node.usage_checkpointer.restore(rows)

    assert 'row_unreadable' in _run(tmp_path / 'log', check)
