"""Documents in rows are read whatever other writers put into them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
import os
import pathlib
from typing import Any

from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.coordination.clock import SystemClock
from lentilrun.gateway.logs import Log
from lentilrun.gateway.targets import Targets
from lentilrun.gateway.view import View
from lentilrun.platform.documents import BadDocumentError
from lentilrun.platform.documents import decode_announcement
from lentilrun.platform.documents import decode_configuration
from lentilrun.platform.documents import decode_target
from lentilrun.platform import engines
from lentilrun.platform.rows import Row
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import make_weights_announcement
import msgspec
import pytest

_CONFIGURATION = make_configuration(1)
_TARGET = json.loads(make_target_row('llm', '127.0.0.1:9', {'m': 1}, 'ready'))
_ANNOUNCEMENT = json.loads(make_weights_announcement(2))

_ODD = st.sampled_from(
    [
        *(None, True, '', 'x', [], {}, [[]], {'a': 1}, -1, 0, 1.5, 1e308),
        *(10**30, 1 << 63, -(1 << 63), 'a:1', '127.0.0.1:0', '127.0.0.1:²'),
        *('127.0.0.1:' + '9' * 5000, '\ud800', 'x' * 300, [None], [{}]),
    ]
)


def _list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[Any]:
    items: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    paths = [path] if path else []
    for key, child in items:
        paths += _list_paths(child, (*path, key))
    return paths


def _replace(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    if not path:
        return new
    key, *rest = path
    copied = value.copy()
    if new is _REMOVED and not rest:
        del copied[key]
    else:
        copied[key] = _replace(value[key], tuple(rest), new)
    return copied


_REMOVED = object()


def _draw_changed(document: Any) -> st.SearchStrategy[bytes]:
    """Draw a document with a field that is missing or of another type."""
    paths = st.sampled_from(_list_paths(document))
    return st.builds(
        lambda path, new: json.dumps(_replace(document, path, new)).encode(),
        paths,
        _ODD | st.just(_REMOVED),
    )


def _draw_mutated(document: Any) -> st.SearchStrategy[bytes]:
    data = json.dumps(document).encode()

    def mutate(changes: list[tuple[int, int]], size: int) -> bytes:
        copied = bytearray(data)
        for index, byte in changes:
            copied[index] = byte
        return bytes(copied[:size])

    index = st.integers(0, len(data) - 1)
    changes = st.lists(st.tuples(index, st.integers(0, 255)), max_size=3)
    return st.builds(mutate, changes, st.integers(0, len(data)))


def _draw(document: Any) -> st.SearchStrategy[bytes]:
    return (
        st.binary(max_size=40)
        | _draw_changed(document)
        | _draw_mutated(document)
        | st.sampled_from([b'[' * 100_000, b'{"version":' * 50_000, b'"\xff"'])
    )


def _apply(apply: Callable[[View], None], log: pathlib.Path) -> Targets:
    """Apply rows to a new view, which logs them."""

    async def body() -> Targets:
        descriptor = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        clock = SystemClock()
        targets = Targets(clock, 'a')
        try:
            apply(View(clock, targets, 5.0, Log(clock, 'vm1', descriptor)))
        finally:
            os.close(descriptor)
        return targets

    return asyncio.run(body())


_PROPERTY = settings(
    deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)


@_PROPERTY
@given(_draw(_CONFIGURATION))
def test_any_configuration(tmp_path: pathlib.Path, value: bytes) -> None:
    """A configuration is applied, or left out with a line in the log."""
    row = Row('config', value, 1)
    _apply(lambda view: view.apply_operator_row(row), tmp_path / 'log')


@_PROPERTY
@given(_draw(_ANNOUNCEMENT))
@example(b'{"model":"\\ud800","version":1}')
@example(b'{"model":"m","version":' + b'9' * 30 + b'}')
def test_any_announcement(tmp_path: pathlib.Path, value: bytes) -> None:
    """An announcement is applied, or left out with a line in the log."""
    row = Row('version/m', value, 1)
    _apply(lambda view: view.apply_operator_row(row), tmp_path / 'log')


@_PROPERTY
@given(_draw(_TARGET))
@example(b'{"service":"llm","address":"127.0.0.1:' + b'9' * 5000 + b'"}')
@example(b'{"service":"\\ud800","address":"127.0.0.1:9"}')
@example(
    b'{"service":"llm","address":"127.0.0.1:9","models":'
    b'[{"name":"m","version":' + b'9' * 30 + b'}]}'
)
def test_any_target(tmp_path: pathlib.Path, value: bytes) -> None:
    """A target is used, or left out with a line in the log."""
    row = Row('i-1', value, 1)
    targets = _apply(lambda view: view.apply_target_row(row), tmp_path / 'log')
    for state in targets.states.values():
        assert isinstance(state.target.service, str)
        assert state.target.slots >= 1
        msgspec.msgpack.encode(state.target.weights_versions)


_UNUSABLE = {
    'no service': {'service': None},
    'service of another type': {'service': 7},
    'no address': {'address': None},
    'address of another type': {'address': 7},
    'host name': {'address': 'example.com:80'},
    'port 0': {'address': '127.0.0.1:0'},
    'unknown state': {'state': 'sleeping'},
    'state of another type': {'state': 1},
    'slots of another type': {'slots': 'many'},
    'models of another type': {'models': 'm'},
}


@pytest.mark.parametrize('name', _UNUSABLE)
def test_unusable_row_names_no_target(
    name: str, tmp_path: pathlib.Path
) -> None:
    """A target whose row another writer spoiled gets nothing more."""
    spoiled = json.dumps({**_TARGET, **_UNUSABLE[name]}).encode()
    sound = json.dumps(_TARGET).encode()

    def apply(view: View) -> None:
        view.apply_target_row(Row('i-1', sound, 1))
        view.apply_target_row(Row('i-2', sound, 2))
        assert set(view.targets.states) == {'i-1', 'i-2'}
        view.apply_target_row(Row('i-1', spoiled, 3))
        assert set(view.targets.states) == {'i-2'}
        view.apply_target_row(Row('i-1', sound, 4))
        assert set(view.targets.states) == {'i-1', 'i-2'}

    _apply(apply, tmp_path / 'log')


@pytest.mark.parametrize('key', ['a\r\nX: y', '\u20ac', '', 'a\0'])
def test_incarnation_that_no_header_can_carry(key: str) -> None:
    """A target is not used if requests can't name it."""
    with pytest.raises(BadDocumentError):
        decode_target(key, json.dumps(_TARGET).encode())


