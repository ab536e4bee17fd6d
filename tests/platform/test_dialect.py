"""Headers of callers and targets are read whatever their bytes are."""

from __future__ import annotations

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from lentilrun.platform import dialect
from lentilrun.platform.dialect import ForwardedHeaders
import pytest
from tornado.httputil import HTTPHeaders

# Headers are decoded as Latin-1; the HTTP parser strips their values and
# rejects control characters.
_TEXT = st.text(
    st.characters(
        min_codepoint=32, max_codepoint=255, exclude_characters='\x7f'
    ),
    max_size=40,
)
_NUMBERS = st.integers(0, 10**30).map(str) | st.sampled_from(
    ['', '-1', '+1', '1_000', '1 000', '1e9', 'nan', '²', '9' * 5000]
)
_VALUES = (_TEXT | _NUMBERS).map(lambda text: text.strip(' '))
_PAIRS = st.lists(
    st.tuples(_TEXT, _NUMBERS).map(':'.join) | _VALUES, max_size=4
).map(lambda items: ','.join(items).strip(' '))
_CALLER_HEADERS = st.fixed_dictionaries(
    {},
    optional={
        'X-Request-Id': _VALUES,
        'Host': _VALUES,
        'Api-Key': _VALUES,
        'X-Deadline-Ms': _VALUES,
        'X-Model': _VALUES,
        'X-Token-Usage': _PAIRS,
        'X-Prefix-Hash': _PAIRS,
        'Last-Event-Id': _VALUES,
        'Connection': _PAIRS,
    },
)
_TARGET_HEADERS = st.fixed_dictionaries(
    {},
    optional={
        'X-Request-Id': _VALUES,
        'X-Instance-Id': _VALUES,
        'X-Weight-Versions': _VALUES,
        'X-Not-Executed': _VALUES,
        'Server-Limit': _VALUES,
        'X-Response-Signature': _VALUES,
        'Content-Type': _VALUES,
        'Content-Encoding': _VALUES,
        'Connection': _PAIRS,
    },
)
_FORWARDED = ForwardedHeaders('', 1.0, 'i-1', 0, 1, '1', None, None)
_MAX_NUMBER = 10**18


@given(_CALLER_HEADERS)
@example({'X-Deadline-Ms': '9' * 5000})
@example({'X-Token-Usage': '9' * 5000 + ',1'})
@example({'X-Token-Usage': '1,1', 'X-Prefix-Hash': 'aa:' + '9' * 5000})
@example({'Last-Event-Id': '9' * 5000})
def test_caller_headers(values: dict[str, str]) -> None:
    """Malformed values count as absent, and the request is forwarded."""
    headers = HTTPHeaders(values)
    caller = dialect.read_caller_headers(headers)
    assert 0 <= caller.last_event_id < _MAX_NUMBER
    if caller.client_timeout is not None:
        assert 0 <= caller.client_timeout < _MAX_NUMBER
    if caller.prompt is not None:
        numbers = [s.tokens for s in caller.prompt.segments]
        numbers += [caller.prompt.input_tokens, caller.prompt.output_tokens]
        assert all(0 <= n < _MAX_NUMBER for n in numbers)
    forwarded = dialect.make_forwarded_headers(headers, _FORWARDED)
    assert forwarded['X-Expected-Instance'] == 'i-1'
    assert 'Api-Key' not in forwarded


@pytest.mark.parametrize(
    ('count', 'tokens', 'expected_count', 'expected_tokens'),
    [
        (0, 7, 0, 0),
        (1, 7, 1, 7),
        (256, 7, 256, 7 * 256),
        (257, 7, 256, 7 * 257),
        (1300, 1, 256, 1300),
        (300, 10**18 - 1, 256, 256 * (10**18 - 1)),
    ],
)
def test_segments_of_a_prompt(
    count: int, tokens: int, expected_count: int, expected_tokens: int
) -> None:
    """Guards against many segments, each of which takes memory.

    Those that are left out count as the request's own, and all sums fit
    into messages between VMs.
    """
    text = ','.join(f'{n:x}:{tokens}' for n in range(count))
    headers = HTTPHeaders({'X-Token-Usage': '9,1', 'X-Prefix-Hash': text})
    prompt = dialect.read_caller_headers(headers).prompt
    assert prompt is not None
    segments = prompt.segments
    assert len(segments) == expected_count
    assert sum(s.tokens for s in segments) == expected_tokens
    assert all(s.tokens < _MAX_NUMBER for s in segments)
    if count:
        assert segments[-1].identity == f'{count - 1:x}'
        assert segments[0].identity == '0'


@pytest.mark.parametrize('length', [1, 64, 65, 16_000])
def test_identities_of_segments(length: int) -> None:
    """Guards against long identities, each of which takes memory."""
    pair = ['a' * length, 'a' * (length - 1) + 'b']
    text = ','.join(f'{identity}:1' for identity in (*pair, pair[0]))
    headers = HTTPHeaders({'X-Token-Usage': '9,1', 'X-Prefix-Hash': text})
    prompt = dialect.read_caller_headers(headers).prompt
    assert prompt is not None
    first, second, repeated = (s.identity for s in prompt.segments)
    assert first == repeated != second
    assert max(len(first), len(second)) <= 64


@given(st.integers(0, 999), _TARGET_HEADERS)
@example(200, {'X-Weight-Versions': '9' * 5000})
@example(200, {'Server-Limit': '9' * 5000})
def test_target_headers(status: int, values: dict[str, str]) -> None:
    """Malformed values of a target's response count as absent."""
    headers = HTTPHeaders(values)
    head = dialect.read_response_head(status, headers)
    assert head.weights_version is None or head.weights_version < _MAX_NUMBER
    assert head.rate_limit is None or 0.0 <= head.rate_limit <= _MAX_NUMBER
    assert head.is_signed == ('X-Response-Signature' in values)
    dialect.is_response_to(headers, 'r')
    dialect.make_response_headers(headers)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('1', 1.0),
        ('1.1', 1.1),
        ('0.25', 0.25),
        (' 12. ', 12.0),
        ('.5', 0.5),
        ('0', 0.0),
        ('', None),
        ('.', None),
        ('-1', None),
        ('1e3', None),
        ('nan', None),
        ('inf', None),
        ('1, 2', None),
    ],
)
def test_rate_limit(text: str, expected: float | None) -> None:
    """A limit is a decimal number; a malformed one counts as absent."""
    headers = HTTPHeaders({'Server-Limit': text})
    assert dialect.read_response_head(200, headers).rate_limit == expected


@pytest.mark.parametrize(
    'name',
    ['X-Request-Id', 'X-Model', 'X-Token-Usage', 'X-Prefix-Hash', 'X-Own'],
)
def test_headers_that_connection_lists(name: str) -> None:
    """Only those that concern no target are left out."""
    headers = HTTPHeaders({name: '1', 'Connection': f'close, {name}'})
    forwarded = dialect.make_forwarded_headers(headers, _FORWARDED)
    assert (name in forwarded) is (name != 'X-Own')


def test_signature_that_connection_lists() -> None:
    """The caller gets it, as it proves that the response is the target's."""
    headers = HTTPHeaders(
        {
            'X-Response-Signature': 's',
            'Connection': 'close, X-Response-Signature',
        }
    )
    assert 'X-Response-Signature' in dialect.make_response_headers(headers)
