"""Seeds of the soak that run with every change."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from soak.deployment import copy_programs
from soak.run import run_seed

_SECONDS = 4.0
_VMS = 3
# Seeds that failed once, each with the cause in a line.
_REGRESSIONS = {
    20261225: 'the soak took a slow start for an end of its own',
}


@pytest.mark.parametrize('seed', [1, *_REGRESSIONS])
def test_seed(seed: int, tmp_path: pathlib.Path) -> None:
    """The promises hold under faults, and all of it works afterwards."""
    copy_programs(tmp_path)
    folder = tmp_path / str(seed)
    folder.mkdir()
    outcome = asyncio.run(run_seed(seed, _SECONDS, _VMS, folder))
    assert not outcome.violations, outcome.events
    assert outcome.served
