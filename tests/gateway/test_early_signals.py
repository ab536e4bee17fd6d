"""A SIGHUP ends no process, however early or late it comes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import os
import pathlib
import signal
import subprocess
import sys
import time

from lentilrun.standins.ports import ReservedPorts
from lentilrun.standins.process import SETTINGS_TEMPLATE
import pytest

_PROGRAM = pathlib.Path(__file__).parents[2] / 'src' / 'lentilrund.py'
_TIMEOUT_S = 30.0
_INTERVAL_S = 0.01


class _Process:
    """The daemon as a process whose log is a file."""

    def __init__(self, folder: pathlib.Path, ports: ReservedPorts) -> None:
        names = ('peers', 'entry', 'readiness', 'store')
        numbers = {n: ports.reserve() for n in names}
        settings = folder / 'node.toml'
        settings.write_text(SETTINGS_TEMPLATE.format(name='vm1', **numbers))
        self._log = folder / 'log'
        with self._log.open('wb') as output:
            self.popen = subprocess.Popen(
                [sys.executable, str(_PROGRAM)],
                env={**os.environ, 'LENTILRUN_CONFIG': str(settings)},
                stdout=output,
            )

    def has_logged(self, event: str) -> bool:
        """Return whether a line about an event was written."""
        return f'"event":"{event}"' in self._log.read_text(encoding='utf-8')

    def holds_signal(self) -> bool:
        """Return whether SIGHUP can't end the process."""
        status = pathlib.Path(f'/proc/{self.popen.pid}/status').read_text()
        fields = dict(line.split(':\t', 1) for line in status.splitlines())
        bit = 1 << (signal.SIGHUP - 1)
        masks = ('SigBlk', 'SigCgt', 'SigIgn')
        return any(int(fields[m], 16) & bit for m in masks)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition while the process runs."""
        give_up_at = time.monotonic() + _TIMEOUT_S
        while not condition():
            assert self.popen.poll() is None
            assert time.monotonic() < give_up_at
            time.sleep(_INTERVAL_S)

    def signal_until(self, condition: Callable[[], bool]) -> None:
        """Send SIGHUP until a condition holds."""

        def send_and_check() -> bool:
            self.popen.send_signal(signal.SIGHUP)
            return condition()

        self.wait_until(send_and_check)


@pytest.fixture
def process(tmp_path: pathlib.Path) -> Iterator[_Process]:
    """Start the daemon; end it after the test."""
    with ReservedPorts() as ports:
        started = _Process(tmp_path, ports)
        yield started
        started.popen.kill()
        started.popen.wait()


def test_sighup_during_the_start(process: _Process) -> None:
    """The process starts, and rereads its settings for what it missed."""
    process.wait_until(process.holds_signal)
    assert not process.has_logged('started')
    process.signal_until(lambda: process.has_logged('started'))
    process.wait_until(lambda: process.has_logged('settings_reread'))


def test_sighup_during_the_stop(process: _Process) -> None:
    """The process stops with its own exit code."""
    process.wait_until(lambda: process.has_logged('started'))
    process.popen.send_signal(signal.SIGTERM)
    give_up_at = time.monotonic() + _TIMEOUT_S
    while process.popen.poll() is None and time.monotonic() < give_up_at:
        process.popen.send_signal(signal.SIGHUP)
        time.sleep(_INTERVAL_S / 10.0)
    assert process.popen.returncode == 0
