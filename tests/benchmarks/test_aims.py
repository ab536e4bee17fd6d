"""Aims of the benchmarks, on shorter seeded runs in simulated time."""

from __future__ import annotations

from absl import logging
from benchmarks import fairness
from benchmarks import moves
from benchmarks import placement
from benchmarks import rollouts
from benchmarks.versions import VersionBehaviour
import pytest

_DURATION_S = 30.0


@pytest.mark.parametrize('targets', [9, 48])
@pytest.mark.parametrize('mix', placement.MIXES, ids=lambda m: m.name)
def test_placement(mix: placement.TrafficMix, targets: int) -> None:
    """Hit rate of 90% of the oracle, p99 no longer than least in flight."""
    policies = ('least in flight', 'lentilrun', 'oracle')
    results = [
        placement.measure(p, mix, targets, 3.0, _DURATION_S, 3)
        for p in policies
    ]
    assert placement.list_missed_aims(results) == []


@pytest.mark.parametrize('scenario', fairness.SCENARIOS, ids=lambda s: s.name)
def test_fairness(scenario: fairness.OverloadScenario) -> None:
    """Each workspace gets at least 90% of its fair share."""
    result = fairness.measure(scenario, 2)
    assert result.worst_share >= fairness.MIN_FAIR_SHARE


@pytest.mark.parametrize('seed', [101, 102])
@pytest.mark.parametrize('behaviour', moves.BEHAVIOURS, ids=lambda b: b.name)
def test_moves(behaviour: VersionBehaviour, seed: int) -> None:
    """Good versions are rolled out, bad ones rolled back and banned."""
    logging.set_verbosity(logging.ERROR)
    result = moves.run_move(behaviour, seed)
    assert not result.is_misjudged(), result
    assert result.max_loading <= 3
    assert result.late_requests == 0


@pytest.mark.parametrize('trouble', rollouts.TROUBLES, ids=lambda t: t.name)
@pytest.mark.parametrize(
    'behaviour', rollouts.BEHAVIOURS, ids=lambda b: b.name
)
def test_rollouts(
    behaviour: VersionBehaviour, trouble: rollouts.Trouble
) -> None:
    """Good versions are completed; bad ones keep to their share and end."""
    result = rollouts.run_rollout(behaviour, trouble, 101)
    assert result.list_missed() == [], result


def _run_by_name(
    behaviour: str, trouble: str, seed: int
) -> rollouts.RolloutResult:
    return rollouts.run_rollout(
        next(b for b in rollouts.BEHAVIOURS if b.name == behaviour),
        next(t for t in rollouts.TROUBLES if t.name == trouble),
        seed,
    )


@pytest.mark.parametrize(
    ('behaviour', 'trouble', 'seed'),
    [
        ('slow on one route', 'the driving VM is cut off from VMs', 12),
        ('slow on one route', 'the driving VM is cut off from VMs', 15),
        ('good', 'no trouble', 1),
        ('good', 'the store is away', 10),
    ],
)
def test_once_misjudged_rollouts(
    behaviour: str, trouble: str, seed: int
) -> None:
    """Roll-outs that ended wrongly with an earlier verdict."""
    result = _run_by_name(behaviour, trouble, seed)
    assert result.list_missed() == [], result


@pytest.mark.parametrize(
    ('behaviour', 'trouble', 'seed'),
    [
        ('good', 'no trouble', 5),
        ('good', 'the driving VM is lost', 1),
        ('fails under load', 'the driving VM is lost', 0),
    ],
)
def test_misjudged_rollouts(behaviour: str, trouble: str, seed: int) -> None:
    """Roll-outs in which chance misled the verdict end as they should."""
    result = _run_by_name(behaviour, trouble, seed)
    assert result.list_missed() == [], result
