"""Who talks to whom, in small and in large fleets."""

from __future__ import annotations

from lentilrun.decisions.topology import Member
from lentilrun.decisions.topology import MESH_VMS
from lentilrun.decisions.topology import pick_hubs
from lentilrun.decisions.topology import pick_recipients
import pytest


def _make(count: int, data_centres: str = 'abc') -> list[Member]:
    return [
        Member(f'vm{i:02}', data_centres[i % len(data_centres)], 1.0)
        for i in range(count)
    ]


@pytest.mark.parametrize('count', [1, 6, MESH_VMS])
def test_small_fleets_are_a_mesh(count: int) -> None:
    """All talk to all of what they do themselves."""
    members = _make(count)
    hubs = pick_hubs(members, [])
    for own in members:
        others = [m for m in members if m != own]
        found = pick_recipients(own, others, hubs)
        assert sorted(found.vm) == sorted(m.name for m in others)
        assert not found.data_centre
        assert not found.fleet


@pytest.mark.parametrize('count', [MESH_VMS + 1, 90, 300])
def test_news_of_every_vm_reaches_every_other(count: int) -> None:
    """Over the hubs, each VM hears once of what each other one does."""
    members = _make(count)
    hubs = pick_hubs(members, [])
    assert all(len(found) == 2 for found in hubs.values())
    sent = 0
    hears: dict[str, set[str]] = {m.name: {m.name} for m in members}
    group = {d: {m.name for m in members if m.data_centre == d} for d in hubs}
    for own in members:
        others = [m for m in members if m != own]
        found = pick_recipients(own, others, hubs)
        sent += len(found.vm) + len(found.data_centre) + len(found.fleet)
        for name in found.vm:
            hears[name].add(own.name)
        for name in found.data_centre:
            hears[name] |= group[own.data_centre]
        for name in found.fleet:
            hears[name] |= set(hears) - {name}
    assert all(len(heard) == count for heard in hears.values())
    assert sent <= 4 * count


def test_powerful_vms_are_hubs_unless_silent() -> None:
    """The next one takes the place of a hub that fell silent."""
    members = _make(20, 'a')
    members[7] = members[7]._replace(power=2.0)
    assert pick_hubs(members, [])['a'] == ['vm07', 'vm00']
    assert pick_hubs(members, ['vm07'])['a'] == ['vm00', 'vm01']
