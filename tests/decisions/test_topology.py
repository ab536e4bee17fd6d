"""Which VMs exchange reports, in small and in large fleets."""

from __future__ import annotations

from lentilrun.decisions.topology import Member
from lentilrun.decisions.topology import MESH_VMS
from lentilrun.decisions.topology import pick_hubs
from lentilrun.decisions.topology import pick_readers
from lentilrun.decisions.topology import pick_recipients
import pytest


def _make(count: int, data_centres: str = 'abc') -> list[Member]:
    return [
        Member(f'vm{i:02}', data_centres[i % len(data_centres)], 1.0)
        for i in range(count)
    ]


@pytest.mark.parametrize('count', [1, 6, MESH_VMS])
def test_small_fleets_are_a_mesh(count: int) -> None:
    """All VMs send reports on themselves to all others."""
    members = _make(count)
    hubs = pick_hubs(members, [])
    for own in members:
        others = [m for m in members if m != own]
        recipients = pick_recipients(own, others, hubs)
        assert sorted(recipients.vm) == sorted(m.name for m in others)
        assert not recipients.data_centre
        assert not recipients.fleet


@pytest.mark.parametrize('count', [MESH_VMS + 1, 90, 300])
def test_reports_of_every_vm_reach_every_other(count: int) -> None:
    """Over the hubs, each VM gets reports on each other VM."""
    members = _make(count)
    hubs = pick_hubs(members, [])
    assert all(len(hub_names) == 2 for hub_names in hubs.values())
    sent = 0
    reported: dict[str, set[str]] = {m.name: {m.name} for m in members}
    local_names = {
        d: {m.name for m in members if m.data_centre == d} for d in hubs
    }
    for own in members:
        others = [m for m in members if m != own]
        recipients = pick_recipients(own, others, hubs)
        sent += (
            len(recipients.vm)
            + len(recipients.data_centre)
            + len(recipients.fleet)
        )
        for name in recipients.vm:
            reported[name].add(own.name)
        for name in recipients.data_centre:
            reported[name] |= local_names[own.data_centre]
        for name in recipients.fleet:
            reported[name] |= set(reported) - {name}
    assert all(len(names) == count for names in reported.values())
    assert sent <= 4 * count


def test_powerful_vms_are_hubs_unless_suspected() -> None:
    """The next most powerful VM replaces a hub that is suspected."""
    members = _make(20, 'a')
    members[7] = members[7]._replace(power=2.0)
    assert pick_hubs(members, [])['a'] == ['vm07', 'vm00']
    assert pick_hubs(members, ['vm07'])['a'] == ['vm00', 'vm01']


@pytest.mark.parametrize(
    ('data_centres', 'unfit', 'expected'),
    [
        ('abc', [], ['vm00', 'vm01']),
        ('abc', ['vm00'], ['vm01', 'vm02']),
        ('abc', ['vm00', 'vm01', 'vm02'], ['vm03', 'vm04']),
        # A hub without the store gets rows from the only reader.
        ('a', ['vm00'], ['vm01']),
        ('a', ['vm00', 'vm01'], ['vm00', 'vm01']),
    ],
)
def test_readers(
    data_centres: str, unfit: list[str], expected: list[str]
) -> None:
    """Two hubs read the store, of two data centres if possible."""
    hubs = pick_hubs(_make(20, data_centres), [])
    assert pick_readers(hubs, unfit) == expected
