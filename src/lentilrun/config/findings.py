"""Errors in a file, collected with their location and raised together."""

from __future__ import annotations

from typing import NamedTuple

from ..errors import Code
from ..errors import LentilrunError


class Location(NamedTuple):
    """A location in a file: line (from 1), section and key."""

    file: str
    line: int
    section: str
    key: str


class Finding(NamedTuple):
    """An error in a file; its ``code`` is stable, its message is not."""

    place: Location
    code: str
    message: str

    def render(self) -> str:
        """Return the finding as one line of text."""
        place = self.place
        position = f'{place.file}:{place.line}'
        setting = f'[{place.section}] {place.key}'.strip()
        return f'{position}: {setting}: {self.code}: {self.message}'


class InvalidFileError(LentilrunError):
    """A file has errors and none of it was applied."""

    code = Code.INVALID_FILE

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__('\n'.join(f.render() for f in findings))
        self.findings = findings


class FindingCollector:
    """Collects findings and raises them together."""

    def __init__(self) -> None:
        self._findings: list[Finding] = []

    def add(self, place: Location, code: str, message: str) -> None:
        """Add a finding."""
        self._findings.append(Finding(place, code, message))

    def raise_if_any(self) -> None:
        """Raise ``InvalidFileError`` with all findings, sorted by line."""
        if self._findings:
            ordered = sorted(self._findings, key=lambda f: f.place.line)
            raise InvalidFileError(tuple(ordered))


__all__ = ['Finding', 'FindingCollector', 'InvalidFileError', 'Location']
