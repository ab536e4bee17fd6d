"""Reads and makes the HTTP headers of the platform's callers and targets."""

from __future__ import annotations

import hashlib
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from ..decisions.facts import Prompt
from ..decisions.facts import PromptSegment
from ..web.numbers import MAX_NUMBER
from ..web.numbers import parse_decimal
from ..web.numbers import parse_number

if TYPE_CHECKING:
    from ..config.ini import Address

_REQUEST_ID = 'X-Request-Id'
_DEADLINE_MS = 'X-Deadline-Ms'
_API_KEY = 'Api-Key'
_MODEL = 'X-Model'
_TOKEN_USAGE = 'X-Token-Usage'
_PREFIX_SEGMENTS = 'X-Prefix-Hash'
_LAST_EVENT_ID = 'Last-Event-Id'
_SIGNATURE = 'X-Response-Signature'
_NOT_EXECUTED = 'X-Not-Executed'
_INCARNATION = 'X-Instance-Id'
_WEIGHTS_VERSION = 'X-Weight-Versions'
_RATE_LIMIT = 'Server-Limit'
_REJECTION_LIMIT = 'Server-Brittle'
_LEAVING = 'Server-Leaving'
_IS_LEAVING = '1'
_WORKSPACE = 'X-Tenant-Id'
_CACHE_SALT = 'X-Cache-Salt'
_FETCH_FROM = 'X-Kv-Fetch-From'
_SAVE_TO = 'X-Kv-Save-To'
EXPECTED_INCARNATION = 'X-Expected-Instance'
_EXPECTED_WEIGHTS_VERSION = 'X-Expected-Version'
_URGENCY = 'X-Request-Priority'
_RETRY_AFTER = 'Retry-After'
_EVENT_STREAM_TYPE = 'text/event-stream'
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
_MAX_URGENCY = 9
# More segments of a prompt are counted as its own, which nobody shares.
_MAX_SEGMENTS = 256
# Longer identities are replaced by digests, in characters.
_MAX_IDENTITY_LENGTH = 64
_DIGEST_BYTES = 16

