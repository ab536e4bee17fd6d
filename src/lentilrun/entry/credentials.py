"""Callers' keys: extraction, lookup by digest, and stripping."""

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
_DROPPED_HEADERS = frozenset(
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
_INTERNAL_HEADERS = (
    'x-request-id',
    'x-attempt-id',
    'x-workspace',
    'x-cache-salt',
    'x-priority',
    'x-timeout',
)


class StrippedRequest(NamedTuple):
    """A request's path with query, and its headers, without any key."""

    path: str
    headers: dict[str, str]


def digest_key(secret: str) -> str:
    """Return the SHA-256 digest, in hex, under which a key is declared."""
    return hashlib.sha256(secret.encode()).hexdigest()


def _find_argument(query: str) -> str:
    for name, value in parse_qsl(query):
        if name.lower() in _KEY_ARGUMENTS:
            return value
    return ''


def find_secret(headers: HTTPHeaders, query: str) -> str:
    """Return the key in a request's headers or query, or an empty text."""
    bearer = headers.get('Authorization', '')
    if bearer.lower().startswith(_BEARER):
        return bearer[len(_BEARER) :].strip()
    for name in _KEY_HEADERS:
        if name in headers:
            return headers[name].strip()
    return _find_argument(query)


def find_key(configuration: Configuration, digest: str) -> Key | None:
    """Return the declared key with a digest, or nothing."""
    key = configuration.keys.get(digest)
    if key is None or not hmac.compare_digest(key.digest, digest):
        return None
    return key


def strip_credentials(
    path: str, query: str, headers: HTTPHeaders, secret: str
) -> StrippedRequest:
    """Return the path and headers that are sent to a target.

    Left out are hop-by-hop headers, cookies, headers that the router
    sets, and headers and arguments that are meant for keys or contain
    ``secret``.
    """
    arguments = [
        (name, value)
        for name, value in parse_qsl(query, keep_blank_values=True)
        if name.lower() not in _KEY_ARGUMENTS
        and (not secret or secret not in value)
    ]
    forwarded: dict[str, str] = {}
    for name, value in headers.get_all():
        lower_name = name.lower()
        if lower_name in _DROPPED_HEADERS or lower_name in _INTERNAL_HEADERS:
            continue
        if secret and secret in value:
            continue
        forwarded[name] = value
    query_suffix = f'?{urlencode(arguments)}' if arguments else ''
    return StrippedRequest(path + query_suffix, forwarded)


__all__ = [
    'digest_key',
    'find_key',
    'find_secret',
    'strip_credentials',
    'StrippedRequest',
]
