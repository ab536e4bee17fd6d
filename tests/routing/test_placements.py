"""Placements are valid for one incarnation and version without gaps."""

from __future__ import annotations

from lentilrun.routing.placements import BlockHolder
from lentilrun.routing.placements import PlacementMap
from lentilrun.routing import prefix
from lentilrun.targets.events import CacheEvent
from lentilrun.targets.events import GapDetector
import pytest

_HOLDER = BlockHolder('first', 'v1')


@pytest.mark.parametrize(
    ('current', 'expected'),
    [
        (BlockHolder('first', 'v1'), ['t']),
        (BlockHolder('second', 'v1'), []),
        (BlockHolder('first', 'v2'), []),
    ],
)
def test_placements_of_a_replaced_holder_are_ignored(
    current: BlockHolder, expected: list[str]
) -> None:
    """A restart or a load of other weights empties a target's cache."""
    placements = PlacementMap(10)
    placements.set_current_holder('t', _HOLDER)
    placements.add(1, 't', _HOLDER)
    placements.set_current_holder('t', current)
    assert placements.list_holders(1) == expected
    assert placements.find_deepest_holders((1,), 4) == dict.fromkeys(
        expected, 1
    )
    assert len(placements.list_recent(10)) == len(expected)


def test_a_gap_invalidates_earlier_placements() -> None:
    """Missed events may have removed any block, so none is trusted."""
    placements = PlacementMap(10)
    placements.set_current_holder('t', _HOLDER)
    placements.add(1, 't', _HOLDER)
    placements.invalidate_target('t')
    placements.add(2, 't', _HOLDER)
    assert placements.list_holders(1) == []
    assert placements.list_holders(2) == ['t']


@pytest.mark.parametrize(
    ('numbers', 'gaps'),
    [
        ([1, 2, 3], [0, 0, 0]),
        ([5, 6, 9], [0, 0, 1]),
        ([1, 3, 4], [0, 1, 0]),
        ([4, 5, 3, 4], [0, 0, 1, 0]),
        ([4, 5, 5, 6], [0, 0, 1, 0]),
    ],
)
def test_gaps_are_detected(numbers: list[int], gaps: list[int]) -> None:
    """A number that is not the next one shows that events were missed."""
    detector = GapDetector()
    events = [CacheEvent(n, 'i', 'v', (), ()) for n in numbers]
    assert [detector.follows_gap(e) for e in events] == [bool(g) for g in gaps]


@pytest.mark.parametrize(
    ('one', 'other'), [(('a', 'v1'), ('b', 'v1')), (('a', 'v1'), ('a', 'v2'))]
)
def test_workspaces_and_versions_share_no_block(
    one: tuple[str, str], other: tuple[str, str]
) -> None:
    """The same prompt has other hashes in another workspace or version."""
    text = b'x' * 4096
    chains = [
        prefix.hash_blocks(text, prefix.make_salt(*salt), 1024)
        for salt in (one, other)
    ]
    assert len(chains[0]) == 4
    assert not set(chains[0]) & set(chains[1])


def test_capacity_is_bounded() -> None:
    """The blocks that were added to least recently are evicted first."""
    placements = PlacementMap(3)
    placements.set_current_holder('t', _HOLDER)
    for block in range(5):
        placements.add(block, 't', _HOLDER)
    assert len(placements) == 3
    assert placements.list_holders(0) == []
    assert placements.list_holders(4) == ['t']
