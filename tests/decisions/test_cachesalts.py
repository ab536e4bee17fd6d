"""Which workspaces find each other's cached segments."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from lentilrun.decisions.cachesalts import format_salt
from lentilrun.decisions.cachesalts import make_isolation
from lentilrun.decisions.facts import Workspace
from lentilrun.decisions.regions import make_restriction
import pytest

_NAMES = ('north', 'south', 'west')
_NONE: tuple[str, ...] = ()
# The isolated workspaces by configuration, oldest first.
_HISTORIES = {
    'isolated': (_NONE, ('north',)),
    'released': (('north',), _NONE),
    'isolated_again': (_NONE, ('north',), _NONE, ('north',)),
    'another_one': (('north',), ('south',), ('north',)),
    'one_more': (('north',), ('north', 'south'), ('south',)),
    'all': (_NONE, _NAMES, _NONE, _NAMES),
}


class _Cached(NamedTuple):
    """A segment in a cache, with the workspace that made it."""

    salt: str
    made_by: str


def _make_workspace(name: str, isolated: tuple[str, ...]) -> Workspace:
    return Workspace(name, 0, name in isolated, 0.0, 0.0, 0)


def _find_salt(name: str, isolated: tuple[str, ...]) -> str:
    isolation = make_isolation(isolated)
    return format_salt('1', _make_workspace(name, isolated), isolation, None)


@pytest.mark.parametrize('history', _HISTORIES.values(), ids=_HISTORIES)
def test_isolated_workspaces_share_nothing(
    history: tuple[tuple[str, ...], ...],
) -> None:
    """Guards against segments from before a workspace became isolated."""
    cached: set[_Cached] = set()
    for isolated in history:
        salts = {n: _find_salt(n, isolated) for n in _NAMES}
        cached |= {_Cached(s, n) for n, s in salts.items()}
        for name, segment in itertools.product(_NAMES, cached):
            if name == segment.made_by or salts[name] != segment.salt:
                continue
            assert name not in isolated
            assert segment.made_by not in isolated


@pytest.mark.parametrize('isolated', [_NONE, ('west',)])
def test_other_workspaces_share(isolated: tuple[str, ...]) -> None:
    """Workspaces that are not isolated have the same salt."""
    assert _find_salt('north', isolated) == _find_salt('south', isolated)


def test_salts_do_not_depend_on_order() -> None:
    """VMs that read the workspaces in another order share segments."""
    assert make_isolation(['a', 'b']) == make_isolation(['b', 'a', 'b'])


def test_waiting_request_becomes_isolated() -> None:
    """Guards against a call that was admitted before the change."""
    isolation = make_isolation(['north'])
    admitted = _make_workspace('north', _NONE)
    other = _make_workspace('south', _NONE)
    salts = [
        format_salt('1', w, isolation, None)
        for w in (admitted, other, _make_workspace('north', ('north',)))
    ]
    assert salts[0] == salts[2] != salts[1]


def test_names_do_not_collide() -> None:
    """Guards against names that look like other sets of names, or tags."""
    sets = [['a', 'b'], ['ab'], ['a,b'], ['1:a'], ['a1:b'], ['\ud800']]
    assert len({make_isolation(s).tag for s in sets}) == len(sets)
    restriction = make_restriction(frozenset('a'), frozenset('a'))
    for name in (f'north@{restriction.tag}', f'@{restriction.tag}/north'):
        plain = format_salt(
            '1', _make_workspace(name, (name,)), make_isolation([name]), None
        )
        restricted = format_salt(
            '1',
            _make_workspace('north', ('north',)),
            make_isolation(['north']),
            restriction,
        )
        assert plain != restricted