def test_sound_documents() -> None:
    """The documents that the tests change are sound."""
    assert decode_target('i-1', json.dumps(_TARGET).encode()).service == 'llm'
    value = json.dumps(_CONFIGURATION).encode()
    assert decode_configuration(value).version == 1
    value = json.dumps(_ANNOUNCEMENT).encode()
    assert decode_announcement(value).version == 2


_LARGE = b'9' * 30


@pytest.mark.parametrize(
    'body',
    [
        b'{"models":[{"name":"m","version":' + _LARGE + b'}]}',
        b'{"models":[],"sequence":' + _LARGE + b'}',
    ],
)
def test_report_beyond_64_bits(body: bytes) -> None:
    """A version that no message could carry is not taken over."""
    with pytest.raises(msgspec.MsgspecError):
        engines._report_decoder.decode(body)


@pytest.mark.parametrize(
    ('decode', 'value'),
    [
        (decode_announcement, b'{"model":"m","version":' + _LARGE + b'}'),
        (decode_configuration, b'{"version":' + _LARGE + b'}'),
    ],
)
def test_version_beyond_64_bits(
    decode: Callable[[bytes], object], value: bytes
) -> None:
    """A version that no message could carry makes a document malformed."""
    with pytest.raises(BadDocumentError):
        decode(value)


@pytest.mark.parametrize('body', [b'{}', b'[]', b'{"models":7}', b'[' * 99999])
def test_report_without_models(body: bytes) -> None:
    """Another response is not taken for the report of an engine."""
    with pytest.raises((msgspec.MsgspecError, RecursionError)):
        engines._report_decoder.decode(body)


@pytest.mark.parametrize('name', ['cold-per-s', 'cold-start-s'])
@pytest.mark.parametrize('value', ['-1', '1e999', '"8"', '[]', 'null'])
def test_odd_limit_of_cold_targets(
    name: str, value: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a configuration that replaces the last valid one."""
    service = f'{{"name":"app","{name}":{value}}}'
    spoiled = f'{{"version":2,"services":[{service}]}}'.encode()

    def apply(view: View) -> None:
        sound = json.dumps(_CONFIGURATION).encode()
        view.apply_operator_row(Row('config', sound, 1))
        view.apply_operator_row(Row('config', spoiled, 2))
        assert view.configuration is not None
        assert view.configuration.version == 1

    _apply(apply, tmp_path / 'log')
    assert 'row_unreadable' in (tmp_path / 'log').read_text()


@pytest.mark.parametrize('body', [b'{}', b'{"a":1}', b'', b'[', b'7'])
@pytest.mark.parametrize('zone', ['a', 'a/b', '\u20ac\n', 'x' * 300, ''])
def test_any_evacuation(
    zone: str, body: bytes, tmp_path: pathlib.Path
) -> None:
    """Guards against a row that ends serving, or isn't in force."""

    def apply(view: View) -> None:
        view.apply_operator_row(Row(f'evacuate/{zone}', body, 1))
        names = set(view.evacuations.by_data_centre)
        assert names == ({zone} if zone else set())
        view.apply_operator_row(Row(f'evacuate/{zone}', b'', 2, True))
        assert not view.evacuations.by_data_centre

    _apply(apply, tmp_path / 'log')
