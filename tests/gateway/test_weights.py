"""The time since a version was replaced, by when and how it was read."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from lentilrun.coordination.clock import ManualClock
from lentilrun.decisions.weightsage import compute_unknown_age
from lentilrun.decisions.weightsage import compute_withdrawal_delay
from lentilrun.gateway.announcements import AnnouncedVersion
from lentilrun.gateway.announcements import AnnouncedWeights
from lentilrun.gateway.logs import Log
from lentilrun.gateway.targets import Targets
from lentilrun.gateway.view import View
from lentilrun.platform.rows import Row
from lentilrun.standins.configuration import make_weights_announcement
from lentilrun.standins.configuration import MODEL
import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.mark.parametrize(
    ('version', 'expected'), [(1, 10.0), (2, 14.0), (3, 20.0), (5, None)]
)
def test_replaced_at(version: int, expected: float | None) -> None:
    """A third version does not change when the first was replaced."""
    weights = AnnouncedWeights(AnnouncedVersion(1, 0.0))
    assert weights.add(AnnouncedVersion(2, 10.0))
    assert weights.add(AnnouncedVersion(3, 14.0))
    assert weights.add(AnnouncedVersion(5, 20.0))
    assert not weights.add(AnnouncedVersion(4, 21.0))
    assert weights.replaced_at(version) == expected


@pytest.mark.parametrize(
    ('observed', 'expected'),
    [
        # Another VM saw the announcement earlier, or a little later.
        (AnnouncedVersion(3, 12.0), [10.0, 12.0]),
        (AnnouncedVersion(3, 15.0), [10.0, 14.0]),
        (AnnouncedVersion(3, 13.99), [10.0, 14.0]),
        # This VM only assumed when the first was announced.
        (AnnouncedVersion(2, 11.0), [11.0, 14.0]),
        # This VM missed a version.
        (AnnouncedVersion(1, 8.0), [10.0, 14.0]),
        # A version that this VM has not read yet counts from its row.
        (AnnouncedVersion(9, 13.0), [10.0, 14.0]),
    ],
)
def test_times_observed_by_others(
    observed: AnnouncedVersion, expected: list[float]
) -> None:
    """The earliest time that any VM observed counts."""
    weights = AnnouncedWeights(AnnouncedVersion(2, 10.0, True))
    assert weights.add(AnnouncedVersion(3, 14.0))
    weights.correct(observed)
    assert [weights.replaced_at(v) for v in (1, 2)] == expected


def test_missed_version_replaces_older_ones() -> None:
    """A version that this VM missed counts from when others saw it."""
    weights = AnnouncedWeights(AnnouncedVersion(2, 10.0))
    weights.add(AnnouncedVersion(5, 20.0))
    assert weights.correct(AnnouncedVersion(4, 16.0))
    assert [weights.replaced_at(v) for v in (1, 2, 4)] == [10.0, 16.0, 20.0]
    assert weights.newest_version == 5


def test_assumed_times_are_reported_as_such() -> None:
    """At most the newest twelve go to other VMs, observed or assumed."""
    weights = AnnouncedWeights(AnnouncedVersion(1, 0.0, True))
    for number in range(2, 20):
        weights.add(AnnouncedVersion(number, float(number)))
    reported = [a.version for a in weights.list_newest(False)]
    assert reported == list(range(8, 20))
    assert [a.version for a in weights.list_newest(True)] == [1]


@pytest.mark.parametrize(
    ('known', 'reported', 'expected'),
    [
        # An observed time goes before assumed ones, also if it is later.
        (AnnouncedVersion(2, 5.0, True), AnnouncedVersion(2, 9.0), 9.0),
        (AnnouncedVersion(2, 9.0), AnnouncedVersion(2, 5.0, True), 9.0),
        # Of assumed times, the earliest counts.
        (AnnouncedVersion(2, 5.0, True), AnnouncedVersion(2, 9.0, True), 5.0),
        (AnnouncedVersion(2, 9.0, True), AnnouncedVersion(2, 5.0, True), 5.0),
        # A VM that missed the version takes over what others assume.
        (AnnouncedVersion(3, 9.0), AnnouncedVersion(2, 5.0, True), 5.0),
    ],
)
def test_assumed_times_of_others(
    known: AnnouncedVersion, reported: AnnouncedVersion, expected: float
) -> None:
    """Guards against a version that seems newer as nobody observed it."""
    weights = AnnouncedWeights(known)
    weights.correct(reported)
    assert weights.replaced_at(1) == expected


def test_versions_that_are_not_kept_change_nothing() -> None:
    """Guards against corrections without end after many versions."""
    weights = AnnouncedWeights(AnnouncedVersion(1, 0.0))
    for number in range(2, 60):
        weights.add(AnnouncedVersion(number, float(number)))
    assert not weights.correct(AnnouncedVersion(2, 1.0))


@pytest.fixture
def log_file() -> Iterator[int]:
    """Open a file descriptor that takes the log."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


@pytest.mark.parametrize(
    ('is_read_before', 'read_after', 'expected'),
    [
        # The model has its first announcement while this process follows.
        (True, 1.5, 2.0),
        # The announcement may be old: the process has just started.
        (False, 0.0, 7.0),
        # It is known late: the age counts from the start of the process.
        (False, 1.5, 8.5),
    ],
)
def test_age_of_a_first_announcement(
    is_read_before: bool, read_after: float, expected: float, log_file: int
) -> None:
    """Only announcements before the first read are assumed to be old."""
    clock = ManualClock()
    targets = Targets(clock, 'a')
    view = View(clock, targets, 5.0, Log(clock, 'vm1', log_file))
    clock.advance(read_after)
    if is_read_before:
        view.mark_operator_rows_read()
    value = make_weights_announcement(2)
    view.apply_operator_row(Row(f'version/{MODEL}', value, 5))
    clock.advance(2.0)
    assert view.stale_for(MODEL, 1) == expected


@pytest.mark.parametrize(
    ('limit', 'undisturbed'),
    [(8.0, 3.0), (10.0, 4.0), (10.0, 5.0), (30.0, 4.0)],
)
def test_unknown_age_reaches_the_limit_as_it_binds(
    limit: float, undisturbed: float
) -> None:
    """Guards against an assumed age that fits one deployment only."""
    age = compute_unknown_age(limit, undisturbed) + undisturbed
    assert compute_withdrawal_delay(age, limit) == 0.0
    assert age < limit + undisturbed
