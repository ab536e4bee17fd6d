"""Which VMs gather what the others know, so that talk stays small.

The load that this answers: ninety VMs that each tell all others a few
times a second. In a small fleet all talk to all. In a larger one two VMs
of each data centre are hubs: the others talk to them only, and the hubs
of all data centres talk to each other.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# Up to this many VMs talk to all others.
MESH_VMS = 12
_HUBS = 2


class Member(NamedTuple):
    """A VM; ``power`` in processor cores."""

    name: str
    data_centre: str
    power: float


def pick_hubs(
    members: Collection[Member],
    suspects: Collection[str],
    blind: Collection[str] = (),
) -> dict[str, list[str]]:
    """Return the hubs of each data centre, the first one first.

    The most powerful VMs come first; ``suspects`` are passed over. A hub
    in ``blind`` reads nothing from the store: it stays a hub, as while
    the store is away all are blind, but lets the others go first.
    """
    is_mesh = len(members) <= MESH_VMS
    hubs: dict[str, list[str]] = {}
    for member in sorted(members, key=lambda m: (-m.power, m.name)):
        found = hubs.setdefault(member.data_centre, [])
        if is_mesh or (len(found) < _HUBS and member.name not in suspects):
            found.append(member.name)
    if is_mesh:
        return hubs
    return {d: sorted(h, key=lambda n: n in blind) for d, h in hubs.items()}


class Recipients(NamedTuple):
    """Who gets reports of a VM, of its data centre, or of the fleet.

    Those under ``fleet`` get what all others do but they themselves.
    """

    vm: list[str]
    data_centre: list[str]
    fleet: list[str]


def pick_recipients(
    own: Member, members: Iterable[Member], hubs: dict[str, list[str]]
) -> Recipients:
    """Return whom a VM talks to."""
    members = list(members)
    near = hubs.get(own.data_centre, [])
    if len(members) + 1 <= MESH_VMS:
        return Recipients([m.name for m in members], [], [])
    others = [n for n in near if n != own.name]
    if not near or near[0] != own.name:
        return Recipients(others, [], [])
    far = [n for d, h in hubs.items() for n in h if d != own.data_centre]
    spokes = [
        m.name
        for m in members
        if m.data_centre == own.data_centre and m.name not in near
    ]
    return Recipients(others, far, spokes)


__all__ = ['Member', 'MESH_VMS', 'pick_hubs', 'pick_recipients', 'Recipients']
