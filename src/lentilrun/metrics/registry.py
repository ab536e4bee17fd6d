"""Counters and histograms of a process, for Prometheus."""

from __future__ import annotations

import collections
import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import SummaryMetricFamily
from prometheus_client import generate_latest
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from prometheus_client.core import Metric

_US_PER_S = 1_000_000
_MAX_TIME_US = 3600 * _US_PER_S
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0, 100.0)


class Count(enum.StrEnum):
    """Counters; each may have one label."""

    REQUESTS = 'requests'
    REFUSALS = 'refusals'
    ATTEMPTS = 'attempts'
    FORWARDS = 'forwards'
    RETRIES = 'retries'
    RESUMES = 'resumes'
    CROSSED_ANSWERS = 'crossed_answers'
    BROKEN_STREAMS = 'broken_streams'
    LOANS_ASKED = 'loans_asked'
    LOANS_GIVEN = 'loans_given'
    LOANS_LATE = 'loans_late'
    SURVEYS = 'surveys'
    PEER_MESSAGES = 'peer_messages'
    PEER_BYTES = 'peer_bytes'
    BAD_MESSAGES = 'bad_messages'
    PLATFORM_ERRORS = 'platform_errors'
    CACHE_EVENTS = 'cache_events'
    CACHE_GAPS = 'cache_gaps'
    PROMPT_TOKENS = 'prompt_tokens'
    CACHED_TOKENS = 'cached_tokens'
    OUTPUT_TOKENS = 'output_tokens'
    CRASH_SUSPECTS = 'crash_suspects'
    QUARANTINES = 'quarantines'
    CANCELLED = 'cancelled'
    TASK_FAILURES = 'task_failures'


class Timing(enum.StrEnum):
    """Timed operations, with histograms in microseconds."""

    FIRST_TOKEN = 'first_token'
    REQUEST = 'request'
    ADMISSION = 'admission'
    DECISION = 'decision'
    IN_FORCE = 'in_force'


class Quantile(NamedTuple):
    """A quantile of a timing, in microseconds."""

    percent: float
    microseconds: int


class Metrics(Collector):
    """The counters, gauges and timings of a process."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[Count, str]] = (
            collections.Counter()
        )
        self._timings: dict[Timing, HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._labelled: dict[str, Callable[[], Mapping[str, float]]] = {}
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def add(self, count: Count, label: str = '', by: int = 1) -> None:
        """Add to a counter."""
        self._counts[count, label] += by

    def get(self, count: Count, label: str | None = None) -> int:
        """Return the count of a label, or the sum over all labels."""
        if label is not None:
            return self._counts[count, label]
        return sum(n for (c, _), n in self._counts.items() if c is count)

    def record_time(self, timing: Timing, seconds: float) -> None:
        """Record a duration; the longest one recorded is an hour."""
        histogram = self._timings.get(timing)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_TIME_US, _SIGNIFICANT_DIGITS)
            self._timings[timing] = histogram
        time_us = int(seconds * _US_PER_S)
        histogram.record_value(min(max(1, time_us), _MAX_TIME_US))

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Expose what ``read`` returns as a gauge."""
        self._gauges[name] = read

    def add_labelled_gauge(
        self, name: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Expose what ``read`` returns as a gauge, by label."""
        self._labelled[name] = read

    def quantiles(self, timing: Timing) -> tuple[Quantile, ...]:
        """Return the quantiles of a timing; none if it has no values."""
        histogram = self._timings.get(timing)
        if histogram is None:
            return ()
        return tuple(
            Quantile(p, histogram.get_value_at_percentile(p))
            for p in _PERCENTILES
        )

    def timings(self) -> list[Timing]:
        """Return the timings that have values."""
        return list(self._timings)

    def counts(self) -> dict[str, int]:
        """Return all counts by name and label."""
        return {
            f'{count}:{label}' if label else str(count): number
            for (count, label), number in sorted(self._counts.items())
        }

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics for ``prometheus_client``."""
        families: dict[Count, CounterMetricFamily] = {}
        for (count, label), number in sorted(self._counts.items()):
            family = families.get(count)
            if family is None:
                name = f'lentilrun_{count}'
                family = CounterMetricFamily(name, count, labels=['label'])
                families[count] = family
            family.add_metric([label], number)
        yield from families.values()
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(f'lentilrun_{name}', name, read())
        yield from self._collect_labelled()
        yield from self._collect_timings()

    def _collect_labelled(self) -> Iterable[Metric]:
        for name, read in self._labelled.items():
            family = GaugeMetricFamily(
                f'lentilrun_{name}', name, labels=['label']
            )
            for label, value in sorted(read().items()):
                family.add_metric([label], value)
            yield family

    def _collect_timings(self) -> Iterable[Metric]:
        for timing, histogram in self._timings.items():
            name = f'lentilrun_{timing}_seconds'
            count = histogram.get_total_count()
            sum_s = histogram.get_mean_value() * count / _US_PER_S
            yield SummaryMetricFamily(name, timing, count, sum_s)
            family = GaugeMetricFamily(
                f'{name}_quantile', timing, labels=['percent']
            )
            for quantile in self.quantiles(timing):
                seconds = quantile.microseconds / _US_PER_S
                family.add_metric([str(quantile.percent)], seconds)
            yield family

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


__all__ = ['Count', 'Metrics', 'Quantile', 'Timing']
