"""Parsers of operators' files: all findings are raised together.

Guards against findings without their line, errors other than findings, and
incremental parsing that differs from parsing the whole file.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.config import declaration
from lentilrun.config.findings import InvalidFileError
from lentilrun.config.incremental import parse_incrementally
from lentilrun.config.incremental import SectionCache
import pytest

_VALID = """\
[workspace solo]
rate = 10
burst = 20

[key one]
workspace = solo
digest = {digest}

[model m]
slots = 4

[target t]
model = m
address = 127.0.0.1:1

[route r]
path = /v1/chat/completions
model = m
""".format(digest='0' * 64)

_CHANGES = [
    ('rate = 10', 'rate = -1', 2, 'out_of_range'),
    ('rate = 10', 'rate = nan', 2, 'out_of_range'),
    ('rate = 10', 'rate = much', 2, 'not_a_number'),
    ('rate = 10', 'tempo = 10', 2, 'unknown_key'),
    ('workspace = solo', 'workspace = other', 6, 'unknown_name'),
    ('0' * 64, 'plain-key', 7, 'not_a_digest'),
    ('127.0.0.1:1', 'host:1', 14, 'not_an_address'),
    ('127.0.0.1:1', '127.0.0.1:99999', 14, 'not_an_address'),
    ('path = /', 'path = ', 17, 'bad_path'),
    ('[model m]', '[modle m]', 9, 'unknown_section'),
    ('[model m]', '[model ../m]', 9, 'bad_name'),
    ('slots = 4', 'slots = 4\nslots = 5', 11, 'duplicate'),
    ('[model m]', '[workspace solo]\n[model m]', 9, 'duplicate'),
    ('slots = 4', 'slots', 10, 'unreadable'),
    # A list that lost its last name would open the route to all.
    ('path = /v1', 'workspaces =\npath = /v1', 17, 'missing'),
    ('path = /v1', 'workspaces = ,\npath = /v1', 17, 'missing'),
]


@pytest.mark.parametrize(('old', 'new', 'line', 'code'), _CHANGES)
def test_findings_have_their_place(
    old: str, new: str, line: int, code: str
) -> None:
    """Each finding has its line and code in both parsers."""
    text = _VALID.replace(old, new)
    cache = SectionCache()
    parse_incrementally(_VALID, 'f', cache)
    for parse in (
        lambda: declaration.parse(text, 'f'),
        lambda: parse_incrementally(text, 'f', cache),
    ):
        with pytest.raises(InvalidFileError) as caught:
            parse()
        findings = [(f.place.line, f.code) for f in caught.value.findings]
        assert (line, code) in findings


def test_all_findings_are_reported_together() -> None:
    """An error does not hide the errors in other sections."""
    text = _VALID
    for old, new, *_ in _CHANGES[:1] + _CHANGES[4:6]:
        text = text.replace(old, new)
    with pytest.raises(InvalidFileError) as caught:
        declaration.parse(text, 'f')
    assert len(caught.value.findings) == 3


_LINES = st.sampled_from(
    [*_VALID.split('\n'), '[', ']', '[]', '=', ' x', '; c', '[a]b', '[move m]']
)
_TEXTS = st.one_of(
    st.text(max_size=200),
    st.lists(_LINES, max_size=40).map('\n'.join),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(_TEXTS)
def test_any_text_is_read_or_has_findings(text: str) -> None:
    """Any text is parsed or has findings, equally in both parsers."""
    cache = SectionCache()
    parse_incrementally(_VALID, 'f', cache)
    try:
        configuration = declaration.parse(text, 'f')
    except InvalidFileError:
        with pytest.raises(InvalidFileError):
            parse_incrementally(text, 'f', cache)
    else:
        assert parse_incrementally(text, 'f', cache) == configuration
        assert parse_incrementally(text, 'f', cache) == configuration
