"""Skips the tests that are listed as known failures."""

from __future__ import annotations

import pathlib
import re

import pytest

_KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def _read_known_red() -> list[str]:
    if not _KNOWN_RED.exists():
        return []
    text = _KNOWN_RED.read_text(encoding='utf-8')
    return re.findall(r'^test: (\S+)', text, re.MULTILINE)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Skip the tests that are listed as known failures."""
    known_red = _read_known_red()
    for item in items:
        if any(item.nodeid.startswith(name) for name in known_red):
            item.add_marker(pytest.mark.skip(reason='in KNOWN-RED.txt'))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the skipped tests."""
    for name in _read_known_red():
        terminalreporter.write_line(f'KNOWN-RED: {name}')
