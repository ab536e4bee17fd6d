"""The daemon as a process: settings, signals, exit codes."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

from lentilrun.standins.process import pick_free_port
from lentilrun.standins.process import SETTINGS_TEMPLATE
import pytest

_SOURCE = pathlib.Path(__file__).parents[2] / 'src'


def _start(path: pathlib.Path, **more: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, str(_SOURCE / 'lentilrund.py')],
        env={**os.environ, 'LENTILRUN_CONFIG': str(path), **more},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize(
    'text', ['', 'node = ', 'node = "a"', '[bounds]\ngrace-s = "x"']
)
def test_odd_settings(text: str, tmp_path: pathlib.Path) -> None:
    """A settings file that can't be used ends the process, with a code."""
    path = tmp_path / 'node.toml'
    path.write_text(text, encoding='utf-8')
    process = _start(path)
    _, errors = process.communicate(timeout=10.0)
    assert process.returncode == 2
    assert errors.startswith('invalid_file: ')


def _ask(port: int) -> int:
    try:
        url = f'http://127.0.0.1:{port}/lentilrun/ready'
        with urllib.request.urlopen(url, timeout=1.0) as found:
            return int(found.status)
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def test_store_away_at_the_start(tmp_path: pathlib.Path) -> None:
    """Without the store a process stays up, and is not ready."""
    names = ('peers', 'entry', 'readiness', 'store')
    ports = {n: pick_free_port() for n in names}
    path = tmp_path / 'node.toml'
    settings = SETTINGS_TEMPLATE.format(name='vm1', **ports)
    path.write_text('unknown-field = 7\n' + settings, encoding='utf-8')
    process = _start(path)
    until = time.monotonic() + 8.0
    while not _ask(ports['readiness']) and time.monotonic() < until:
        time.sleep(0.05)
    assert _ask(ports['readiness']) == 503
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
