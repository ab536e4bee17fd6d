"""Findings in a file, collected with their place and raised together."""

from __future__ import annotations

from typing import NamedTuple

from ..errors import Code
from ..errors import LentilrunError


class Location(NamedTuple):
    """Where something stands: file, line (from 1), section and key."""

    file: str
    line: int
    section: str
    key: str


class Finding(NamedTuple):
    """One thing that is wrong in a file."""

    place: Location
    code: str
    message: str

    def render(self) -> str:
        """Return the finding as one line of text."""
        place = self.place
        where = f'{place.file}:{place.line}'
        spot = f'[{place.section}] {place.key}'.strip()
        return f'{where}: {spot}: {self.code}: {self.message}'


class InvalidFileError(LentilrunError):
    """A file has findings, so nothing of it was applied."""

    code = Code.INVALID_FILE

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__('\n'.join(f.render() for f in findings))
        self.findings = findings


class FindingCollector:
    """Collects findings and raises them together."""

    def __init__(self) -> None:
        self._findings: list[Finding] = []

    def add(self, place: Location, code: str, message: str) -> None:
        """Note one finding."""
        self._findings.append(Finding(place, code, message))

    def raise_if_any(self) -> None:
        """Raise ``InvalidFileError`` if anything was noted."""
        if self._findings:
            ordered = sorted(self._findings, key=lambda f: f.place.line)
            raise InvalidFileError(tuple(ordered))


__all__ = ['Finding', 'FindingCollector', 'InvalidFileError', 'Location']
