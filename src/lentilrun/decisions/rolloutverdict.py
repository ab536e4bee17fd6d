"""Whether a new software version is bad, from responses of all VMs.

Designed for this load: a version of which a part of the responses fails or
takes several times as long, at once or after some seconds, everywhere or on
one route, beside targets that are slow, break off or restart whatever
software they run. So a version is compared with the old one on the same
route, and is bad only if several of its targets show it.
"""

from __future__ import annotations

import collections
import enum
import math
import statistics
from typing import NamedTuple
from typing import TYPE_CHECKING

from .regressions import is_share_higher

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

# Times are compared in quarters of an octave.
_LEVELS_PER_OCTAVE = 4
_MAX_LEVEL = 120
_LEVEL_OF_EXPECTED = 40
_MIN_SECONDS = 1e-4
# No time was measured.
NO_LEVEL = -1
# A response is slow if it takes this many levels more than the median of
# the old version: 2.8 times as long.
_SLOW_LEVELS = 6
_SLOW_Z_SCORE = 3.0
_MIN_SLOW = 5
_MIN_COMPARED = 8
_MIN_MEAN_RATIO = 1.8
_MIN_T_STATISTIC = 4.0
# Without a second target, so many bad responses of one are needed.
_MIN_BAD_AT_ONE_TARGET = 12
# Besides all responses, those of the last seconds are compared, as a
# version may turn bad later.
_RECENT_S = 4.0
# Responses of the old version in the same time are the better comparison if
# there are at least as many.
_MIN_RECENT_OLD = 15
# Responses that break off at one target within this time count once: the
# target may have crashed for another reason.
_BREAK_S = 1.0
# A version is doubtful if so many bad responses would be as rare as this
# with the old version.
_DOUBTFUL_PROBABILITY = 0.03
_DOUBTFUL_EXTRA_SHARE = 0.05
# It is also doubtful if its responses take so many times as long.
_DOUBTFUL_MEAN_RATIO = 1.5
_DOUBTFUL_T_STATISTIC = 2.5


class Fate(enum.IntEnum):
    """How a response ended."""

    GOOD = 0
    FAILED = 1
    BROKEN = 2


class Outcome(NamedTuple):
    """A response of a target; ``at`` by the clock, in seconds.

    ``first_level`` compares the time to its beginning with what was
    expected, ``rest_level`` is the time between its events; both are
    ``NO_LEVEL`` if unknown.
    """

    at: float
    route: str
    target: str
    fate: Fate
    first_level: int = NO_LEVEL
    rest_level: int = NO_LEVEL


def compute_level(seconds: float, expected: float) -> int:
    """Return a time in quarter octaves, relative to the expected one."""
    ratio = max(_MIN_SECONDS, seconds) / max(_MIN_SECONDS, expected)
    level = round(_LEVELS_PER_OCTAVE * math.log2(ratio)) + _LEVEL_OF_EXPECTED
    return min(_MAX_LEVEL, max(0, level))


class _Measure(NamedTuple):
    name: str
    read: Callable[[Outcome], int]


_MEASURES = (
    _Measure('the beginning', lambda outcome: outcome.first_level),
    _Measure('the events', lambda outcome: outcome.rest_level),
)


