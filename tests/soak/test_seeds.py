"""Short soak runs with fixed seeds."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from soak.deployment import copy_programs
from soak.run import run_seed

_FAULT_S = 4.0
_VM_COUNT = 3
# Seeds that failed before, with the cause.
_REGRESSIONS = {
    20261225: 'the soak counted a slow start as an unexpected exit',
}


@pytest.mark.parametrize('seed', [1, *_REGRESSIONS])
def test_seed(seed: int, tmp_path: pathlib.Path) -> None:
    """No invariant is violated under faults, and all VMs recover."""
    copy_programs(tmp_path)
    folder = tmp_path / str(seed)
    folder.mkdir()
    result = asyncio.run(run_seed(seed, _FAULT_S, _VM_COUNT, folder))
    assert not result.violations, result.events
    assert result.served
