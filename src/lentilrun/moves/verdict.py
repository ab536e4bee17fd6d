"""Verdicts: whether a new version regressed against the old one.

Versions are compared by their failures and times on the same route.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..decisions.regressions import is_share_higher
from .tallies import MAX_EPOCHS
from .tallies import TallySums
from .tallies import VersionOnRoute

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .tallies import TallyBook

_MIN_TIMED_REQUESTS = 8
_MIN_SLOW_RATIO = 1.3
_MIN_SLOW_T_STATISTIC = 4.0
_WINDOWS_EPOCHS = (1, 2, MAX_EPOCHS)


def _fails_more(new: TallySums, old: TallySums) -> bool:
    return is_share_higher(
        new.failures,
        new.count_requests(),
        old.failures,
        old.count_requests(),
    )


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
