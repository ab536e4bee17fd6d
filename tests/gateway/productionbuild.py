"""The build in production, from the history of the repository."""

from __future__ import annotations

import functools
import importlib
import json
import os
import pathlib
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from typing import Any
from typing import TYPE_CHECKING
import warnings

import pytest

if TYPE_CHECKING:
    from types import ModuleType

    from lentilrun.gateway.node import Node

_ROOT = pathlib.Path(__file__).parent.parent.parent
_SAMPLES = pathlib.Path(__file__).parent / 'samples'
_SCRIPT = pathlib.Path(__file__).parent / 'buildsamples.py'
# The name under which the build in production is imported beside this one.
_ALIAS = 'lentilrun_production'


def find_commit() -> str:
    """Return the commit that runs when an upgrade begins."""
    text = (_ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    return tomllib.loads(text)['production']


def read_samples() -> dict[str, dict[str, Any]]:
    """Return the samples that the build in production wrote."""
    path = _SAMPLES / f'{find_commit()}.json'
    return json.loads(path.read_text(encoding='utf-8'))


@functools.cache
def _extract() -> tempfile.TemporaryDirectory[str] | None:
    """Extract the sources in production; nothing without the history."""
    try:
        archive = subprocess.run(
            ['git', '-C', _ROOT, 'archive', find_commit(), 'src'],
            capture_output=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return None
    directory = tempfile.TemporaryDirectory(prefix='production-')
    path = pathlib.Path(directory.name)
    (path / 'src.tar').write_bytes(archive.stdout)
    with tarfile.open(path / 'src.tar') as sources:
        sources.extractall(path, filter='data')
    (path / 'src' / 'lentilrun').rename(path / 'src' / _ALIAS)
    (path / 'child').mkdir()
    (path / 'child' / 'lentilrun').symlink_to(path / 'src' / _ALIAS)
    return directory


def require_sources() -> pathlib.Path:
    """Return where the sources in production are; skip without history."""
    directory = _extract()
    if directory is None:
        reason = f'not checked: no commit {find_commit()[:7]} in the history'
        warnings.warn(reason, stacklevel=2)
        pytest.skip(reason)
    return pathlib.Path(directory.name)


def run_samples(command: str, samples: dict[str, str]) -> dict[str, Any]:
    """Let the build in production write or read samples."""
    result = subprocess.run(
        [sys.executable, _SCRIPT, command],
        input=json.dumps(samples).encode(),
        capture_output=True,
        check=True,
        env={**os.environ, 'PYTHONPATH': str(require_sources() / 'child')},
    )
    return json.loads(result.stdout)


def import_production(module: str) -> ModuleType:
    """Import a module of the build in production beside this build."""
    path = str(require_sources() / 'src')
    if path not in sys.path:
        sys.path.append(path)
    return importlib.import_module(f'{_ALIAS}.{module}')


def find_module(node: Node, module: str) -> ModuleType:
    """Return a module of the build that a VM runs."""
    package = type(node).__module__.partition('.')[0]
    return importlib.import_module(f'{package}.{module}')


__all__ = [
    'find_commit',
    'find_module',
    'import_production',
    'read_samples',
    'require_sources',
    'run_samples',
]
