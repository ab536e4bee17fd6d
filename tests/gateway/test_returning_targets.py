"""What a VM knows of a target whose registration is lost and returns."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from lentilrun.coordination.clock import ManualClock
from lentilrun.gateway.logs import Log
from lentilrun.gateway.targets import Targets
from lentilrun.gateway.view import View
from lentilrun.platform.rows import Row
from lentilrun.standins.configuration import make_target_row
import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

_ADDRESS = '127.0.0.1:9'


@pytest.fixture
def log_file() -> Iterator[int]:
    """Open a file descriptor that takes the log."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


@pytest.mark.parametrize('of_rejections', [False, True])
@pytest.mark.parametrize(('born_after', 'expected'), [(5, 2.0), (6, None)])
def test_limit_of_a_start(
    of_rejections: bool,
    born_after: int,
    expected: float | None,
    log_file: int,
) -> None:
    """A limit holds for one start of a target, with the turns taken."""
    clock = ManualClock()
    targets = Targets(clock, 'a')
    view = View(clock, targets, 5.0, Log(clock, 'vm1', log_file))

    def write(version: int, born: int | None) -> None:
        value = b''
        if born is not None:
            value = make_target_row('app', _ADDRESS, {}, 'ready', born)
        view.apply_target_row(Row('a1', value, version, born is None))

    write(1, 5)
    limit = targets.states['a1'].find_limit(of_rejections)
    limit.record_stated(2.0, clock.now())
    for _ in range(2):
        assert limit.has_turn()
        limit.record_sent()
    write(2, None)
    assert 'a1' not in targets.states
    clock.advance(0.1)
    write(3, born_after)
    limit = targets.states['a1'].find_limit(of_rejections)
    assert limit.limit == expected
    assert limit.has_turn() is (expected is None)
