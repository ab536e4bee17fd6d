"""Checks the docs: links to files and commands that must exist."""

from __future__ import annotations

import pathlib
import re
import sys

_ROOT = pathlib.Path(__file__).parent.parent
_FILE = re.compile(r'`((?:docs|src|tests|benchmarks|trial)/[\w./-]+)`')
_MODULE = re.compile(r'python -m (benchmarks\.\w+)')


def find_faults(page: pathlib.Path) -> list[str]:
    """Return what a page names that does not exist."""
    faults = []
    for number, line in enumerate(page.read_text().splitlines(), 1):
        names = _FILE.findall(line)
        names += [m.replace('.', '/') + '.py' for m in _MODULE.findall(line)]
        for name in names:
            if not (_ROOT / name).exists():
                faults.append(f'{page.name}:{number}: no {name}')
    return faults


def main() -> int:
    """Check all pages; return 1 if any has faults."""
    pages = [_ROOT / 'README.md', *sorted((_ROOT / 'docs').rglob('*.md'))]
    faults = [fault for page in pages for fault in find_faults(page)]
    for fault in faults:
        sys.stderr.write(fault + '\n')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
