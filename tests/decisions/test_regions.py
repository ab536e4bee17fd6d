"""Where a request may go by the regions that operators allow."""

from __future__ import annotations

from lentilrun.decisions.regions import find_restriction
from lentilrun.decisions.regions import NO_REGIONS
from lentilrun.decisions.regions import RegionMap
import pytest

_MAP = RegionMap({'a': 'eu', 'b': 'eu', 'c': 'us', 'd': 'asia'}, 'us')


@pytest.mark.parametrize(
    ('lists', 'targets', 'vms'),
    [
        ([('eu',), ()], 'ab', 'abc'),
        ([(), ('us',)], 'c', 'c'),
        ([('eu', 'us'), ('us', 'asia')], 'c', 'c'),
        ([('eu',), ('asia',)], '', 'c'),
        ([('eu', 'mars'), ()], 'ab', 'abc'),
        ([('mars',), ()], '', 'c'),
    ],
)
def test_restriction(
    lists: list[tuple[str, ...]], targets: str, vms: str
) -> None:
    """Guards against a list that lifts another one, or allows too much."""
    restriction = find_restriction(_MAP, lists)
    assert restriction is not None
    assert ''.join(sorted(restriction.targets)) == targets
    assert ''.join(sorted(restriction.vms)) == vms


@pytest.mark.parametrize(
    ('region_map', 'lists'),
    [(_MAP, []), (_MAP, [(), ()]), (NO_REGIONS, [('eu',), ()])],
)
def test_no_restriction(
    region_map: RegionMap, lists: list[tuple[str, ...]]
) -> None:
    """Guards against restrictions that nobody has asked for."""
    assert find_restriction(region_map, lists) is None


def test_tags_differ_by_data_centres() -> None:
    """Guards against caches that requests of other regions share."""
    lists = [[('eu',)], [('us',)], [('eu', 'us')], [('mars',)]]
    found = [find_restriction(_MAP, each) for each in lists]
    assert len({r.tag for r in found if r is not None}) == len(lists)
    own = find_restriction(_MAP._replace(own='eu'), [('eu',)])
    assert own is not None
    assert found[0] is not None
    assert own.tag == found[0].tag


def test_vm_without_a_region() -> None:
    """Guards against VMs of no region that count as of the same one."""
    region_map = RegionMap({'a': 'eu', 'b': ''})
    restriction = find_restriction(region_map, [('eu',)])
    assert restriction is not None
    assert restriction.vms == frozenset('a')


def test_unknown_regions() -> None:
    """Guards against misspelt regions that operators don't see."""
    assert _MAP.list_unknown(['us', 'mars', 'eu', '']) == ['', 'mars']
    assert not NO_REGIONS.list_unknown(['mars'])
