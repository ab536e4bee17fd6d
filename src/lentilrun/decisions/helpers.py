"""Which VM passes a call on to a target for a VM that reaches none.

Designed for this load: for some seconds several VMs, up to all of a data
centre, have no path to any target, while their callers still reach them.
Each of hundreds of VMs picks for itself, so the calls are spread at random
over the others, and each keeps from those that refused it lately. VMs of its
own data centre come first, as bytes between data centres have a price. Data
centres of which no VM refused come before the others, since all VMs of one may
be cut off together.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence
    from random import Random

# Of so many VMs that were picked at random, the one with the fewest calls of
# this VM passes the next one on.
_SAMPLE_SIZE = 2


class HelperCandidate(NamedTuple):
    """Another VM; ``in_flight`` calls of this VM are passed on by it."""

    name: str
    data_centre: str
    in_flight: int


def pick_helper(
    candidates: Sequence[HelperCandidate],
    own_data_centre: str,
    refused: Collection[str],
    random: Random,
) -> str | None:
    """Return the VM that is to pass a call on, or nothing if none is fit.

    ``refused`` are the VMs that lately could not.
    """
    fit = [c for c in candidates if c.name not in refused]
    doubtful = {c.data_centre for c in candidates if c.name in refused}
    undoubted = [c for c in fit if c.data_centre not in doubtful]
    local = [c for c in undoubted if c.data_centre == own_data_centre]
    preferred = local or undoubted or fit
    if not preferred:
        return None
    sample = random.sample(preferred, min(_SAMPLE_SIZE, len(preferred)))
    return min(sample, key=lambda c: c.in_flight).name


__all__ = ['HelperCandidate', 'pick_helper']
