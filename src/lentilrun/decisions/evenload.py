"""Even load of targets, although reports of their loads are old.

Designed for this load: 13 to 195 VMs choose targets at the same moment from
reports that lack the requests of the last 50 to 800 ms, and a third of the
prompts share long prefixes. If each VM picks the target with the lowest
cost, all pick the same few targets, which are overloaded until the next
reports, while others idle.

So each VM assumes that the requests which no report has yet fill up the
targets with the lowest cost to a common level. It picks one of these by
chance, as often as its cost is below the level, so that the VMs together
fill the targets up in this way without messages. A target that has cached
the prompt is preferred while its cost, with what may be unreported there, is
below the level. All costs are in seconds.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple
from typing import TYPE_CHECKING

from .placement import compute_sample_size
from .placement import describe_choice
from .placement import estimate_added_cost
from .placement import estimate_cost
from .sources import NO_CACHE

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from .placement import Candidate
    from .placement import TargetChoice
    from .placement import TokenDemand
    from .speeds import Speeds

# Below this product of VMs and the age of reports in seconds, VMs seldom
# choose between two reports of each other: a mesh has at most 1.5, a fleet
# with hubs at least 3.2.
_MIN_VM_SECONDS = 2.0
# The share of the usual sample that is compared for a prompt of which a target
# has cached a part: it needs few targets beside those.
_CACHED_SAMPLE_SHARE = 0.5
_MIN_SAMPLED_TARGETS = 2
# Holders of a cached prefix that are compared at least, if there are as many.
MIN_HOLDERS = 2
# A prefix is replicated if its holders can't take the requests with it that
# are expected in this time: a further holder has it then for the next ones.
_REPLICATION_S = 1.0
# A smaller added cost is taken for this one, in seconds.
_MIN_ADDED_COST_S = 1e-6
# The last requests of a service that a VM counts.
_COUNTED_REQUESTS = 200


class ExpectedArrivals(NamedTuple):
    """Requests of all VMs that the chosen target may get besides.

    ``unreported`` requests were sent to each target on average, but are in no
    report yet; each adds ``added_cost`` seconds to the cost of a target.
    ``with_prefix`` requests with the same prefix are expected at all targets
    in the time in which another target can be made a holder of it.
    """

    unreported: float
    added_cost: float
    with_prefix: float


class SentRequests:
    """The prefixes and the added costs of the last requests of a service."""

    def __init__(self) -> None:
        self._requests: collections.deque[tuple[str, float]] = (
            collections.deque()
        )
        self._counts: collections.Counter[str] = collections.Counter()
        self._added_cost = 0.0

    def record(self, prefix: str, added_cost: float) -> None:
        """Record a request; ``prefix`` is empty if others can't share it."""
        self._requests.append((prefix, added_cost))
        self._counts[prefix] += 1
        self._added_cost += added_cost
        if len(self._requests) <= _COUNTED_REQUESTS:
            return
        prefix, added_cost = self._requests.popleft()
        self._added_cost -= added_cost
        self._counts[prefix] -= 1
        if not self._counts[prefix]:
            del self._counts[prefix]

    def expect(
        self, prefix: str, fleet_rate: float, report_age: float, targets: int
    ) -> ExpectedArrivals:
        """Return the arrivals if all VMs get the same kinds of requests.

        ``fleet_rate`` is the rate of requests of all VMs per second, and
        ``report_age`` in seconds.
        """
        count = max(1, len(self._requests))
        share = self._counts[prefix] / count if prefix else 0.0
        return ExpectedArrivals(
            fleet_rate * report_age / max(1, targets),
            max(0.0, self._added_cost / count),
            fleet_rate * _REPLICATION_S * share,
        )


def is_called_for(vms: int, report_age: float) -> bool:
    """Return whether VMs often choose before they know of each other's."""
    return vms * report_age >= _MIN_VM_SECONDS


