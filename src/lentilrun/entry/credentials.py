"""Callers' keys: found, compared by digest, and kept from targets."""

from __future__ import annotations

import hashlib
import hmac
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl
from urllib.parse import urlencode

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from ..config.configuration import Configuration
    from ..config.configuration import Key

_KEY_HEADERS = ('x-api-key', 'api-key')
_KEY_ARGUMENTS = ('key', 'api_key', 'api-key', 'access_token')
_BEARER = 'bearer '
_DROPPED = frozenset(
    (
        'authorization',
        'proxy-authorization',
        'connection',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'expect',
        'accept-encoding',
        'cookie',
        'last-event-id',
        *_KEY_HEADERS,
    )
)
_INTERNAL = (
    'x-request-id',
    'x-attempt-id',
    'x-workspace',
    'x-cache-salt',
    'x-priority',
    'x-timeout',
)


class StrippedRequest(NamedTuple):
    """A request's path and headers without any key."""

    path: str
    headers: dict[str, str]


def digest_key(secret: str) -> str:
    """Return the digest under which a key is declared."""
    return hashlib.sha256(secret.encode()).hexdigest()


def _find_argument(query: str) -> str:
    for name, value in parse_qsl(query):
        if name.lower() in _KEY_ARGUMENTS:
            return value
    return ''


def find_secret(headers: HTTPHeaders, query: str) -> str:
    """Return the key that a request carries, or nothing."""
    bearer = headers.get('Authorization', '')
    if bearer.lower().startswith(_BEARER):
        return bearer[len(_BEARER) :].strip()
    for name in _KEY_HEADERS:
        if name in headers:
            return headers[name].strip()
    return _find_argument(query)


def find_key(configuration: Configuration, digest: str) -> Key | None:
    """Return the declared key with a digest."""
    key = configuration.keys.get(digest)
    if key is None or not hmac.compare_digest(key.digest, digest):
        return None
    return key


def strip_credentials(
    path: str, query: str, headers: HTTPHeaders, secret: str
) -> StrippedRequest:
    """Return what a target may see of a request's path and headers."""
    arguments = [
        (name, value)
        for name, value in parse_qsl(query, keep_blank_values=True)
        if name.lower() not in _KEY_ARGUMENTS
        and (not secret or secret not in value)
    ]
    kept: dict[str, str] = {}
    for name, value in headers.get_all():
        lowered = name.lower()
        if lowered in _DROPPED or lowered in _INTERNAL:
            continue
        if secret and secret in value:
            continue
        kept[name] = value
    tail = f'?{urlencode(arguments)}' if arguments else ''
    return StrippedRequest(path + tail, kept)


__all__ = [
    'digest_key',
    'find_key',
    'find_secret',
    'strip_credentials',
    'StrippedRequest',
]
