"""Which build this is, and the formats that it speaks."""

from __future__ import annotations

import functools
import pathlib
from typing import TYPE_CHECKING
import zlib

from ..records import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

_PACKAGE = pathlib.Path(__file__).parent.parent
# The parts of the package that the daemon consists of.
_PARTS = (
    'config',
    'coordination',
    'decisions',
    'gateway',
    'metrics',
    'platform',
    'web',
)

# The versions of the formats that other processes read. A version grows
# with each field that is added; see ``docs/design/builds.md``.
FORMATS = {
    # 2: gossip messages are also read compressed.
    'gossip': 2,
    'relayed_rows': 1,
    'row_request': 1,
    'statement': 1,
    'forwarded_call': 1,
    # 2: the times of announcements are kept. 3: so are crashing requests.
    'fleet_rows': 3,
}


class BuildStatement(KeyedRecord, frozen=True):
    """What a VM states of the build that it runs.

    ``build`` identifies the sources; empty, the build is unknown.
    ``formats`` are the versions of the formats that it speaks; one that is
    missing is spoken as version 1, as by builds that state nothing.
    """

    build: str = ''
    formats: dict[str, int] = {}  # noqa: RUF012


@functools.cache
def identify_build() -> str:
    """Return a digest of the daemon's sources, the same on all VMs."""
    digest = 0
    for path in _list_sources():
        digest = zlib.crc32(path.read_bytes(), digest)
    return f'{digest:08x}'


def _list_sources() -> Iterator[pathlib.Path]:
    for part in _PARTS:
        yield from sorted((_PACKAGE / part).glob('*.py'))


def state_build() -> BuildStatement:
    """Return what this process states of its build."""
    return BuildStatement(identify_build(), FORMATS)


__all__ = ['BuildStatement', 'FORMATS', 'identify_build', 'state_build']
