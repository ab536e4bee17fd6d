"""Parser of a daemon's settings, an INI file."""

from __future__ import annotations

import hashlib
import hmac
import os
import pathlib
from typing import NamedTuple
from typing import TYPE_CHECKING

import zmq

from . import ini
from .findings import FindingCollector
from .findings import Location

if TYPE_CHECKING:
    from .ini import Address
    from .ini import Section

_MIB = 1024 * 1024
_CURVE_KEY_CHARACTERS = 40


class Secrets(NamedTuple):
    """Secrets shared by the fleet; they are never logged or dumped."""

    curve_public: bytes
    curve_secret: bytes
    stream_key: bytes
    operator_token: str


class ListenAddresses(NamedTuple):
    """Addresses that the daemon listens on."""

    callers: Address
    operators: Address
    peers: Address


class PlatformAddresses(NamedTuple):
    """Addresses of the platform's services."""

    tables: Address
    objects: Address
    weights: Address
    vms: Address


class Certificate(NamedTuple):
    """Paths of the certificate and key for TLS with callers."""

    chain: str
    key: str


class Limits(NamedTuple):
    """Limits of a daemon.

    ``max_body_bytes`` limits one body, ``max_held_bytes`` all bodies of
    calls in flight together, ``max_running`` the number of such calls,
    ``remembered_prefixes`` the number of blocks with known placements.
    """

    max_body_bytes: int
    max_running: int
    max_held_bytes: int
    remembered_prefixes: int


class Settings(NamedTuple):
    """All settings of a daemon."""

    name: str
    data_centre: str
    listen: ListenAddresses
    peers: dict[str, Address]
    platform: PlatformAddresses
    secrets: Secrets
    certificate: Certificate | None
    limits: Limits


def _resolve_secret(
    section: Section, key: str, default: str | None = None
) -> str:
    reference = section.text(key, default)
    kind, _, name = reference.partition(':')
    if not reference:
        return ''
    if kind == 'env' and name in os.environ:
        return os.environ[name].strip()
    if kind == 'file':
        try:
            return pathlib.Path(name).read_text(encoding='utf-8').strip()
        except (OSError, ValueError):
            pass
    message = 'no such secret; wanted env:NAME or file:PATH'
    section.add_finding(key, 'no_secret', message)
    return ''


def _read_secrets(section: Section) -> Secrets:
    curve = _resolve_secret(section, 'fleet')
    token = _resolve_secret(section, 'operators', '')
    public = b''
    if curve:
        try:
            public = zmq.curve_public(curve.encode('ascii'))
        except (ValueError, zmq.ZMQError):
            section.add_finding(
                'fleet', 'bad_secret', 'not a CURVE secret key'
            )
        if len(curve) != _CURVE_KEY_CHARACTERS:
            section.add_finding(
                'fleet', 'bad_secret', 'a CURVE key has 40 signs'
            )
    stream_key = hmac.new(curve.encode(), b'streams', hashlib.sha256)
    return Secrets(public, curve.encode(), stream_key.digest(), token)


def _require_address(section: Section, key: str) -> Address:
    address = section.address(key)
    return address or ini.Address('0.0.0.0', 1)


def _read_certificate(section: Section | None) -> Certificate | None:
    if section is None:
        return None
    certificate = Certificate(section.text('certificate'), section.text('key'))
    for key, path in zip(('certificate', 'key'), certificate, strict=True):
        if path and not pathlib.Path(path).is_file():
            section.add_finding(key, 'no_file', 'no such file')
    return certificate


class _SettingsSections:
    """The sections of a settings file, by header."""

    def __init__(self, text: str, file: str) -> None:
        self.collector = FindingCollector()
        self._file = file
        sections = ini.read_sections(text, file, self.collector)
        self._by_header = {s.header: s for s in sections}

    def get(self, header: str) -> Section:
        section = self._by_header.get(header)
        if section is not None:
            return section
        empty: dict[str, int] = {'': 1}
        return ini.Section(header, {}, empty, self._file, self.collector)

    def find(self, header: str) -> Section | None:
        return self._by_header.get(header)

    def check(self, known_headers: tuple[str, ...]) -> None:
        for header, section in self._by_header.items():
            if header in known_headers:
                section.check_keys(needs_name=False)
            else:
                message = 'no such section in the settings'
                section.add_finding('', 'unknown_section', message)
        self.collector.raise_if_any()


_KNOWN_HEADERS = (
    'vm',
    'listen',
    'peers',
    'platform',
    'secrets',
    'tls',
    'limits',
)


def _read_peers(section: Section | None) -> dict[str, Address]:
    if section is None:
        return {}
    addresses = {}
    for name, _ in section.items():
        address = section.address(name)
        if address is not None:
            addresses[name] = address
    return addresses


def parse(text: str, file: str) -> Settings:
    """Parse settings; raises ``InvalidFileError`` with all findings."""
    sections = _SettingsSections(text, file)
    vm = sections.get('vm')
    listen = sections.get('listen')
    platform = sections.get('platform')
    limits = sections.get('limits')
    settings = Settings(
        vm.text('name').lower(),
        vm.text('data_centre'),
        ListenAddresses(
            _require_address(listen, 'callers'),
            _require_address(listen, 'operators'),
            _require_address(listen, 'peers'),
        ),
        _read_peers(sections.find('peers')),
        PlatformAddresses(
            _require_address(platform, 'tables'),
            _require_address(platform, 'objects'),
            _require_address(platform, 'weights'),
            _require_address(platform, 'vms'),
        ),
        _read_secrets(sections.get('secrets')),
        _read_certificate(sections.find('tls')),
        Limits(
            limits.integer('max_body', 16 * _MIB, 1, 1024 * _MIB),
            limits.integer('max_running', 2000, 1, 10**6),
            limits.integer('max_held', 256 * _MIB, 1, 2**40),
            limits.integer('remembered_prefixes', 100_000, 16, 10**7),
        ),
    )
    sections.check(_KNOWN_HEADERS)
    return settings


def load(path: str) -> Settings:
    """Parse a settings file.

    Raises ``InvalidFileError`` with all findings, also if the file cannot
    be read.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        collector = FindingCollector()
        collector.add(Location(path, 1, '', ''), 'unreadable', str(error))
        collector.raise_if_any()
        raise
    return parse(text, path)


__all__ = [
    'Certificate',
    'Limits',
    'ListenAddresses',
    'load',
    'parse',
    'PlatformAddresses',
    'Secrets',
    'Settings',
]
