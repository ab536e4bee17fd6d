"""Operators see how evenly the targets of a service are loaded."""

from __future__ import annotations

from lentilrun.config.ini import Address
from lentilrun.coordination.clock import ManualClock
from lentilrun.decisions.facts import Target
from lentilrun.gateway.targets import Targets
import pytest

_ADDRESS = Address('127.0.0.1', 9000)


def _make_targets(loads: dict[str, list[int]]) -> Targets:
    """Return targets of services by name, with requests in flight."""
    targets = Targets(ManualClock(), 'a')
    for service, counts in loads.items():
        for number, in_flight in enumerate(counts):
            name = f'{service}{number}'
            targets.register(
                Target(name, 1, service, _ADDRESS, 'a', 6, False, {})
            )
            targets.states[name].in_flight = in_flight
    return targets


@pytest.mark.parametrize(
    ('loads', 'expected'),
    [
        ({'app': [2, 2, 2]}, {'app': 1.0}),
        ({'app': [6, 0, 0], 'web': [1, 3]}, {'app': 3.0, 'web': 1.5}),
        # There is nothing to compare.
        ({'app': [0, 0], 'web': [5]}, {}),
    ],
)
def test_busiest_target(
    loads: dict[str, list[int]], expected: dict[str, float]
) -> None:
    """A service whose requests are at few targets has a high value."""
    assert _make_targets(loads).compare_busiest() == expected


def test_targets_out_of_service_do_not_count() -> None:
    """A target that loads weights idles, which is no uneven load."""
    targets = _make_targets({'app': [3, 3, 0]})
    now = ManualClock().now()
    targets.states['app2'].cordon(now, 10.0)
    assert targets.compare_busiest() == {'app': 1.0}
