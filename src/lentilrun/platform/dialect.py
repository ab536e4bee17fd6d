"""Headers as callers and targets of the users' platform spell them."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from ..decisions.facts import Prompt
from ..decisions.facts import PromptSegment

if TYPE_CHECKING:
    from ..config.ini import Address

_REQUEST_ID = 'X-Request-Id'
_DEADLINE = 'X-Deadline-Ms'
_KEY = 'Api-Key'
_MODEL = 'X-Model'
_TOKENS = 'X-Token-Usage'
_PARTS = 'X-Prefix-Hash'
_LAST_EVENT = 'Last-Event-Id'
_SIGNATURE = 'X-Response-Signature'
_NOT_EXECUTED = 'X-Not-Executed'
_INCARNATION = 'X-Instance-Id'
_WEIGHTS = 'X-Weight-Versions'
_WORKSPACE = 'X-Tenant-Id'
_SALT = 'X-Cache-Salt'
_FETCH_FROM = 'X-Kv-Fetch-From'
_SAVE_TO = 'X-Kv-Save-To'
EXPECTED_INCARNATION = 'X-Expected-Instance'
_EXPECTED_WEIGHTS = 'X-Expected-Version'
_URGENCY = 'X-Request-Priority'
_RETRY_AFTER = 'Retry-After'
_EVENT_STREAM = 'text/event-stream'
_MISDIRECTED = 421
_MAX_URGENCY = 9

_SINGLE_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# What only the router may tell a target.
_RESERVED = frozenset(
    (
        'api-key',
        'kv-from',
        'x-cache-salt',
        'x-deadline-ms',
        'x-expected-instance',
        'x-expected-version',
        'x-kv-backup',
        'x-kv-fetch-from',
        'x-kv-hold',
        'x-kv-save-to',
        'x-pin-ms',
        'x-request-priority',
        'x-tenant-id',
    )
)


class CallerHeaders(NamedTuple):
    """What the headers of a caller's request say.

    ``client_timeout`` is the time for which the caller waits, in seconds, and
    ``last_event_id`` the last event of a stream that it has seen.
    """

    request_id: str
    host: str
    api_key: str
    client_timeout: float | None
    prompt: Prompt | None
    last_event_id: int


class ForwardedHeaders(NamedTuple):
    """What a target is told with a request.

    ``time_left`` is the time until the deadline, in seconds.
    ``weights_version`` must be loaded; it is nothing for plain services.
    ``fetch_from`` and ``save_to`` name where kept KV cache is.
    """

    workspace: str
    time_left: float
    incarnation: str
    urgency: int
    weights_version: int | None
    salt: str
    fetch_from: Address | None
    save_to: Address | None


class ResponseHead(NamedTuple):
    """What the head of a target's answer says.

    ``not_run`` is set if the target states that the request has not run,
    ``misdirected`` if another incarnation or version was expected.
    ``is_signed`` is set on answers that the service itself gave.
    """

    status: int
    incarnation: str
    weights_version: int | None
    not_run: bool
    misdirected: bool
    is_signed: bool
    is_encoded: bool
    is_stream: bool


def _read_int(text: str | None) -> int | None:
    if text is None or not text.strip().isdecimal():
        return None
    return int(text)


def _read_parts(text: str) -> tuple[PromptSegment, ...]:
    parts = []
    for entry in text.split(','):
        identity, _, tokens = entry.strip().partition(':')
        if identity and tokens.isdecimal():
            parts.append(PromptSegment(identity, int(tokens)))
    return tuple(parts)


def _read_prompt(headers: HTTPHeaders) -> Prompt | None:
    usage = headers.get(_TOKENS)
    if usage is None:
        return None
    first, _, second = usage.partition(',')
    return Prompt(
        headers.get(_MODEL, ''),
        _read_int(first) or 0,
        _read_int(second) or 0,
        _read_parts(headers.get(_PARTS, '')),
    )


def read_caller_headers(headers: HTTPHeaders) -> CallerHeaders:
    """Return what a caller's headers say; odd values count as absent."""
    patience = _read_int(headers.get(_DEADLINE))
    return CallerHeaders(
        headers.get(_REQUEST_ID, ''),
        headers.get('Host', '').lower(),
        headers.get(_KEY, ''),
        None if patience is None else patience / 1e3,
        _read_prompt(headers),
        _read_int(headers.get(_LAST_EVENT)) or 0,
    )


def _copy(headers: HTTPHeaders, left_out: frozenset[str]) -> HTTPHeaders:
    named = headers.get('Connection', '').lower().split(',')
    dropped = left_out | {n.strip() for n in named}
    copied = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            copied.add(name, value)
    return copied


def make_forwarded_headers(
    asked: HTTPHeaders, passing: ForwardedHeaders
) -> HTTPHeaders:
    """Return the headers that a target gets."""
    headers = _copy(asked, _SINGLE_HOP | _RESERVED)
    headers[_DEADLINE] = str(max(1, int(passing.time_left * 1e3)))
    headers[EXPECTED_INCARNATION] = passing.incarnation
    if passing.workspace:
        headers[_WORKSPACE] = passing.workspace
    if passing.weights_version is not None:
        headers[_EXPECTED_WEIGHTS] = str(passing.weights_version)
        headers[_SALT] = passing.salt
        headers[_URGENCY] = str(min(_MAX_URGENCY, passing.urgency))
    if passing.fetch_from is not None:
        headers[_FETCH_FROM] = str(passing.fetch_from)
    if passing.save_to is not None:
        headers[_SAVE_TO] = str(passing.save_to)
    return headers


def resume_after(headers: HTTPHeaders, event: int) -> None:
    """Ask a target to go on after an event."""
    headers[_LAST_EVENT] = str(event)


def is_response_to(headers: HTTPHeaders, request_id: str) -> bool:
    """Return whether an answer belongs to a request."""
    return headers.get(_REQUEST_ID, request_id) == request_id


def read_response_head(status: int, headers: HTTPHeaders) -> ResponseHead:
    """Return what the head of a target's answer says."""
    misdirected = status == _MISDIRECTED
    content = headers.get('Content-Type', '')
    return ResponseHead(
        status,
        headers.get(_INCARNATION, ''),
        _read_int(headers.get(_WEIGHTS)),
        misdirected or _NOT_EXECUTED in headers,
        misdirected,
        _SIGNATURE in headers,
        'Content-Encoding' in headers,
        content.startswith(_EVENT_STREAM),
    )


def make_response_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a target's answer for the caller."""
    return _copy(headers, _SINGLE_HOP)


def make_refusal_headers(
    request_id: str, retry_after: float | None
) -> HTTPHeaders:
    """Return the headers of an answer of the router's own."""
    headers = HTTPHeaders({'Content-Type': 'application/json'})
    if request_id:
        headers[_REQUEST_ID] = request_id
    if retry_after is not None:
        headers[_RETRY_AFTER] = f'{retry_after:.3f}'
    return headers


__all__ = [
    'CallerHeaders',
    'EXPECTED_INCARNATION',
    'ForwardedHeaders',
    'is_response_to',
    'make_forwarded_headers',
    'make_refusal_headers',
    'make_response_headers',
    'read_caller_headers',
    'read_response_head',
    'ResponseHead',
    'resume_after',
]