def compute_even_sample_size(
    targets: int, unreported: float, has_holder: bool
) -> int:
    """Return how many targets are compared for a request.

    ``unreported`` requests were sent by other VMs since the last reports of
    their loads. ``has_holder`` is set if a target may have cached a part of
    the prompt.
    """
    size = compute_sample_size(targets, unreported)
    if has_holder:
        size = math.ceil(size * _CACHED_SAMPLE_SHARE)
    return max(_MIN_SAMPLED_TARGETS, size)


def choose_evenly(
    candidates: Sequence[Candidate],
    demand: TokenDemand,
    speeds: Speeds,
    arrivals: ExpectedArrivals,
    random: Random,
) -> TargetChoice | None:
    """Return a target so that all VMs together load the targets evenly."""
    if not candidates:
        return None
    costs = [estimate_cost(c, demand, speeds) for c in candidates]
    added_cost = max(_MIN_ADDED_COST_S, arrivals.added_cost)
    takes = [1.0 / (added_cost * c.pace) for c in candidates]
    unreported = arrivals.unreported * len(candidates)
    if not any(c.prefill_plan.cached_tokens for c in candidates):
        level = _compute_level(costs, takes, unreported)
        index = _pick_below(level, costs, takes, random)
        return describe_choice(candidates[index], demand, speeds)
    uncached = [
        estimate_cost(c._replace(prefill_plan=NO_CACHE), demand, speeds)
        if c.prefill_plan.cached_tokens
        else cost
        for c, cost in zip(candidates, costs, strict=True)
    ]
    level = _compute_level(uncached, takes, unreported)
    indices = range(len(costs))
    holders = [i for i in indices if costs[i] < uncached[i]]
    holder = _pick_holder(
        holders,
        [costs[i] + max(0.0, level - uncached[i]) for i in holders],
        [
            1.0
            / candidates[i].pace
            / estimate_added_cost(candidates[i], demand, speeds)
            for i in holders
        ],
        level,
        arrivals.with_prefix,
        random,
    )
    if holder is not None:
        return describe_choice(candidates[holder], demand, speeds)
    others = [i for i in indices if i not in holders] or holders
    place = _pick_below(
        level,
        [uncached[i] for i in others],
        [takes[i] for i in others],
        random,
    )
    return describe_choice(candidates[others[place]], demand, speeds)


def _pick_holder(
    holders: Sequence[int],
    costs: Sequence[float],
    takes: Sequence[float],
    level: float,
    arrivals: float,
    random: Random,
) -> int | None:
    """Return the one of the holders of a prefix that gets a request.

    Return nothing if another target should prefill the prefix: the holders
    get no more of the ``arrivals`` with it than raise their costs to
    ``level``.
    """
    if not holders:
        return None
    own_level = _compute_level(costs, takes, arrivals)
    if own_level >= level:
        room = sum(
            max(0.0, level - c) * t for c, t in zip(costs, takes, strict=True)
        )
        if room <= 0.0 or random.random() * arrivals >= room:
            return None
        own_level = level
    return holders[_pick_below(own_level, costs, takes, random)]


def _compute_level(
    costs: Sequence[float], takes: Sequence[float], arrivals: float
) -> float:
    """Return the level to which requests raise the lowest of the costs.

    Each target takes ``takes`` requests for each second of cost.
    """
    filled = weighted = 0.0
    for cost, take in sorted(zip(costs, takes, strict=True)):
        if cost * filled - weighted > arrivals:
            break
        filled += take
        weighted += cost * take
    return (arrivals + weighted) / filled


def _pick_below(
    level: float,
    costs: Sequence[float],
    takes: Sequence[float],
    random: Random,
) -> int:
    """Return an index by chance, weighted by the requests up to a level."""
    weights = [
        max(0.0, level - c) * t for c, t in zip(costs, takes, strict=True)
    ]
    total = sum(weights)
    if total <= 0.0:
        return min(range(len(costs)), key=costs.__getitem__)
    rest = random.random() * total
    for index, weight in enumerate(weights):
        rest -= weight
        if rest < 0.0:
            return index
    return weights.index(max(weights))


__all__ = [
    'choose_evenly',
    'compute_even_sample_size',
    'ExpectedArrivals',
    'is_called_for',
    'MIN_HOLDERS',
    'SentRequests',
]
