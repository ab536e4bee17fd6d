"""Short soak runs with fixed seeds."""

from __future__ import annotations

import asyncio
import pathlib
import warnings

import pytest
from soak.builds import copy_older
from soak.builds import HistoryError
from soak.deployment import copy_programs
from soak.eventstreams import FaultLevel
from soak.run import run_seed
from soak.run import SeedOptions

_FAULT_S = 4.0
_VM_COUNT = 3
# Seeds that failed before, with the causes.
_REGRESSIONS = {
    20261225: 'the soak counted a slow start as an unexpected exit; a target '
    'that stayed after all was taken for leaving',
}
# The same for replicas that are processes, with the faults of their streams.
_PROCESS_COUNT = 3
_PROCESS_REGRESSIONS = {
    (401, FaultLevel.PROCESSES): 'a killed replica without framing was whole',
    (404, FaultLevel.PROCESSES): 'numbers with two blanks or CR were not read',
    (412, FaultLevel.ANSWERS): 'wrong numbers of a replica were passed on',
}
_UPGRADE_SEED = 1
_UPGRADE_VM_COUNT = 2


@pytest.mark.parametrize('seed', [1, *_REGRESSIONS])
def test_seed(seed: int, tmp_path: pathlib.Path) -> None:
    """No invariant is violated under faults, and all VMs recover."""
    copy_programs(tmp_path)
    folder = tmp_path / str(seed)
    folder.mkdir()
    result = asyncio.run(
        run_seed(seed, folder, SeedOptions(_FAULT_S, _VM_COUNT))
    )
    assert not result.violations, result.events
    assert result.served


@pytest.mark.parametrize(('seed', 'level'), _PROCESS_REGRESSIONS)
def test_seed_of_processes(
    seed: int, level: FaultLevel, tmp_path: pathlib.Path
) -> None:
    """Streams of replicas that are killed stay whole and in order."""
    copy_programs(tmp_path)
    folder = tmp_path / str(seed)
    folder.mkdir()
    options = SeedOptions(_FAULT_S, _VM_COUNT, _PROCESS_COUNT, level)
    result = asyncio.run(run_seed(seed, folder, options))
    assert not result.violations, result.events
    assert result.served


def test_seed_of_upgrade(tmp_path: pathlib.Path) -> None:
    """No invariant is violated while VMs of two builds run together.

    The recovery is left out for the sake of time; other seeds check it.
    """
    copy_programs(tmp_path)
    try:
        excused = copy_older(tmp_path, None)
    except HistoryError as error:
        warnings.warn(str(error), stacklevel=1)
        pytest.skip(str(error))
    folder = tmp_path / str(_UPGRADE_SEED)
    folder.mkdir()
    options = SeedOptions(
        _FAULT_S,
        _UPGRADE_VM_COUNT,
        _PROCESS_COUNT,
        upgrade=True,
        excused=excused,
        recovers=False,
    )
    result = asyncio.run(run_seed(_UPGRADE_SEED, folder, options))
    assert not result.violations, result.events
    assert result.served
    replaced = [e for e in result.events if e.kind == 'replace_vm']
    assert len(replaced) >= _UPGRADE_VM_COUNT
