"""The settings file is read, or rejected with one kind of error."""

from __future__ import annotations

import math
import pathlib
from typing import Any

from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.platform.node import BadSettingsError
from lentilrun.platform.node import load
from lentilrun.platform.node import NodeSettings
from lentilrun.platform.node import parse
from lentilrun.standins.process import SETTINGS_TEMPLATE
import pytest

_TEXT = SETTINGS_TEMPLATE.format(
    name='vm1', peers=7600, entry=8000, readiness=8001, store=8002
)
_VALUES = st.sampled_from(
    [
        *('5', '-1', '0', '1.5', 'true', '"x"', '""', '[]', '{}', 'nan'),
        *('inf', '-inf', '9' * 30, '[5]', '["a"]', '"127.0.0.1:0"', '"²"'),
        *('1979-05-27', '"127.0.0.1"', '"127.0.0.1:99999"'),
    ]
)


def _check(node_settings: NodeSettings) -> None:
    """Check the types and ranges that the daemon relies on."""
    texts = (
        node_settings.name,
        node_settings.host,
        node_settings.data_centre,
    )
    assert all(isinstance(t, str) and t for t in texts)
    assert math.isfinite(node_settings.power)
    assert node_settings.power > 0
    assert 0 < node_settings.peer_port < 65536
    assert node_settings.memory_bytes > 0
    assert node_settings.descriptors > 0
    for value in node_settings.bounds:
        assert isinstance(value, float)
        assert 0.0 <= value < float('inf')


@st.composite
def _draw_changed(draw: st.DrawFn) -> str:
    """Draw settings in which one value has been replaced or removed."""
    lines = _TEXT.strip().split('\n')
    index = draw(st.integers(0, len(lines) - 1))
    name, separator, _ = lines[index].partition(' = ')
    if not separator or draw(st.booleans()):
        del lines[index]
    else:
        lines[index] = f'{name} = {draw(_VALUES)}'
    return '\n'.join(lines)


@settings(deadline=None)
@given(st.text(max_size=60) | _draw_changed())
@example(_TEXT.replace('"127.0.0.1:8000"', '5'))
@example('x = ' + '[' * 100_000)
def test_any_settings(text: str) -> None:
    """Settings are complete and of the right types, or rejected."""
    try:
        node_settings = parse(text)
    except BadSettingsError:
        return
    _check(node_settings)


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ('front = "127.0.0.1:8000"', 'front = 5'),
        ('node = "vm1"', 'node = 5'),
        ('ip = "127.0.0.1"', 'ip = "example.com"'),
        ('internal-ports = [7600, 7600]', 'internal-ports = [70000]'),
        ('internal-ports = [7600, 7600]', 'internal-ports = "7600"'),
        ('cpu-share = 0.5', 'cpu-share = "0.5"'),
        ('cores = 2', 'cores = 0'),
        ('memory-mb = 128', 'memory-mb = inf'),
        ('memory-mb = 128', 'memory-mb = 0'),
        ('memory-mb = 128', 'max-fds = 0'),
        ('memory-mb = 128', 'max-fds = 4100.5'),
        ('memory-mb = 128', 'max-fds = "4100"'),
        ('grace-s = 6', 'grace-s = nan'),
        ('drain-ms = 2000', 'drain-ms = "2000"'),
        ('drain-ms = 2000', 'drain-ms = -1'),
        ('drain-ms = 2000', 'drain-ms = true'),
    ],
)
def test_unusable_settings(old: str, new: str) -> None:
    """A value of another type or out of range is rejected at the start."""
    assert old in _TEXT
    _check(parse(_TEXT))
    with pytest.raises(BadSettingsError):
        parse(_TEXT.replace(old, new))


def test_descriptors() -> None:
    """The number of descriptors is read, and has a default without it."""
    text = _TEXT.replace('memory-mb = 128', 'max-fds = 300')
    assert parse(text).descriptors == 300
    assert parse(_TEXT).descriptors > 300


@settings(
    deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(st.binary(max_size=60))
def test_any_file(tmp_path: pathlib.Path, data: bytes) -> None:
    """A file that is no text is rejected too."""
    path = tmp_path / 'settings.toml'
    path.write_bytes(data)
    with pytest.raises(BadSettingsError):
        load(str(path))


def test_unused_settings_may_be_anything() -> None:
    """What the daemon doesn't read is no reason to reject the settings."""
    extra: dict[str, Any] = {'role': 5, 'seeds': '[1]'}
    lines = ''.join(f'{name} = {value}\n' for name, value in extra.items())
    _check(parse(lines + _TEXT))


@pytest.mark.parametrize(
    ('line', 'limit'),
    [('', 2.0), ('evacuation-ms = 5000', 2.0), ('evacuation-ms = 1500', 1.5)],
)
def test_time_to_evacuate(line: str, limit: float) -> None:
    """Guards against rows that are read later than an evacuation allows."""
    assert parse(_TEXT + line).bounds.change_limit() == pytest.approx(limit)


@pytest.mark.parametrize(
    ('head', 'tail', 'regions', 'own'),
    [
        ('', '', {}, ''),
        ('region = "eu"', '[zones]\na = "eu"', {'a': 'eu'}, 'eu'),
        ('', '[zones]\na = "eu"\nb = "us"', {'a': 'eu', 'b': 'us'}, 'eu'),
    ],
)
def test_regions(
    head: str, tail: str, regions: dict[str, str], own: str
) -> None:
    """Guards against VMs that don't know where data centres are."""
    found = parse(f'{head}\n{_TEXT}\n{tail}').regions
    assert found.by_data_centre == regions
    assert found.own == own


def test_limits_of_cold_targets() -> None:
    """Guards against a limit that is lost, or that nobody has set."""
    assert parse(_TEXT).bounds[-2:] == (0.0, 0.0)
    bounds = parse(_TEXT + 'cold-overage = 1.5\ncold-slack = 5').bounds
    assert (bounds.cold_overage, bounds.cold_slack) == (1.5, 5.0)


def test_time_until_limits_bind() -> None:
    """Guards against limits on times that a VM keeps too late."""
    bounds = parse(_TEXT + 'stable-window-ms = 4000').bounds
    assert bounds.undisturbed_time == pytest.approx(4.0)


@pytest.mark.parametrize(
    ('line', 'expected'),
    [('', True), ('bootstrap = true', True), ('bootstrap = false', False)],
)
def test_first_start(line: str, expected: bool) -> None:
    """Settings tell a restart from the first start of the system."""
    assert parse(f'{line}\n{_TEXT}').is_first_start is expected
