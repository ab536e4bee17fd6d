"""Reading of INI text into sections that know their lines."""

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
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Read ``host:port``; raises ``ValueError`` unless host is an IP."""
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 < number <= _MAX_PORT:
        raise ValueError(f'port {number} is out of range')
    return Address(host, number)


class Section:
    """One section: typed readers that note findings instead of raising."""

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
        self._used: set[str] = set()

    def location(self, key: str = '') -> Location:
        """Return the place of a key, or of the header without one."""
        line = self._lines.get(key, self._lines[''])
        return Location(self._file, line, self.header, key)

    def add_finding(self, key: str, code: str, message: str) -> None:
        """Note a finding at a key of this section."""
        self._collector.add(self.location(key), code, message)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a value; without a default the key is required."""
        self._used.add(key)
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
        """Return a finite number within ``low`` and ``high``."""
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
        """Return a whole number within ``low`` and ``high``."""
        value = self.number(key, default, low, high)
        if value != int(value):
            self.add_finding(
                key, 'not_whole', f'{value} is not a whole number'
            )
        return int(value)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """Return yes or no."""
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
        """Return one of the options."""
        text = self.text(key, default)
        if text and text not in options:
            wanted = ', '.join(options)
            self.add_finding(
                key, 'not_an_option', f'{text!r} is not of {wanted}'
            )
        return text

    def address(self, key: str, default: str | None = None) -> Address | None:
        """Return an IP number with a port, or nothing if left empty."""
        text = self.text(key, default)
        if not text:
            return None
        try:
            return parse_address(text)
        except ValueError as error:
            self.add_finding(key, 'not_an_address', f'{text!r}: {error}')
            return None

    def names(self, key: str) -> tuple[str, ...]:
        """Return a list of names parted by commas."""
        parts = [p.strip() for p in self.text(key, '').split(',')]
        return tuple(p for p in parts if p)

    def digest(self, key: str) -> str:
        """Return a SHA-256 digest in hexadecimal."""
        text = self.text(key)
        if text and not _DIGEST.fullmatch(text):
            self.add_finding(
                key, 'not_a_digest', 'wanted 64 hexadecimal digits'
            )
        return text

    def instant(self, key: str) -> float:
        """Return a time in seconds since 1970, given as ISO 8601."""
        text = self.text(key)
        try:
            moment = datetime.datetime.fromisoformat(text)
        except ValueError:
            if text:
                self.add_finding(
                    key, 'not_a_time', f'{text!r} is not ISO 8601'
                )
            return 0.0
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=datetime.UTC)
        return moment.timestamp()

    def items(self) -> list[tuple[str, str]]:
        """Return all keys and values, marking them as used."""
        self._used.update(self._values)
        return list(self._values.items())

    def check_keys(self, named: bool = True) -> None:
        """Note keys that nothing read, and a missing or bad name."""
        for key in self._values.keys() - self._used:
            self.add_finding(key, 'unknown_key', 'nothing reads this key')
        if named and not _NAME.fullmatch(self.name):
            self.add_finding('', 'bad_name', f'{self.name!r} is no valid name')
        if not named and self.name:
            self.add_finding('', 'bad_name', 'this section takes no name')


def _index(
    text: str, file: str, collector: FindingCollector
) -> dict[str, dict[str, int]]:
    lines: dict[str, dict[str, int]] = {}
    section = ''
    for number, line in enumerate(text.splitlines(), 1):
        header = configparser.ConfigParser.SECTCRE.match(line)
        if header is not None:
            section = header['header']
            if section in lines:
                place = Location(file, number, section, '')
                collector.add(place, 'duplicate', 'section stands twice')
            lines.setdefault(section, {'': number})
            continue
        option = configparser.ConfigParser.OPTCRE.match(line)
        if option is None or line[:1] in ' \t#;' or not section:
            continue
        key = option['option'].strip().lower()
        if key in lines[section]:
            place = Location(file, number, section, key)
            collector.add(place, 'duplicate', 'key stands twice')
        lines[section].setdefault(key, number)
    return lines


def read_sections(
    text: str, file: str, collector: FindingCollector
) -> list[Section]:
    """Split INI text into its sections; notes what cannot be read."""
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=False,
        default_section='\0',
        inline_comment_prefixes=(';',),
    )
    try:
        parser.read_string(text, file)
    except configparser.MissingSectionHeaderError as error:
        place = Location(file, error.lineno, '', '')
        collector.add(place, 'no_section', 'text before any section')
        return []
    except configparser.ParsingError as error:
        for number, line in error.errors:
            place = Location(file, number, '', '')
            collector.add(place, 'unreadable', f'cannot read {line}')
        return []
    except (configparser.Error, AttributeError) as error:
        place = Location(file, 1, '', '')
        collector.add(place, 'unreadable', str(error))
        return []
    lines = _index(text, file, collector)
    return [
        Section(
            header,
            dict(parser.items(header)),
            lines.get(header, {'': 1}),
            file,
            collector,
        )
        for header in parser.sections()
    ]


__all__ = ['Address', 'parse_address', 'read_sections', 'Section']
