"""Bodies that are collected from parts of any size."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from lentilrun.web.body import Body
from lentilrun.web.body import BodyBuffer
from lentilrun.web.body import read_body
from lentilrun.web.body import release_body
import pytest

_PARTS = st.lists(st.binary(max_size=40) | st.just(b'x' * 50_000), max_size=9)


@given(_PARTS, st.booleans())
def test_any_parts(parts: list[bytes], is_declared: bool) -> None:
    """The parts make up the body, and nothing is kept of it afterwards."""
    body = b''.join(parts)
    buffer = BodyBuffer(len(body) if is_declared else None)
    for _ in range(2):
        for part in parts:
            buffer.append(part)
        assert len(buffer) == len(body)
        assert bytes(buffer.take()) == body
        assert not len(buffer)
        assert buffer.take() == b''


def test_release() -> None:
    """A released body is empty, and says so once."""
    released = []
    body = Body(b'abc', lambda: released.append(1))
    assert read_body(body) == b'abc'
    release_body(body)
    release_body(body)
    assert released == [1]
    assert not len(body)
    release_body(b'abc')
    assert read_body(b'abc') == b'abc'
    with pytest.raises(TypeError):
        read_body('abc')
