"""Whether a new version is worse than the old one on the same route."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .tallies import KEPT_EPOCHS
from .tallies import Subject
from .tallies import Sums

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .tallies import TallyBook

_Z = 2.58
_LEAST_FAILURES = 3
_LEAST_TIMED = 8
_SLOW_RATIO = 1.3
_SLOW_T = 4.0
_WINDOWS = (1, 2, KEPT_EPOCHS)
# Stands for what an old version without traffic of its own did before.
_PRIOR = Sums(done=30)


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


def _fails_more(new: Sums, old: Sums) -> bool:
    if new.failed < _LEAST_FAILURES:
        return False
    low = _bound(new.failed, new.total(), -1.0)
    base = Sums(old.done + _PRIOR.done, old.failed)
    high = _bound(base.failed, base.total(), 1.0)
    return low > high


def _variance(sums: Sums) -> float:
    mean = sums.log_sum / sums.done
    return max(0.0, sums.log_squares / sums.done - mean * mean)


def _is_slower(new: Sums, old: Sums) -> bool:
    if new.done < _LEAST_TIMED or old.done < _LEAST_TIMED:
        return False
    gap = new.log_sum / new.done - old.log_sum / old.done
    error = _variance(new) / new.done + _variance(old) / old.done
    if gap < math.log(_SLOW_RATIO):
        return False
    return gap > _SLOW_T * math.sqrt(error + 1e-6)


def judge(new: Sums, old: Sums) -> str:
    """Return why ``new`` is worse than ``old``, or nothing."""
    if _fails_more(new, old):
        return (
            f'failed {new.failed} of {new.total()}, '
            f'the old version {old.failed} of {old.total()}'
        )
    if _is_slower(new, old):
        gap = new.log_sum / new.done - old.log_sum / old.done
        return f'took {math.exp(gap):.2f} times as long'
    return ''


def _sum_others(found: dict[Subject, Sums], subject: Subject) -> Sums:
    old = Sums()
    for other, sums in found.items():
        same = (other.model, other.route) == (subject.model, subject.route)
        if same and other.version != subject.version:
            old = old.join(sums)
    return old


def find_fault(book: TallyBook, model: str, version: str) -> str:
    """Return why a version is bad on some route, or nothing."""
    for window in _WINDOWS:
        found = book.sum(window)
        for subject in _subjects(found, model, version):
            old = _sum_others(found, subject)
            reason = judge(found[subject], old)
            if reason:
                return f'route {subject.route}: {reason}'
    return ''


def _subjects(
    found: Iterable[Subject], model: str, version: str
) -> list[Subject]:
    return [s for s in found if (s.model, s.version) == (model, version)]


def count_seen(book: TallyBook, model: str, version: str) -> int:
    """Return the requests that a version served lately, on all routes."""
    found = book.sum(KEPT_EPOCHS)
    return sum(found[s].total() for s in _subjects(found, model, version))


__all__ = ['count_seen', 'find_fault', 'judge']
