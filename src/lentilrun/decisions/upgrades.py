"""Which engines load new weights next, and which VM orders it.

Designed for this load: new weights are announced every few seconds while
requests arrive. An engine that drains or loads weights serves no requests,
and the responses of one that keeps old weights have a lower value. So the
engines that will soon be idle are upgraded first, and those with long
responses as soon as other engines can replace them. If the VM that orders
upgrades is lost, a fleet of hundreds must not all ask the store for its lease:
only hubs do, in turn.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

# Share of the engines that may be out of service to load new weights.
_MAX_OUT_OF_SERVICE_SHARE = 0.45
# An engine that will be idle within this time is upgraded at once.
_SOON_IDLE_S = 1.2
# Other engines are upgraded if their weights were replaced longer ago than
# this, or as soon as any engine has the new weights.
_BUSY_UPGRADE_DELAY_S = 1.0
# An engine whose weights were replaced longer ago than this share of the stale
# limit gets the order while requests are in flight; it completes them first.
_FORCED_AGE_SHARE = 0.45
# How long each VM waits for the VM before it.
_TAKEOVER_DELAY_S = 0.8
# VMs that are no candidates wait at least this time. It is longer than the
# lease of a lost VM with its gap: 4.75 s at a gap of 3 s.
_RESERVE_DELAY_S = 6.0


class UpgradeCandidate(NamedTuple):
    """An engine that may load new weights; times in seconds.

    It is idle after ``busy_for``; its weights were replaced ``stale_for``
    ago. ``is_overdue`` if that is too long for any more requests.
    """

    name: str
    weights_version: int
    is_out_of_service: bool
    busy_for: float
    stale_for: float
    is_overdue: bool = False


def pick_upgrade_round(
    engines: Sequence[UpgradeCandidate], newest_version: int
) -> list[str]:
    """Return the names of the engines to take out of service now.

    Overdue engines serve nobody, so all of them are taken.
    """
    max_out = max(1, int(len(engines) * _MAX_OUT_OF_SERVICE_SHARE))
    max_picked = max_out - sum(e.is_out_of_service for e in engines)
    outdated = [
        e
        for e in engines
        if not e.is_out_of_service and e.weights_version < newest_version
    ]
    if not any(e.weights_version >= newest_version for e in engines):
        outdated = [e for e in outdated if _is_due(e)]
    outdated.sort(key=_rank)
    overdue = sum(e.is_overdue for e in outdated)
    return [e.name for e in outdated[: max(overdue, max_picked)]]


def _rank(engine: UpgradeCandidate) -> tuple[bool, float, str]:
    delay = engine.busy_for - engine.stale_for
    return not engine.is_overdue, delay, engine.name


def _is_due(engine: UpgradeCandidate) -> bool:
    return (
        engine.busy_for < _SOON_IDLE_S
        or engine.stale_for > _BUSY_UPGRADE_DELAY_S
    )


def compute_drain_timeout(stale_for: float, stale_limit: float) -> float:
    """Return how long to wait until an engine is idle, in seconds.

    No request may start on weights that were replaced ``stale_limit``
    seconds ago.
    """
    return max(0.0, stale_limit * _FORCED_AGE_SHARE - stale_for)


def compute_takeover_delay(
    own: str, candidates: Sequence[str], reserve: Iterable[str]
) -> float:
    """Return the delay before a VM starts pending upgrades, in seconds.

    ``candidates`` start one after another, in their order. The VMs in
    ``reserve`` start after them, in the order of their names, once a lease
    that one of the candidates may wait for has ended.
    """
    if own in candidates:
        return candidates.index(own) * _TAKEOVER_DELAY_S
    first = max(_RESERVE_DELAY_S, len(candidates) * _TAKEOVER_DELAY_S)
    earlier = sum(n < own and n not in candidates for n in reserve)
    return first + earlier * _TAKEOVER_DELAY_S


__all__ = [
    'compute_drain_timeout',
    'compute_takeover_delay',
    'pick_upgrade_round',
    'UpgradeCandidate',
]
