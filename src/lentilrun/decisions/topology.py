"""Which VMs exchange reports, so that the number of messages stays small.

Designed for this load: ninety VMs that would each send reports to all
others a few times per second. In a small fleet all VMs exchange reports
with all others. In a larger one, two VMs of each data centre are hubs: the
other VMs exchange reports with these only, and the hubs of all data
centres with each other.

The platform charges for each call of its store. So two hubs of the whole
fleet read its changes, and all others get them from these.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# Up to this number of VMs, each exchanges reports with all others.
MESH_VMS = 12
_HUBS_PER_DATA_CENTRE = 2
# One more than needed, so that changes are known in time if one is lost.
_READERS = 2


class Member(NamedTuple):
    """A VM; ``power`` in processor cores."""

    name: str
    data_centre: str
    power: float


def pick_hubs(
    members: Collection[Member], suspects: Collection[str]
) -> dict[str, list[str]]:
    """Return the hubs of each data centre, the preferred one first.

    The most powerful VMs become hubs, except for ``suspects``. Up to
    ``MESH_VMS``, all VMs are hubs, including ``suspects``.
    """
    is_mesh = len(members) <= MESH_VMS
    hubs: dict[str, list[str]] = {}
    for member in sorted(members, key=lambda m: (-m.power, m.name)):
        names = hubs.setdefault(member.data_centre, [])
        if is_mesh or (
            len(names) < _HUBS_PER_DATA_CENTRE and member.name not in suspects
        ):
            names.append(member.name)
    return hubs


def pick_readers(
    hubs: dict[str, list[str]], unfit: Collection[str]
) -> list[str]:
    """Return the hubs that read the changes of the store, in order.

    They are the preferred hubs of two data centres, if possible. ``unfit``
    VMs are silent or get no responses from the store: none of them is
    picked unless all hubs are unfit.
    """
    ranked = sorted(
        (rank, name)
        for names in hubs.values()
        for rank, name in enumerate(names)
    )
    names = [name for _, name in ranked]
    fit = [name for name in names if name not in unfit]
    return (fit or names)[:_READERS]


class Recipients(NamedTuple):
    """Who gets reports on a VM, on its data centre, or on the fleet.

    Each VM in ``fleet`` gets reports on all VMs but itself.
    """

    vm: list[str]
    data_centre: list[str]
    fleet: list[str]


def pick_recipients(
    own: Member, members: Iterable[Member], hubs: dict[str, list[str]]
) -> Recipients:
    """Return the VMs that ``own`` sends reports to.

    ``members`` are the other VMs. In a larger fleet, only the preferred hub
    of a data centre sends to remote hubs and to VMs that are not hubs.
    """
    members = list(members)
    local_hubs = hubs.get(own.data_centre, [])
    if len(members) + 1 <= MESH_VMS:
        return Recipients([m.name for m in members], [], [])
    other_local_hubs = [n for n in local_hubs if n != own.name]
    if not local_hubs or local_hubs[0] != own.name:
        return Recipients(other_local_hubs, [], [])
    remote_hubs = [
        n for d, h in hubs.items() for n in h if d != own.data_centre
    ]
    spokes = [
        m.name
        for m in members
        if m.data_centre == own.data_centre and m.name not in local_hubs
    ]
    return Recipients(other_local_hubs, remote_hubs, spokes)


__all__ = [
    'Member',
    'MESH_VMS',
    'pick_hubs',
    'pick_readers',
    'pick_recipients',
    'Recipients',
]
