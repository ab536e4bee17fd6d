"""The aims that the benchmarks judge, on seeded runs of modelled time."""

from __future__ import annotations

from absl import logging
from benchmarks import fairness
from benchmarks import moves
from benchmarks import placement
import pytest

_SECONDS = 30.0


@pytest.mark.parametrize('targets', [9, 48])
@pytest.mark.parametrize('mix', placement.MIXES, ids=lambda m: m.name)
def test_placement(mix: placement.Mix, targets: int) -> None:
    """90% of the oracle's hits, and no longer a tail than least in flight."""
    policies = ('least in flight', 'lentilrun', 'oracle')
    found = [
        placement.measure(p, mix, targets, 3.0, _SECONDS, 3) for p in policies
    ]
    assert placement.find_misses(found) == []


@pytest.mark.parametrize('scenario', fairness.SCENARIOS, ids=lambda s: s.name)
def test_fairness(scenario: fairness.Scenario) -> None:
    """The worst-served workspace gets 90% of its fair share."""
    outcome = fairness.measure(scenario, 2)
    assert outcome.worst_share >= fairness.FAIR_AIM


@pytest.mark.parametrize('seed', [101, 102])
@pytest.mark.parametrize('kind', moves.KINDS, ids=lambda k: k.name)
def test_moves(kind: moves.Kind, seed: int) -> None:
    """Good versions are done in time; bad ones are taken back for good."""
    logging.set_verbosity(logging.ERROR)
    verdict = moves.run_move(kind, seed)
    assert not verdict.is_wrong(), verdict
    assert verdict.most_loading <= 3
    assert verdict.late == 0
