"""Measurement of processor time and memory, and fits of lines."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_US_PER_S = 1e6
_REPEATS = 3


class Slope(NamedTuple):
    """A quantity at several sizes, and the line fitted to it.

    ``curved`` is set if the slope between the last two sizes is over 1.5
    times that between the first two; the line must not be extrapolated
    then.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    base: float
    slope: float
    curved: bool


def fit_line(
    name: str, unit: str, per: str, sizes: list[int], values: list[float]
) -> Slope:
    """Fit a least-squares line to values at sizes."""
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    pairs = list(zip(sizes, values, strict=True))
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in pairs)
    slope = covariance / sum((x - mean_x) ** 2 for x in sizes)
    first_slope = (values[1] - values[0]) / (sizes[1] - sizes[0])
    last_slope = (values[-1] - values[-2]) / (sizes[-1] - sizes[-2])
    curved = last_slope > 1.5 * max(first_slope, slope * 0.1, 1e-12)
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


def measure_call_us(call: Callable[[], object], calls: int) -> float:
    """Return the processor time per call in us, the shortest of 3 runs."""
    shortest = float('inf')
    for _ in range(_REPEATS):
        started_at = time.process_time()
        for _ in range(calls):
            call()
        shortest = min(shortest, time.process_time() - started_at)
    return shortest / calls * _US_PER_S


def measure_bytes(build: Callable[[], object]) -> float:
    """Return the bytes allocated by the object that ``build`` returns."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return float(after - before)


__all__ = ['fit_line', 'measure_bytes', 'measure_call_us', 'Slope']
