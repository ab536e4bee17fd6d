"""Versions of the store's rows, which never fall.

The store numbers its transactions. When it is restored from an older copy,
it gives numbers out again, but the era that it states rises by one. A row
version holds both, so that one of a later era is always larger.
"""

from __future__ import annotations

from typing import NamedTuple

# The numbers of an era are below this.
_ERA_SIZE = 10**12
MAX_NUMBER = _ERA_SIZE - 1
# Row versions fit into 63 bits.
MAX_ERA = 9_000_000


class NumberedVersion(NamedTuple):
    """A row version by era and number, as the store has it."""

    era: int
    number: int


def make_version(era: int, number: int) -> int:
    """Return a row version."""
    return era * _ERA_SIZE + number


def split_version(version: int) -> NumberedVersion:
    """Return the era and the number of a row version."""
    return NumberedVersion(*divmod(version, _ERA_SIZE))


def find_era(version: int) -> int:
    """Return the era of a row version."""
    return version // _ERA_SIZE


__all__ = [
    'find_era',
    'make_version',
    'MAX_ERA',
    'MAX_NUMBER',
    'NumberedVersion',
    'split_version',
]
