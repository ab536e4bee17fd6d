"""The daemon as a process: settings, signals, exit codes."""

from __future__ import annotations

from collections.abc import Iterator
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

from lentilrun.standins.ports import ReservedPorts
from lentilrun.standins.process import SETTINGS_TEMPLATE
import pytest

_SOURCE = pathlib.Path(__file__).parents[2] / 'src'


def _start(path: pathlib.Path, **environment: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, str(_SOURCE / 'lentilrund.py')],
        env={**os.environ, 'LENTILRUN_CONFIG': str(path), **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize(
    'text', ['', 'node = ', 'node = "a"', '[bounds]\ngrace-s = "x"']
)
def test_invalid_settings(text: str, tmp_path: pathlib.Path) -> None:
    """The process exits with a code if its settings are invalid."""
    path = tmp_path / 'node.toml'
    path.write_text(text, encoding='utf-8')
    process = _start(path)
    _, errors = process.communicate(timeout=10.0)
    assert process.returncode == 2
    assert errors.startswith('invalid_file: ')


def _get_readiness(port: int) -> int:
    """Return the status, or 0 without a response."""
    try:
        url = f'http://127.0.0.1:{port}/lentilrun/ready'
        with urllib.request.urlopen(url, timeout=1.0) as response:
            return int(response.status)
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


@pytest.fixture
def ports() -> Iterator[dict[str, int]]:
    """Reserve the ports that settings name."""
    names = ('peers', 'entry', 'readiness', 'store')
    with ReservedPorts() as reserved:
        yield {n: reserved.reserve() for n in names}


def test_store_unreachable_at_start(
    tmp_path: pathlib.Path, ports: dict[str, int]
) -> None:
    """Without the store, a process keeps running and is not ready."""
    path = tmp_path / 'node.toml'
    settings = SETTINGS_TEMPLATE.format(name='vm1', **ports)
    path.write_text('unknown-field = 7\n' + settings, encoding='utf-8')
    process = _start(path)
    give_up_at = time.monotonic() + 8.0
    while (
        not _get_readiness(ports['readiness'])
        and time.monotonic() < give_up_at
    ):
        time.sleep(0.05)
    assert _get_readiness(ports['readiness']) == 503
    process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    output, _ = process.communicate(timeout=10.0)
    assert process.returncode == 0
    events = [f'"event":"{name}"' for name in ('store_lost', 'stopped')]
    events.append('"event":"settings_reread"')
    assert all(e in output for e in events)
    assert output.count('"event":"store_lost"') == 2
