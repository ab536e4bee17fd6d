"""Responses of a service's versions that VMs report to each other."""

from __future__ import annotations

import collections
import secrets
from typing import TYPE_CHECKING

from ..decisions.rolloutverdict import Fate
from ..decisions.rolloutverdict import Outcome
from .messages import OutcomeReport
from .recent import Origin
from .recent import RecentReports

if TYPE_CHECKING:
    from ..coordination.clock import Clock

# Old responses that a VM remembers for each route.
_MAX_OLD_ON_ROUTE = 100
_MAX_OUTCOMES = 1500
# A VM reports at most so many responses of a route and version a second,
# whatever they are, which keeps messages small and the sample fair.
_MAX_NEW_PER_S = 8
_MAX_OLD_PER_S = 2
_FIRST_NUMBER_BITS = 32


class OutcomeLedger:
    """The outcomes of one roll-out, of all VMs.

    Of reports with the same VM and number, that of the furthest state counts:
    a response may be reported as overdue, and then as it ended.
    """

    def __init__(self, order: int) -> None:
        """Collect reports for the order with this row version."""
        self.order = order
        self._new: dict[tuple[str, int], Outcome] = {}
        self._old: dict[tuple[str, int], Outcome] = {}
        self.has_changed = False

    def add(self, report: OutcomeReport, now: float) -> None:
        """Add a report that was received ``now``."""
        outcomes = self._new if report.is_new else self._old
        key = (report.node, report.number)
        previous = outcomes.get(key)
        outcome = Outcome(
            previous.at if previous is not None else now,
            report.route,
            report.target,
            Fate(report.fate),
            report.first_level,
            report.rest_level,
        )
        if previous is not None and _is_at_least(previous, outcome):
            return
        outcomes[key] = outcome
        if len(outcomes) > _MAX_OUTCOMES:
            del outcomes[next(iter(outcomes))]
        self.has_changed |= report.is_new

    def list_new(self) -> list[Outcome]:
        """Return the outcomes of the new version."""
        return list(self._new.values())

    def list_old(self) -> list[Outcome]:
        """Return the outcomes of other versions."""
        return list(self._old.values())


def _is_at_least(known: Outcome, outcome: Outcome) -> bool:
    """Return whether a response was known as ``outcome``, or as further.

    Its times only grow, and a failure ends it.
    """
    return _measure_progress(known) >= _measure_progress(outcome)


def _measure_progress(outcome: Outcome) -> tuple[bool, int, int]:
    return (
        outcome.fate is not Fate.GOOD,
        outcome.first_level,
        outcome.rest_level,
    )


class _Quota:
    """Counts the reports of a route and version in the current second."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0

    def spend(self, now: float, limit: int) -> bool:
        if int(now) != self._second:
            self._second = int(now)
            self._count = 0
        self._count += 1
        return self._count <= limit


class OutcomeReporter:
    """Numbers this VM's outcomes, limits and keeps them for messages."""

    def __init__(self, node: str, clock: Clock) -> None:
        self._node = node
        self._clock = clock
        # Numbers of an earlier process of this VM are not used again.
        self._number = secrets.randbits(_FIRST_NUMBER_BITS)
        self._quotas: collections.defaultdict[
            tuple[str, str, bool], _Quota
        ] = collections.defaultdict(_Quota)
        self._old: collections.defaultdict[
            tuple[str, str], collections.deque[Outcome]
        ] = collections.defaultdict(
            lambda: collections.deque(maxlen=_MAX_OLD_ON_ROUTE)
        )
        self.recent: RecentReports[OutcomeReport] = RecentReports(clock)

    def next_number(self) -> int:
        """Return a number for another outcome."""
        self._number += 1
        return self._number

    def remember(self, service: str, outcome: Outcome) -> None:
        """Keep an outcome of a version that no roll-out names."""
        self._old[service, outcome.route].append(outcome)

    def list_remembered(self, service: str) -> list[Outcome]:
        """Return the outcomes of a service that this VM remembers."""
        return [
            outcome
            for (name, _), outcomes in self._old.items()
            if name == service
            for outcome in outcomes
        ]

    def report(
        self,
        service: str,
        order: int,
        number: int,
        outcome: Outcome,
        is_new: bool,
    ) -> OutcomeReport | None:
        """Report an outcome; return nothing if there are too many."""
        quota = self._quotas[service, outcome.route, is_new]
        limit = _MAX_NEW_PER_S if is_new else _MAX_OLD_PER_S
        if not quota.spend(self._clock.now(), limit):
            return None
        report = OutcomeReport(
            self._node,
            number,
            service,
            order,
            outcome.route,
            outcome.target,
            is_new,
            int(outcome.fate),
            outcome.first_level,
            outcome.rest_level,
        )
        self.recent.add(report, Origin.OWN)
        return report


__all__ = ['OutcomeLedger', 'OutcomeReporter']
