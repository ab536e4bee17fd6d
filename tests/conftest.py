"""Selects the tests: known failures, and those that run by themselves."""

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


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option for the tests that run one at a time."""
    parser.addoption(
        '--alone',
        action='store_true',
        help='run only the tests marked "alone", which need -n 0',
    )


def _deselect(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Leave out tests that run by themselves beside others, and vice versa."""
    is_alone = bool(config.getoption('--alone'))
    if not is_alone and not hasattr(config, 'workerinput'):
        return
    left_out = [
        i for i in items if (i.get_closest_marker('alone') is None) == is_alone
    ]
    if left_out:
        items[:] = [i for i in items if i not in left_out]
        config.hook.pytest_deselected(items=left_out)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect tests for this run; skip known failures."""
    _deselect(config, items)
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
