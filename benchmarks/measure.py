"""Helpers for measuring time and memory."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_MICROSECONDS = 1e6
_REPEATS = 3


class Slope(NamedTuple):
    """A quantity at several sizes, and the line through them.

    ``curved`` if the last step rises by over 1.5 times the first one's
    slope, so that a line must not be trusted beyond the sizes.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    base: float
    slope: float
    curved: bool


def fit(
    name: str, unit: str, per: str, sizes: list[int], values: list[float]
) -> Slope:
    """Return the least-squares line through values at sizes."""
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    pairs = list(zip(sizes, values, strict=True))
    over = sum((x - mean_x) * (y - mean_y) for x, y in pairs)
    slope = over / sum((x - mean_x) ** 2 for x in sizes)
    first = (values[1] - values[0]) / (sizes[1] - sizes[0])
    last = (values[-1] - values[-2]) / (sizes[-1] - sizes[-2])
    curved = last > 1.5 * max(first, slope * 0.1, 1e-12)
    return Slope(
        name,
        unit,
        per,
        tuple(sizes),
        tuple(values),
        mean_y - slope * mean_x,
        slope,
        curved,
    )


def time_each(work: Callable[[], object], times: int) -> float:
    """Return microseconds of processor time per call, the best of 3."""
    best = float('inf')
    for _ in range(_REPEATS):
        started = time.process_time()
        for _ in range(times):
            work()
        best = min(best, time.process_time() - started)
    return best / times * _MICROSECONDS


def weigh(make: Callable[[], object]) -> float:
    """Return the bytes that stay allocated for what ``make`` returns."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(after - before)


__all__ = ['fit', 'Slope', 'time_each', 'weigh']
