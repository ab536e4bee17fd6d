"""Incremental parser of operators' files that reuses unchanged sections."""

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


# A section header as the INI parser accepts it: at the start of a line.
_HEADER = re.compile(r'^\[([^\]\n]+)\]', re.MULTILINE)


class SectionCache:
    """Parsed sections of the last file, by their text.

    Unchanged sections are not parsed again, so a small change of a large
    configuration costs little more than the changed sections.
    """

    def __init__(self) -> None:
        self.values_by_text: dict[str, Any] = {}


def _read_section(header: str, chunk: str) -> Any:
    """Return the parsed section.

    Raises ``InvalidFileError`` if it has findings, ``ValueError`` if the
    text is not exactly one section of a known kind.
    """
    collector = FindingCollector()
    kind = header.partition(' ')[0]
    reader = SECTION_READERS.get(kind)
    sections = ini.read_sections(chunk, '', collector)
    collector.raise_if_any()
    if reader is None or len(sections) != 1:
        raise ValueError('not one section of a known kind')
    value = reader(sections[0])
    sections[0].check_keys(needs_name=kind != 'policy')
    collector.raise_if_any()
    return value


def _read_chunks(
    text: str, cache: SectionCache
) -> dict[str, list[Any]] | None:
    by_kind: dict[str, list[Any]] = {kind: [] for kind in SECTION_READERS}
    pieces = _HEADER.split(text)
    values_by_text: dict[str, Any] = {}
    seen_headers = set()
    for header, body in zip(pieces[1::2], pieces[2::2], strict=True):
        chunk = f'[{header}]{body}'
        value = cache.values_by_text.get(chunk)
        try:
            if value is None:
                value = _read_section(header, chunk)
        except (InvalidFileError, ValueError):
            return None
        if header in seen_headers:
            return None
        seen_headers.add(header)
        values_by_text[chunk] = value
        by_kind[header.partition(' ')[0]].append(value)
    cache.values_by_text = values_by_text
    return None if pieces[0].strip() else by_kind


def _is_consistent(by_kind: dict[str, list[Any]]) -> bool:
    """Return whether references resolve and nothing is declared twice."""
    declared_workspaces = {w.name for w in by_kind['workspace']}
    declared_models = {
        m.name for m in (*by_kind['model'], *by_kind['service'])
    }
    digests = {k.digest for k in by_kind['key']}
    paths = {(r.path, r.model) for r in by_kind['route']}
    used_workspaces = {
        w
        for values in (by_kind['key'], by_kind['route'])
        for value in values
        for w in (getattr(value, 'workspaces', None) or ())
    }
    used_workspaces |= {k.workspace for k in by_kind['key']}
    used_models = {
        value.model
        for k in ('target', 'route', 'move')
        for value in by_kind[k]
    }
    return (
        used_workspaces <= declared_workspaces
        and used_models <= declared_models
        and len(declared_models)
        == len(by_kind['model']) + len(by_kind['service'])
        and len(digests) == len(by_kind['key'])
        and len(paths) == len(by_kind['route'])
        and len({m.model for m in by_kind['move']}) == len(by_kind['move'])
    )


def parse_incrementally(
    text: str, file: str, cache: SectionCache
) -> Configuration:
    """Parse a file as ``parse`` does, reusing the cached sections.

    A file with any error is parsed as a whole, so that findings have
    their locations in the file.

    Raises ``InvalidFileError`` with all findings.
    """
    by_kind = _read_chunks(text, cache)
    if by_kind is None or not _is_consistent(by_kind):
        return parse(text, file)
    return Configuration(
        {w.name: w for w in by_kind['workspace']},
        {k.digest: k for k in by_kind['key']},
        {m.name: m for m in (*by_kind['model'], *by_kind['service'])},
        {t.name: t for t in by_kind['target']},
        tuple(by_kind['route']),
        {m.name: m for m in by_kind['move']},
        by_kind['policy'][-1] if by_kind['policy'] else EMPTY.policy,
    )


__all__ = ['parse_incrementally', 'SectionCache']
