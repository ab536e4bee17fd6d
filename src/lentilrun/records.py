"""Records that other processes read, also those of another build."""

from __future__ import annotations

import msgspec


class PositionalRecord(msgspec.Struct, array_like=True, frozen=True):
    """A record that is encoded as an array, by the order of its fields.

    Fields keep their order, type and meaning. A reader ignores what follows
    the fields that it knows, and takes the default of a field that is
    missing at the end; a record without a field that has no default is
    rejected. See ``docs/design/builds.md`` for what may be added.
    """


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record that is encoded as a map, by the names of its fields.

    Fields keep their name, type and meaning. A reader ignores names that it
    does not know, and takes the default of a field that is missing.
    """


__all__ = ['KeyedRecord', 'PositionalRecord']
