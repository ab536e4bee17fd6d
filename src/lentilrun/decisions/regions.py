"""Where a request, its body and the KV cache of its prompt may be.

Routes and workspaces name the regions that they allow; the settings say in
which region each data centre is. Caches of restricted requests are kept
apart by a salt of their own: an unrestricted request could otherwise fetch
what a restricted one left at an engine into any region.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

_DIGEST_BYTES = 6


class RegionMap(NamedTuple):
    """The region of each data centre, and the one of this VM.

    Without ``by_data_centre``, there are no restrictions.
    """

    by_data_centre: Mapping[str, str]
    own: str = ''

    def list_in(self, regions: Collection[str]) -> frozenset[str]:
        """Return the data centres in some regions."""
        return frozenset(
            n for n, r in self.by_data_centre.items() if r in regions
        )

    def list_unknown(self, regions: Collection[str]) -> list[str]:
        """Return the regions in which there is no data centre, sorted."""
        if not self.by_data_centre:
            return []
        return sorted(set(regions) - set(self.by_data_centre.values()))


NO_REGIONS = RegionMap({})


class Restriction(NamedTuple):
    """The data centres whose targets and VMs may have a request.

    Cached segments under other ``tag`` texts are not shared with it.
    """

    targets: frozenset[str]
    vms: frozenset[str]
    tag: str


def find_restriction(
    region_map: RegionMap, lists: Collection[Collection[str]]
) -> Restriction | None:
    """Return what ``lists`` of allowed regions leave; nothing without any.

    An empty list allows all regions, and all others apply at once. VMs in
    the region of this VM may have the request's body too.
    """
    restricting = [set(allowed) for allowed in lists if allowed]
    if not restricting or not region_map.by_data_centre:
        return None
    regions = set.intersection(*restricting)
    targets = region_map.list_in(regions)
    own = region_map.list_in([region_map.own]) if region_map.own else targets
    return make_restriction(targets, targets | own)


def make_restriction(
    targets: frozenset[str], vms: frozenset[str]
) -> Restriction:
    """Return the restriction to some data centres."""
    text = '\n'.join(sorted(targets))
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return Restriction(targets, vms, digest.hexdigest())


__all__ = [
    'find_restriction',
    'make_restriction',
    'NO_REGIONS',
    'RegionMap',
    'Restriction',
]
