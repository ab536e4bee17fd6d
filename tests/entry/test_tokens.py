"""Stream tokens, keys and peer messages against arbitrary input."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.config.findings import InvalidFileError
from lentilrun.config import settings as settings_file
from lentilrun.entry import credentials
from lentilrun.entry.relay import StreamState
from lentilrun.entry import streamtokens
from lentilrun.peers import codec
from lentilrun.routing import prefix
import pytest
from tornado.httputil import HTTPHeaders

_SECRET = b'secret'
_TOKEN = streamtokens.StreamToken('a', 't', 'i', 'w', 'r')
_SETTINGS = settings(max_examples=200, deadline=None, derandomize=True)


def test_a_token_is_authentic() -> None:
    """A token is valid only with the secret that signed it."""
    sealed = streamtokens.seal(_SECRET, _TOKEN)
    assert streamtokens.unseal(_SECRET, sealed) == _TOKEN
    assert streamtokens.unseal(b'other', sealed) is None


@_SETTINGS
@given(st.text())
def test_arbitrary_text_is_no_token(text: str) -> None:
    """Text without a valid signature gives no token and no exception."""
    assert streamtokens.unseal(_SECRET, text) is None


@_SETTINGS
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_no_message(data: bytes) -> None:
    """Bytes that are no message raise ``BadMessageError``."""
    with pytest.raises(codec.BadMessageError):
        codec.decode(data)


@_SETTINGS
@given(st.one_of(st.binary(max_size=300), st.text().map(str.encode)))
def test_arbitrary_body_is_parsed_or_rejected(data: bytes) -> None:
    """A body is parsed, or raises ``ValueError`` and nothing else."""
    try:
        prefix.parse_request(data)
    except ValueError:
        pass


@_SETTINGS
@given(st.text(max_size=300))
def test_arbitrary_settings_have_findings(text: str) -> None:
    """Malformed settings raise ``InvalidFileError`` and nothing else."""
    with pytest.raises(InvalidFileError):
        settings_file.parse(text, 'f')


@_SETTINGS
@given(
    st.text('abcdef0123456789', min_size=8, max_size=20),
    st.sampled_from(['Authorization', 'X-Api-Key', 'X-Any', 'Cookie']),
    st.booleans(),
)
def test_a_key_is_stripped(key: str, header: str, in_query: bool) -> None:
    """A key in any header or argument is not sent to a target."""
    headers = HTTPHeaders({header: f'Bearer {key}'})
    query = f'key={key}&other=1&also={key}' if in_query else 'other=1'
    stripped = credentials.strip_credentials('/p', query, headers, key)
    assert key not in stripped.path
    assert all(key not in v for v in stripped.headers.values())
    assert 'other=1' in stripped.path


def _make_event(number: int) -> bytes:
    return b'id: %d\ndata: x\n\n' % number


@pytest.mark.parametrize(
    ('sent', 'relayed', 'has_gap'),
    [
        ([1, 2, 3], [1, 2, 3], False),
        ([1, 2, 2, 3], [1, 2, 3], False),
        ([1, 2, 1, 2, 3], [1, 2, 3], False),
        ([1, 3], [1], True),
        ([2], [], True),
    ],
)
def test_events_are_in_order_and_once(
    sent: list[int], relayed: list[int], has_gap: bool
) -> None:
    """Repeated events are dropped; a gap stops the relay."""
    state = StreamState('a')
    state.begin_run('')
    new = state.take(b''.join(_make_event(n) for n in sent))
    assert new.events == [_make_event(n) for n in relayed]
    assert new.has_gap is has_gap
    assert state.last_event_id == len(relayed)
