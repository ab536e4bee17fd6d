"""INI parser that keeps the line numbers of sections and keys."""

from __future__ import annotations

import configparser
import datetime
import ipaddress
import math
import re
from typing import NamedTuple
from typing import TYPE_CHECKING

from .findings import Location

if TYPE_CHECKING:
    from .findings import FindingCollector

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
_DIGEST = re.compile(r'[0-9a-f]{64}')
_MAX_PORT = 65535
_FLAGS = {'yes': True, 'no': False, 'true': True, 'false': False}


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    Raises ``ValueError`` unless host is an IP address and port is a
    number from 1 to 65535.
    """
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 < number <= _MAX_PORT:
        raise ValueError(f'port {number} is out of range')
    return Address(host, number)


class Section:
    """A section; typed accessors add findings instead of raising."""

    def __init__(
        self,
        header: str,
        values: dict[str, str],
        lines: dict[str, int],
        file: str,
        collector: FindingCollector,
    ) -> None:
        self.header = header
        kind, _, name = header.partition(' ')
        self.kind = kind
        self.name = name.strip()
        self._values = values
        self._lines = lines
        self._file = file
        self._collector = collector
        self._used_keys: set[str] = set()

    def location(self, key: str = '') -> Location:
        """Return the location of a key, on the header's line if absent."""
        line = self._lines.get(key, self._lines[''])
        return Location(self._file, line, self.header, key)

    def add_finding(self, key: str, code: str, message: str) -> None:
        """Add a finding at a key of this section."""
        self._collector.add(self.location(key), code, message)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a value; a key without a default is required."""
        self._used_keys.add(key)
        value = self._values.get(key)
        if value:
            return value
        if default is None:
            self.add_finding(key, 'missing', 'a value is required')
            return ''
        return default

    def number(
        self,
        key: str,
        default: float | None = None,
        low: float = 0.0,
        high: float = 1e15,
    ) -> float:
        """Return a finite number from ``low`` to ``high``.

        Returns ``low`` and adds a finding if the value is invalid.
        """
        text = self.text(key, None if default is None else str(default))
        try:
            value = float(text)
        except ValueError:
            if text:
                self.add_finding(key, 'not_a_number', f'{text!r} is no number')
            return low
        if math.isfinite(value) and low <= value <= high:
            return value
        self.add_finding(
            key, 'out_of_range', f'{text} is not in {low}..{high}'
        )
        return low

    def integer(
        self,
        key: str,
        default: int | None = None,
        low: int = 0,
        high: int = 10**12,
    ) -> int:
        """Return a whole number from ``low`` to ``high``."""
        value = self.number(key, default, low, high)
        if value != int(value):
            self.add_finding(
                key, 'not_whole', f'{value} is not a whole number'
            )
        return int(value)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """Return a boolean, given as yes, no, true or false."""
        fallback = None if default is None else ('yes' if default else 'no')
        text = self.text(key, fallback).lower()
        if text and text not in _FLAGS:
            self.add_finding(
                key, 'not_a_flag', f'{text!r} is neither yes nor no'
            )
        return _FLAGS.get(text, False)

    def choice(
        self, key: str, options: tuple[str, ...], default: str | None = None
    ) -> str:
        """Return a value, which should be one of the options."""
        text = self.text(key, default)
        if text and text not in options:
            choices = ', '.join(options)
            self.add_finding(
                key, 'not_an_option', f'{text!r} is not of {choices}'
            )
        return text

    def address(self, key: str, default: str | None = None) -> Address | None:
        """Return an address; None if it is empty or invalid."""
        text = self.text(key, default)
        if not text:
            return None
        try:
            return parse_address(text)
        except ValueError as error:
            self.add_finding(key, 'not_an_address', f'{text!r}: {error}')
            return None

    def names(self, key: str) -> tuple[str, ...]:
        """Return the names of a comma-separated list, none if it is absent.

        A list that is there without a name has a finding.
        """
        parts = [n.strip() for n in self.text(key, '').split(',')]
        names = tuple(n for n in parts if n)
        if key in self._values and not names:
            self.add_finding(key, 'missing', 'a list needs a name')
        return names

    def digest(self, key: str) -> str:
        """Return a SHA-256 digest in lower-case hexadecimal."""
        text = self.text(key)
        if text and not _DIGEST.fullmatch(text):
            self.add_finding(
                key, 'not_a_digest', 'wanted 64 hexadecimal digits'
            )
        return text

    def instant(self, key: str) -> float:
        """Return a time in seconds since 1970, given as ISO 8601.

        A time without a time zone is in UTC.
        """
        text = self.text(key)
        try:
            time = datetime.datetime.fromisoformat(text)
        except ValueError:
            if text:
                self.add_finding(
                    key, 'not_a_time', f'{text!r} is not ISO 8601'
                )
            return 0.0
        if time.tzinfo is None:
            time = time.replace(tzinfo=datetime.UTC)
        return time.timestamp()

    def items(self) -> list[tuple[str, str]]:
        """Return all keys and values, and mark them as used."""
        self._used_keys.update(self._values)
        return list(self._values.items())

    def check_keys(self, needs_name: bool = True) -> None:
        """Add findings for unused keys and for the section's name.

        The name is required if ``needs_name`` is set, else not allowed.
        """
        for key in self._values.keys() - self._used_keys:
            self.add_finding(key, 'unknown_key', 'nothing reads this key')
        if needs_name and not _NAME.fullmatch(self.name):
            self.add_finding('', 'bad_name', f'{self.name!r} is no valid name')
        if not needs_name and self.name:
            self.add_finding('', 'bad_name', 'this section takes no name')


def _index_lines(
    text: str, file: str, collector: FindingCollector
) -> dict[str, dict[str, int]]:
    lines_by_section: dict[str, dict[str, int]] = {}
    section = ''
    for line_number, line in enumerate(text.splitlines(), 1):
        header = configparser.ConfigParser.SECTCRE.match(line)
        if header is not None:
            section = header['header']
            if section in lines_by_section:
                location = Location(file, line_number, section, '')
                collector.add(location, 'duplicate', 'section stands twice')
            lines_by_section.setdefault(section, {'': line_number})
            continue
        option = configparser.ConfigParser.OPTCRE.match(line)
        if option is None or line[:1] in ' \t#;' or not section:
            continue
        key = option['option'].strip().lower()
        if key in lines_by_section[section]:
            location = Location(file, line_number, section, key)
            collector.add(location, 'duplicate', 'key stands twice')
        lines_by_section[section].setdefault(key, line_number)
    return lines_by_section


def read_sections(
    text: str, file: str, collector: FindingCollector
) -> list[Section]:
    """Parse INI text into sections.

    Adds findings for syntax errors and for repeated sections and keys.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=False,
        default_section='\0',
        inline_comment_prefixes=(';',),
    )
    try:
        parser.read_string(text, file)
    except configparser.MissingSectionHeaderError as error:
        location = Location(file, error.lineno, '', '')
        collector.add(location, 'no_section', 'text before any section')
        return []
    except configparser.ParsingError as error:
        for number, line in error.errors:
            location = Location(file, number, '', '')
            collector.add(location, 'unreadable', f'cannot read {line}')
        return []
    except (configparser.Error, AttributeError) as error:
        location = Location(file, 1, '', '')
        collector.add(location, 'unreadable', str(error))
        return []
    lines_by_section = _index_lines(text, file, collector)
    return [
        Section(
            header,
            dict(parser.items(header)),
            lines_by_section.get(header, {'': 1}),
            file,
            collector,
        )
        for header in parser.sections()
    ]


__all__ = ['Address', 'parse_address', 'read_sections', 'Section']
