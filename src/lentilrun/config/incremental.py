"""Reading of an operators' file that is much like the one before."""

from __future__ import annotations

import re
from typing import Any

from . import ini
from .configuration import Configuration
from .configuration import EMPTY
from .declaration import parse
from .declaration import SECTION_READERS
from .findings import FindingCollector
from .findings import InvalidFileError


# A header as the INI reader takes it: at the start of a line.
_HEADER = re.compile(r'^\[([^\]\n]+)\]', re.MULTILINE)


class SectionCache:
    """What the sections of the last file read to, by their text.

    A section that did not change is not read again: a change of a large
    configuration then costs little more than what changed.
    """

    def __init__(self) -> None:
        self.values_by_text: dict[str, Any] = {}


def _read_section(header: str, chunk: str) -> Any:
    """Return what a section reads to; raises if it has findings."""
    collector = FindingCollector()
    kind = header.partition(' ')[0]
    reader = SECTION_READERS.get(kind)
    sections = ini.read_sections(chunk, '', collector)
    collector.raise_if_any()
    if reader is None or len(sections) != 1:
        raise ValueError('not one section of a known kind')
    value = reader(sections[0])
    sections[0].check_keys(named=kind != 'policy')
    collector.raise_if_any()
    return value


def _read_chunks(
    text: str, memory: SectionCache
) -> dict[str, list[Any]] | None:
    found: dict[str, list[Any]] = {kind: [] for kind in SECTION_READERS}
    parts = _HEADER.split(text)
    known: dict[str, Any] = {}
    seen = set()
    for header, body in zip(parts[1::2], parts[2::2], strict=True):
        chunk = f'[{header}]{body}'
        value = memory.values_by_text.get(chunk)
        try:
            if value is None:
                value = _read_section(header, chunk)
        except (InvalidFileError, ValueError):
            return None
        if header in seen:
            return None
        seen.add(header)
        known[chunk] = value
        found[header.partition(' ')[0]].append(value)
    memory.values_by_text = known
    return None if parts[0].strip() else found


def _are_whole(found: dict[str, list[Any]]) -> bool:
    """Return whether all references and names are in order."""
    workspaces = {w.name for w in found['workspace']}
    models = {m.name for m in (*found['model'], *found['service'])}
    keys = {k.digest for k in found['key']}
    paths = {(r.path, r.model) for r in found['route']}
    named = {
        w
        for holder in (found['key'], found['route'])
        for one in holder
        for w in (getattr(one, 'workspaces', None) or ())
    }
    named |= {k.workspace for k in found['key']}
    used = {one.model for k in ('target', 'route', 'move') for one in found[k]}
    return (
        named <= workspaces
        and used <= models
        and len(models) == len(found['model']) + len(found['service'])
        and len(keys) == len(found['key'])
        and len(paths) == len(found['route'])
        and len({m.model for m in found['move']}) == len(found['move'])
    )


def parse_incrementally(
    text: str, file: str, memory: SectionCache
) -> Configuration:
    """Read a file much like the one before; as ``parse`` otherwise.

    Whatever looks wrong is read as a whole, so that findings have their
    places.
    """
    found = _read_chunks(text, memory)
    if found is None or not _are_whole(found):
        return parse(text, file)
    return Configuration(
        {w.name: w for w in found['workspace']},
        {k.digest: k for k in found['key']},
        {m.name: m for m in (*found['model'], *found['service'])},
        {t.name: t for t in found['target']},
        tuple(found['route']),
        {m.name: m for m in found['move']},
        found['policy'][-1] if found['policy'] else EMPTY.policy,
    )


__all__ = ['parse_incrementally', 'SectionCache']
