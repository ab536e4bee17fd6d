"""The build that VMs begin with, and the order in which they are replaced."""

from __future__ import annotations

import io
import pathlib
import shutil
import subprocess
import tarfile
import tomllib
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

_ROOT = pathlib.Path(__file__).parents[1]
NEW = 'src'
OLDER = 'older/src'
# By build: the invariants that its responses are known to violate.
_KNOWN_VIOLATIONS = {
    'dc474a21af807c70f2d84368df3899e7600de169': frozenset(
        {'events in order', 'complete stream'}
    ),
}
_TAKEN_BACK_SHARE = 0.5


class HistoryError(SystemExit):
    """The repository's history lacks the build in production."""


class Replacement(NamedTuple):
    """The number of a VM, and the build that it is started with."""

    vm: int
    build: str


def copy_older(
    base: pathlib.Path, source: pathlib.Path | None
) -> frozenset[str]:
    """Copy a build, by default that in production, beside the new one.

    Return the invariants that its responses are known to violate.
    """
    if source is not None:
        shutil.copytree(source, base / OLDER)
        return frozenset()
    settings = (_ROOT / 'deploy' / 'system.toml').read_text()
    commit = tomllib.loads(settings)['production']
    command = ['git', '-C', _ROOT, 'archive', commit, 'src']
    archive = subprocess.run(command, capture_output=True)
    if archive.returncode:
        raise HistoryError(f'no upgrade: the history lacks {commit}')
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall((base / OLDER).parent, filter='data')
    return _KNOWN_VIOLATIONS.get(commit, frozenset())


def draw_upgrade(rng: random.Random, vms: int) -> list[Replacement]:
    """Return whom to replace; some go back half way or at the end."""
    order = rng.sample(range(vms), vms)
    if rng.random() >= _TAKEN_BACK_SHARE:
        return [Replacement(vm, NEW) for vm in order]
    order = order[: rng.choice((vms, (vms + 1) // 2))]
    forward = [Replacement(vm, NEW) for vm in order]
    return forward + [Replacement(vm, OLDER) for vm in reversed(order)]


__all__ = [
    'copy_older',
    'draw_upgrade',
    'HistoryError',
    'NEW',
    'OLDER',
    'Replacement',
]