def _merge_breaks(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Return outcomes, with one break for each target and second."""
    merged = []
    breaks = set()
    for outcome in outcomes:
        if outcome.fate is Fate.BROKEN:
            key = (outcome.target, int(outcome.at / _BREAK_S))
            if key in breaks:
                continue
            breaks.add(key)
        merged.append(outcome)
    return merged


def _is_widespread(bad: Sequence[Outcome]) -> bool:
    """Return whether the bad responses are not those of one bad target."""
    targets = {o.target for o in bad}
    return len(targets) > 1 or len(bad) >= _MIN_BAD_AT_ONE_TARGET


def _find_failures(
    new: Sequence[Outcome], old: Sequence[Outcome], where: str
) -> str:
    bad = [o for o in new if o.fate is not Fate.GOOD]
    old_bad = sum(o.fate is not Fate.GOOD for o in old)
    if not is_share_higher(len(bad), len(new), old_bad, len(old)):
        return ''
    if not _is_widespread(bad):
        return ''
    return (
        f'{where}: {len(bad)} of {len(new)} failed, '
        f'of the old version {old_bad} of {len(old)}'
    )


def _list_measured(
    outcomes: Iterable[Outcome], measure: _Measure
) -> list[Outcome]:
    return [o for o in outcomes if measure.read(o) != NO_LEVEL]


def _find_slow(
    outcomes: Sequence[Outcome], measure: _Measure, median: float
) -> list[Outcome]:
    return [o for o in outcomes if measure.read(o) - median >= _SLOW_LEVELS]


def _find_slowness(
    new: Sequence[Outcome],
    old: Sequence[Outcome],
    measure: _Measure,
    where: str,
) -> str:
    new = _list_measured(new, measure)
    old = _list_measured(old, measure)
    if len(old) < _MIN_COMPARED:
        return ''
    median = statistics.median(map(measure.read, old))
    slow = _find_slow(new, measure, median)
    old_slow = len(_find_slow(old, measure, median))
    if (
        len(slow) >= _MIN_SLOW
        and _is_widespread(slow)
        and is_share_higher(
            len(slow), len(new), old_slow, len(old), _SLOW_Z_SCORE
        )
    ):
        return (
            f'{where}: {measure.name} of {len(slow)} of {len(new)} slow, '
            f'of the old version {old_slow} of {len(old)}'
        )
    ratio = _compute_mean_ratio(new, old, measure, _MIN_T_STATISTIC)
    if ratio < _MIN_MEAN_RATIO or not _is_widespread(new):
        return ''
    return f'{where}: {measure.name} took {ratio:.2f} times as long'


def _compute_mean_ratio(
    new: Sequence[Outcome],
    old: Sequence[Outcome],
    measure: _Measure,
    min_t_statistic: float,
) -> float:
    """Return how many times as long ``new`` took, 0 if that is unsure."""
    if min(len(new), len(old)) < _MIN_COMPARED:
        return 0.0
    new_levels = [measure.read(o) for o in new]
    old_levels = [measure.read(o) for o in old]
    gap = statistics.fmean(new_levels) - statistics.fmean(old_levels)
    squared_error = statistics.variance(new_levels) / len(new_levels)
    squared_error += statistics.variance(old_levels) / len(old_levels)
    if gap <= min_t_statistic * math.sqrt(squared_error + 1e-6):
        return 0.0
    return 2.0 ** float(gap / _LEVELS_PER_OCTAVE)


def _group_by_route(
    outcomes: Iterable[Outcome],
) -> dict[str, list[Outcome]]:
    by_route: dict[str, list[Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        by_route[outcome.route].append(outcome)
    return by_route


def _pick_baseline(old: Sequence[Outcome], since: float) -> list[Outcome]:
    """Return the outcomes since a time, or all if these are too few."""
    recent = [o for o in old if o.at >= since]
    return recent if len(recent) >= _MIN_RECENT_OLD else list(old)


def _find_fault(new: Sequence[Outcome], old: Sequence[Outcome]) -> str:
    if not new:
        return ''
    since = min(o.at for o in new)
    old_by_route = _group_by_route(old)
    for route, new_on_route in _group_by_route(new).items():
        where = f'route {route}'
        old_on_route = _pick_baseline(old_by_route.get(route, []), since)
        reason = _find_failures(new_on_route, old_on_route, where)
        for measure in _MEASURES:
            reason = reason or _find_slowness(
                new_on_route, old_on_route, measure, where
            )
        if reason:
            return reason
    return _find_failures(new, _pick_baseline(old, since), 'all routes')


def find_fault(
    new: Iterable[Outcome], old: Iterable[Outcome], now: float
) -> str:
    """Return how the new version is worse, or an empty string.

    ``now`` is by the clock of the outcomes, in seconds.
    """
    new = _merge_breaks(new)
    old = _merge_breaks(old)
    reason = _find_fault(new, old)
    if reason:
        return reason
    recent = [o for o in new if o.at > now - _RECENT_S]
    if len(recent) == len(new):
        return ''
    return _find_fault(recent, old)


def _list_bad(new: Sequence[Outcome], old: Sequence[Outcome]) -> list[Outcome]:
    """Return those of ``new`` that failed, or are slow beside ``old``."""
    bad = {i for i, o in enumerate(new) if o.fate is not Fate.GOOD}
    for measure in _MEASURES:
        measured = _list_measured(old, measure)
        if len(measured) < _MIN_COMPARED:
            continue
        median = statistics.median(map(measure.read, measured))
        bad.update(
            i
            for i, o in enumerate(new)
            if measure.read(o) != NO_LEVEL
            and measure.read(o) - median >= _SLOW_LEVELS
        )
    return [new[i] for i in sorted(bad)]


def _compute_binomial_tail(hits: int, total: int, share: float) -> float:
    """Return the probability of at least ``hits`` of ``total``."""
    return 1.0 - sum(
        math.comb(total, k) * share**k * (1.0 - share) ** (total - k)
        for k in range(hits)
    )


def _is_rather_slow(new: Sequence[Outcome], old: Sequence[Outcome]) -> bool:
    for measure in _MEASURES:
        ratio = _compute_mean_ratio(
            _list_measured(new, measure),
            _list_measured(old, measure),
            measure,
            _DOUBTFUL_T_STATISTIC,
        )
        if ratio >= _DOUBTFUL_MEAN_RATIO:
            return True
    return False


def is_doubtful(new: Iterable[Outcome], old: Iterable[Outcome]) -> bool:
    """Return whether a version may be bad though that is not sure yet."""
    new_by_route = _group_by_route(_merge_breaks(new))
    old_by_route = _group_by_route(_merge_breaks(old))
    for route, new_on_route in new_by_route.items():
        old_on_route = old_by_route.get(route, [])
        bad = _list_bad(new_on_route, old_on_route)
        old_bad = _list_bad(old_on_route, old_on_route)
        usual_share = (len(old_bad) + 1) / (len(old_on_route) + 2)
        if _is_rather_slow(new_on_route, old_on_route):
            return True
        extra_share = len(bad) / len(new_on_route) - usual_share
        if extra_share < _DOUBTFUL_EXTRA_SHARE or not _is_widespread(bad):
            continue
        probability = _compute_binomial_tail(
            len(bad), len(new_on_route), usual_share
        )
        if probability < _DOUBTFUL_PROBABILITY:
            return True
    return False


__all__ = [
    'compute_level',
    'Fate',
    'find_fault',
    'is_doubtful',
    'NO_LEVEL',
    'Outcome',
]
