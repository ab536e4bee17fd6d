"""Whether a new version is worse than the old one on the same route."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .tallies import MAX_EPOCHS
from .tallies import TallySums
from .tallies import VersionOnRoute

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .tallies import TallyBook

_Z = 2.58
_LEAST_FAILURES = 3
_LEAST_TIMED = 8
_SLOW_RATIO = 1.3
_SLOW_T = 4.0
_WINDOWS = (1, 2, MAX_EPOCHS)
# Stands for what an old version without traffic of its own did before.
_PRIOR = TallySums(successes=30)


def _bound(failed: int, total: int, side: float) -> float:
    """Return a Wilson bound on the share of failures."""
    if not total:
        return 0.0 if side < 0 else 1.0
    share = failed / total
    z_squared = _Z * _Z
    centre = share + z_squared / (2 * total)
    spread = share * (1 - share) / total
    spread += z_squared / (4 * total * total)
    bound = centre + side * _Z * math.sqrt(spread)
    return bound / (1 + z_squared / total)


def _fails_more(new: TallySums, old: TallySums) -> bool:
    if new.failures < _LEAST_FAILURES:
        return False
    low = _bound(new.failures, new.count_requests(), -1.0)
    base = TallySums(old.successes + _PRIOR.successes, old.failures)
    high = _bound(base.failures, base.count_requests(), 1.0)
    return low > high


def _variance(sums: TallySums) -> float:
    mean = sums.log_sum / sums.successes
    return max(0.0, sums.log_squares / sums.successes - mean * mean)


def _is_slower(new: TallySums, old: TallySums) -> bool:
    if new.successes < _LEAST_TIMED or old.successes < _LEAST_TIMED:
        return False
    gap = new.log_sum / new.successes - old.log_sum / old.successes
    error = _variance(new) / new.successes + _variance(old) / old.successes
    if gap < math.log(_SLOW_RATIO):
        return False
    return gap > _SLOW_T * math.sqrt(error + 1e-6)


def find_regression(new: TallySums, old: TallySums) -> str:
    """Return why ``new`` is worse than ``old``, or nothing."""
    if _fails_more(new, old):
        return (
            f'failed {new.failures} of {new.count_requests()}, '
            f'the old version {old.failures} of {old.count_requests()}'
        )
    if _is_slower(new, old):
        gap = new.log_sum / new.successes - old.log_sum / old.successes
        return f'took {math.exp(gap):.2f} times as long'
    return ''


def _sum_others(
    found: dict[VersionOnRoute, TallySums], subject: VersionOnRoute
) -> TallySums:
    old = TallySums()
    for other, sums in found.items():
        same = (other.model, other.route) == (subject.model, subject.route)
        if same and other.version != subject.version:
            old = old.add(sums)
    return old


def find_fault(book: TallyBook, model: str, version: str) -> str:
    """Return why a version is bad on some route, or nothing."""
    for window in _WINDOWS:
        found = book.sum_by_version(window)
        for subject in _subjects(found, model, version):
            old = _sum_others(found, subject)
            reason = find_regression(found[subject], old)
            if reason:
                return f'route {subject.route}: {reason}'
    return ''


def _subjects(
    found: Iterable[VersionOnRoute], model: str, version: str
) -> list[VersionOnRoute]:
    return [s for s in found if (s.model, s.version) == (model, version)]


def count_recent_requests(book: TallyBook, model: str, version: str) -> int:
    """Return the requests that a version served lately, on all routes."""
    found = book.sum_by_version(MAX_EPOCHS)
    return sum(
        found[s].count_requests() for s in _subjects(found, model, version)
    )


__all__ = ['count_recent_requests', 'find_fault', 'find_regression']