_HOP_BY_HOP_HEADERS = frozenset(
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
# Headers for callers and targets, which stay although Connection lists them:
# without them, a target ran another request or a response seemed foreign.
_END_TO_END_HEADERS = frozenset(
    (
        'content-encoding',
        'content-type',
        'last-event-id',
        'x-length-hint',
        'x-model',
        'x-prefix-hash',
        'x-request-id',
        'x-response-signature',
        'x-token-usage',
        'x-weight-versions',
    )
)
# Headers that only the router may send to a target; those of callers are
# removed.
_RESERVED_HEADERS = frozenset(
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
    """The values of a caller's request headers.

    ``client_timeout`` is the time for which the caller waits, in seconds.
    ``prompt`` is nothing unless the caller states its tokens.
    ``last_event_id`` is the last event of a stream that the caller has
    received, 0 if it has received none.
    """

    request_id: str
    host: str
    api_key: str
    client_timeout: float | None
    prompt: Prompt | None
    last_event_id: int


class ForwardedHeaders(NamedTuple):
    """The values of the headers that the router adds for a target.

    ``time_left`` is the time until the deadline, in seconds.
    ``incarnation`` and ``weights_version`` are those that the target must
    have; ``weights_version`` is nothing for services that run no model.
    ``salt`` separates the cached prompts of weights versions and of isolated
    workspaces; it is empty for such services. ``fetch_from`` and
    ``save_to`` are the addresses that stored KV cache is read from and
    written to.
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
    """The status and header values of a target's response.

    ``not_run`` is set if the target states that the request has not run,
    ``misdirected`` if the request expected another incarnation or weights
    version. ``is_signed`` is set if the service itself made the response.
    ``rate_limit`` is the number of requests per second that the target takes
    from all VMs together, nothing if it states no limit. ``rejection_limit``
    is the number of rejections per second for want of room that it bears
    before it crashes, nothing if it does not state that it would. A target
    that ``is_leaving`` wants no more requests. A target that did not run the
    request may want none from this VM for ``rest`` seconds.
    """

    status: int
    incarnation: str
    weights_version: int | None
    not_run: bool
    misdirected: bool
    is_signed: bool
    is_encoded: bool
    is_stream: bool
    rate_limit: float | None
    rejection_limit: float | None
    is_leaving: bool
    rest: float | None


def _parse_segments(text: str) -> tuple[PromptSegment, ...]:
    segments = []
    for item in text.split(','):
        identity, _, text = item.strip().partition(':')
        tokens = parse_number(text)
        if identity and tokens is not None:
            identity = _shorten_identity(identity)
            segments.append(PromptSegment(identity, tokens))
    return _merge_last(segments)


def _shorten_identity(identity: str) -> str:
    """Return an identity of bounded length, unique for the given one."""
    if len(identity) <= _MAX_IDENTITY_LENGTH:
        return identity
    digest = hashlib.blake2b(identity.encode(), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


def _merge_last(segments: list[PromptSegment]) -> tuple[PromptSegment, ...]:
    """Return a bounded number of segments with the same tokens in all."""
    if len(segments) <= _MAX_SEGMENTS:
        return tuple(segments)
    first = segments[: _MAX_SEGMENTS - 1]
    own_tokens = sum(s.tokens for s in segments[_MAX_SEGMENTS - 1 :])
    own_tokens = min(MAX_NUMBER, own_tokens)
    return (*first, PromptSegment(segments[-1].identity, own_tokens))


def _read_prompt(headers: HTTPHeaders) -> Prompt | None:
    token_usage = headers.get(_TOKEN_USAGE)
    if token_usage is None:
        return None
    input_tokens, _, output_tokens = token_usage.partition(',')
    return Prompt(
        headers.get(_MODEL, ''),
        parse_number(input_tokens) or 0,
        parse_number(output_tokens) or 0,
        _parse_segments(headers.get(_PREFIX_SEGMENTS, '')),
    )


def read_request_id(headers: HTTPHeaders) -> str:
    """Return the ID of a caller's request, empty if it has none."""
    return headers.get(_REQUEST_ID, '')


def read_api_key(headers: HTTPHeaders) -> str:
    """Return the API key of a caller's request, empty if it has none."""
    return headers.get(_API_KEY, '')


def read_caller_headers(headers: HTTPHeaders) -> CallerHeaders:
    """Return the values of a caller's headers.

    Malformed values count as absent.
    """
    timeout_ms = parse_number(headers.get(_DEADLINE_MS))
    return CallerHeaders(
        read_request_id(headers),
        headers.get('Host', '').lower(),
        read_api_key(headers),
        None if timeout_ms is None else timeout_ms / 1e3,
        _read_prompt(headers),
        parse_number(headers.get(_LAST_EVENT_ID)) or 0,
    )


def make_caller_headers(
    request_id: str, host: str, model: str, tokens: str, segments: str
) -> HTTPHeaders:
    """Return the headers of a caller's request; empty values are left out."""
    values = {
        _REQUEST_ID: request_id,
        'Host': host,
        _MODEL: model,
        _TOKEN_USAGE: tokens,
        _PREFIX_SEGMENTS: segments,
    }
    return HTTPHeaders({n: v for n, v in values.items() if v})


def set_api_key(headers: HTTPHeaders, key: str) -> None:
    """Set the API key in the headers of a caller's request."""
    headers[_API_KEY] = key


def _copy_headers(
    headers: HTTPHeaders, excluded: frozenset[str]
) -> HTTPHeaders:
    """Copy headers, except excluded ones and those that Connection lists."""
    connection_options = headers.get('Connection', '').lower().split(',')
    listed = {o.strip() for o in connection_options}
    dropped = excluded | (listed - _END_TO_END_HEADERS)
    copied = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            copied.add(name, value)
    return copied


def make_forwarded_headers(
    caller_headers: HTTPHeaders, forwarded: ForwardedHeaders
) -> HTTPHeaders:
    """Return the headers of a request to a target."""
    headers = _copy_headers(
        caller_headers, _HOP_BY_HOP_HEADERS | _RESERVED_HEADERS
    )
    headers[_DEADLINE_MS] = str(max(1, int(forwarded.time_left * 1e3)))
    headers[EXPECTED_INCARNATION] = forwarded.incarnation
    if forwarded.workspace:
        headers[_WORKSPACE] = forwarded.workspace
    if forwarded.weights_version is not None:
        headers[_EXPECTED_WEIGHTS_VERSION] = str(forwarded.weights_version)
        headers[_URGENCY] = str(min(_MAX_URGENCY, forwarded.urgency))
    if forwarded.salt:
        headers[_CACHE_SALT] = forwarded.salt
    if forwarded.fetch_from is not None:
        headers[_FETCH_FROM] = str(forwarded.fetch_from)
    if forwarded.save_to is not None:
        headers[_SAVE_TO] = str(forwarded.save_to)
    return headers


def make_peer_headers(caller_headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a caller's request that another VM passes on.

    That VM checks the API key and sets the headers for the target.
    """
    return _copy_headers(caller_headers, _HOP_BY_HOP_HEADERS)


def resume_after(headers: HTTPHeaders, event_id: int) -> None:
    """Make a request's headers ask for the events after ``event_id``."""
    headers[_LAST_EVENT_ID] = str(event_id)


def is_response_to(headers: HTTPHeaders, request_id: str) -> bool:
    """Return whether a response belongs to a request.

    A response without a request ID counts as belonging to it.
    """
    return headers.get(_REQUEST_ID, request_id) == request_id


def has_request_id(headers: HTTPHeaders) -> bool:
    """Return whether a response states its request's ID."""
    return _REQUEST_ID in headers


def read_response_head(status: int, headers: HTTPHeaders) -> ResponseHead:
    """Return the status and header values of a target's response."""
    misdirected = status == _MISDIRECTED_STATUS
    content_type = headers.get('Content-Type', '')
    return ResponseHead(
        status,
        headers.get(_INCARNATION, ''),
        parse_number(headers.get(_WEIGHTS_VERSION)),
        misdirected or _NOT_EXECUTED in headers,
        misdirected,
        _SIGNATURE in headers,
        'Content-Encoding' in headers,
        content_type.startswith(_EVENT_STREAM_TYPE),
        parse_decimal(headers.get(_RATE_LIMIT)),
        parse_decimal(headers.get(_REJECTION_LIMIT)),
        headers.get(_LEAVING, '').strip() == _IS_LEAVING,
        read_retry_after(headers) if status == _UNAVAILABLE_STATUS else None,
    )


def read_retry_after(headers: HTTPHeaders) -> float | None:
    """Return after how many seconds a sender wants to be asked again."""
    return parse_decimal(headers.get(_RETRY_AFTER))


def make_response_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a target's response, for the caller."""
    return _copy_headers(headers, _HOP_BY_HOP_HEADERS)


def make_refusal_headers(
    request_id: str, retry_after: float | None
) -> HTTPHeaders:
    """Return the headers of a refusal that the router itself sends.

    ``retry_after`` is in seconds; fractions are sent too.
    """
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
    'has_request_id',
    'is_response_to',
    'make_caller_headers',
    'make_forwarded_headers',
    'make_peer_headers',
    'make_refusal_headers',
    'make_response_headers',
    'read_api_key',
    'read_caller_headers',
    'read_request_id',
    'read_response_head',
    'read_retry_after',
    'ResponseHead',
    'resume_after',
    'set_api_key',
]
