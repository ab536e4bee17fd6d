"""Which engines take new weights next, and who sees to it.

The load that this answers: new weights are named every few seconds while
requests come. An engine that empties or loads serves nobody, and one that
keeps old weights serves at a lower worth. So the engines that are soon
empty go first, and those with long answers go once others can take over.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

# The share of the engines that may be out of service for new weights.
_SHARE_OUT = 0.45
# An engine that is empty within this time goes at once, in seconds.
_SOON_S = 1.2
# Others go once weights are so old, in seconds, or some engine has them.
_PATIENCE_S = 1.0
# Once weights are this old, as a share of the limit, an engine takes the
# order while it still runs requests: it finishes them first.
_FORCED_SHARE = 0.45
# How long others wait for the VM before them to begin, in seconds.
_TURN_S = 0.8


class UpgradeCandidate(NamedTuple):
    """An engine as an upgrade sees it; times in seconds.

    It is empty after ``busy_for``; its weights were replaced
    ``stale_for`` ago.
    """

    name: str
    weights_version: int
    is_out_of_service: bool
    busy_for: float
    stale_for: float


def pick_upgrade_round(
    engines: Sequence[UpgradeCandidate], wanted: int
) -> list[str]:
    """Return the engines to take out of service now."""
    most = max(1, int(len(engines) * _SHARE_OUT))
    room = most - sum(e.is_out_of_service for e in engines)
    old = [
        e
        for e in engines
        if not e.is_out_of_service and e.weights_version < wanted
    ]
    if not any(e.weights_version >= wanted for e in engines):
        old = [e for e in old if _is_due(e)]
    old.sort(key=lambda e: (e.busy_for - e.stale_for, e.name))
    return [e.name for e in old[: max(0, room)]]


def _is_due(engine: UpgradeCandidate) -> bool:
    return engine.busy_for < _SOON_S or engine.stale_for > _PATIENCE_S


def compute_drain_timeout(stale_for: float, limit: float) -> float:
    """Return how long an engine may be left to become empty, in s.

    Nothing may begin on weights that were replaced ``limit`` ago.
    """
    return max(0.0, limit * _FORCED_SHARE - stale_for)


def compute_takeover_delay(own: str, heard: Iterable[str]) -> float:
    """Return how long a VM leaves new work to those before it, in s."""
    before = sum(name < own for name in heard)
    return before * _TURN_S


__all__ = [
    'compute_drain_timeout',
    'compute_takeover_delay',
    'pick_upgrade_round',
    'UpgradeCandidate',
]
