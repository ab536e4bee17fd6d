"""Verdicts: whether a new version regressed against the old one.

Versions are compared by their failures and times on the same route.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .tallies import MAX_EPOCHS
from .tallies import TallySums
from .tallies import VersionOnRoute

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .tallies import TallyBook

_Z_SCORE = 2.58
_MIN_FAILURES = 3
_MIN_TIMED_REQUESTS = 8
_MIN_SLOW_RATIO = 1.3
_MIN_SLOW_T_STATISTIC = 4.0
_WINDOWS_EPOCHS = (1, 2, MAX_EPOCHS)
# Stands for earlier outcomes of the old version, so that failures can be
# compared even if it has no traffic of its own.
_PRIOR = TallySums(successes=30)


def _compute_wilson_bound(failures: int, total: int, side: float) -> float:
    """Return a Wilson score bound on the share of failures.

    ``side`` is -1 for the lower bound and 1 for the upper one.
    """
    if not total:
        return 0.0 if side < 0 else 1.0
    share = failures / total
    z_squared = _Z_SCORE * _Z_SCORE
    centre = share + z_squared / (2 * total)
    spread = share * (1 - share) / total
    spread += z_squared / (4 * total * total)
    bound = centre + side * _Z_SCORE * math.sqrt(spread)
    return bound / (1 + z_squared / total)


def _fails_more(new: TallySums, old: TallySums) -> bool:
    if new.failures < _MIN_FAILURES:
        return False
    new_lower_bound = _compute_wilson_bound(
        new.failures, new.count_requests(), -1.0
    )
    old_with_prior = TallySums(old.successes + _PRIOR.successes, old.failures)
    old_upper_bound = _compute_wilson_bound(
        old_with_prior.failures, old_with_prior.count_requests(), 1.0
    )
    return new_lower_bound > old_upper_bound


def _variance(sums: TallySums) -> float:
    mean = sums.log_sum / sums.successes
    return max(0.0, sums.log_squares / sums.successes - mean * mean)


def _is_slower(new: TallySums, old: TallySums) -> bool:
    if (
        new.successes < _MIN_TIMED_REQUESTS
        or old.successes < _MIN_TIMED_REQUESTS
    ):
        return False
    gap = new.log_sum / new.successes - old.log_sum / old.successes
    squared_error = (
        _variance(new) / new.successes + _variance(old) / old.successes
    )
    if gap < math.log(_MIN_SLOW_RATIO):
        return False
    return gap > _MIN_SLOW_T_STATISTIC * math.sqrt(squared_error + 1e-6)


def find_regression(new: TallySums, old: TallySums) -> str:
    """Return why ``new`` is worse than ``old``, or an empty string."""
    if _fails_more(new, old):
        return (
            f'failed {new.failures} of {new.count_requests()}, '
            f'the old version {old.failures} of {old.count_requests()}'
        )
    if _is_slower(new, old):
        gap = new.log_sum / new.successes - old.log_sum / old.successes
        return f'took {math.exp(gap):.2f} times as long'
    return ''


def _sum_other_versions(
    sums_by_subject: dict[VersionOnRoute, TallySums], subject: VersionOnRoute
) -> TallySums:
    old = TallySums()
    for other, sums in sums_by_subject.items():
        is_same_route = (other.model, other.route) == (
            subject.model,
            subject.route,
        )
        if is_same_route and other.version != subject.version:
            old = old.add(sums)
    return old


def find_fault(book: TallyBook, model: str, version: str) -> str:
    """Return how a version regressed on a route, or an empty string."""
    for window in _WINDOWS_EPOCHS:
        sums_by_subject = book.sum_by_version(window)
        for subject in _list_subjects(sums_by_subject, model, version):
            old = _sum_other_versions(sums_by_subject, subject)
            reason = find_regression(sums_by_subject[subject], old)
            if reason:
                return f'route {subject.route}: {reason}'
    return ''


def _list_subjects(
    subjects: Iterable[VersionOnRoute], model: str, version: str
) -> list[VersionOnRoute]:
    return [s for s in subjects if (s.model, s.version) == (model, version)]


def count_recent_requests(book: TallyBook, model: str, version: str) -> int:
    """Return the requests of a version on all routes in all epochs kept."""
    sums_by_subject = book.sum_by_version(MAX_EPOCHS)
    return sum(
        sums_by_subject[s].count_requests()
        for s in _list_subjects(sums_by_subject, model, version)
    )


__all__ = ['count_recent_requests', 'find_fault', 'find_regression']
