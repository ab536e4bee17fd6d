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

import deployments
import pytest

_SOURCE = pathlib.Path(__file__).parents[2] / 'src'
_SETTINGS = """
node = "front-1"
ip = "127.0.0.1"
zone = "a"
internal-ports = [{peers}, {peers}]
unknown-field = 7
[listen]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{readiness}"
[limits]
cpu-share = 0.5
cores = 2
[platform]
address = "127.0.0.1:{store}"
[bounds]
drain-ms = 2000
grace-s = 8
config-ms = 2000
retry-budget-ratio = 0.2
budget-slack = 56
budget-window-s = 10
quota-window-s = 8
quota-overage = 0.1
quota-slack = 72000
lease-ms = 3000
version-ms = 8000
"""


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
    names = ('peers', 'front', 'readiness', 'store')
    ports = {n: deployments.find_port() for n in names}
    path = tmp_path / 'node.toml'
    path.write_text(_SETTINGS.format(**ports), encoding='utf-8')
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
