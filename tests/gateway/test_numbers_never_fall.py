"""Versions that a VM acts on grow, in whatever order it learns of them."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st
from lentilrun.coordination.clock import ManualClock
from lentilrun.gateway.logs import Log
from lentilrun.gateway.messages import AnnouncementReport
from lentilrun.gateway.targets import Targets
from lentilrun.gateway.view import View
from lentilrun.platform.rows import Row
from lentilrun.platform.rowversions import make_version
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_target_row
from lentilrun.standins.configuration import make_weights_announcement
from lentilrun.standins.configuration import MODEL
import msgspec
import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

_VERSIONS = st.lists(st.integers(1, 9), min_size=1, max_size=12)
_ERAS = st.lists(st.integers(1, 3), min_size=12, max_size=12)


@pytest.fixture(scope='module')
def log_file() -> Iterator[int]:
    """Open a file descriptor that takes the log."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


def _make_view(clock: ManualClock, log_file: int) -> View:
    return View(clock, Targets(clock, 'a'), 5.0, Log(clock, 'vm1', log_file))


@given(_VERSIONS, _ERAS)
def test_configurations(
    log_file: int, versions: list[int], eras: list[int]
) -> None:
    """An older configuration in a newer row, as of a copy, is left out."""
    view = _make_view(ManualClock(), log_file)
    in_force: list[int] = []
    view.on_configuration.append(lambda c: in_force.append(c.version))
    for number, version in enumerate(versions):
        value = msgspec.json.encode(make_configuration(version))
        row_version = make_version(eras[number], number + 1)
        view.apply_operator_row(Row('config', value, row_version))
    assert in_force == sorted(set(in_force))
    assert in_force[-1] == max(versions)


@given(_VERSIONS, st.lists(st.floats(0.0, 9.0), min_size=12, max_size=12))
def test_announced_weights(
    log_file: int, versions: list[int], ages: list[float]
) -> None:
    """The newest version counts, and no version becomes younger."""
    clock = ManualClock()
    view = _make_view(clock, log_file)
    newest = 0
    stale_for: dict[int, float] = {}
    for version, age in zip(versions, ages, strict=False):
        key = f'version/{MODEL}'
        value = make_weights_announcement(version)
        view.apply_operator_row(Row(key, value, 1))
        view.receive_announcements(
            [AnnouncementReport(MODEL, version, age)], []
        )
        newest = max(newest, version)
        assert view.announced[MODEL].newest_version == newest
        for known in range(1, newest):
            current = view.stale_for(MODEL, known)
            assert current >= stale_for.get(known, 0.0) - 1e-6
            stale_for[known] = current
        assert not view.is_replaced(MODEL, newest)


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(1, 9)), min_size=1, max_size=12
    )
)
def test_weights_of_a_target(
    log_file: int, learned: list[tuple[bool, int]]
) -> None:
    """Its row, reports of it and those of other VMs overtake each other."""
    view = _make_view(ManualClock(), log_file)
    newest = 0
    for number, (is_row, version) in enumerate(learned):
        versions = {MODEL: version if is_row else 1}
        if is_row or not number:
            value = make_target_row('llm', '127.0.0.1:9', versions, 'ready')
            view.apply_target_row(Row('e1', value, number + 1))
        state = view.targets.states['e1']
        if not is_row:
            state.record_weights_version(MODEL, version)
        newest = max(newest, version)
        assert state.weights_versions[MODEL] == newest
