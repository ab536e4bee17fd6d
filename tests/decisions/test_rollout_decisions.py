"""Share, stages and verdict of roll-outs."""

from __future__ import annotations

from lentilrun.decisions.rollouts import decide_step
from lentilrun.decisions.rollouts import Exposure
from lentilrun.decisions.rollouts import ExposureLimits
from lentilrun.decisions.rollouts import is_canary
from lentilrun.decisions.rollouts import may_send_to_new
from lentilrun.decisions.rollouts import pick_canary_targets
from lentilrun.decisions.rollouts import Progress
from lentilrun.decisions.rollouts import Step
from lentilrun.decisions.rolloutverdict import compute_level
from lentilrun.decisions.rolloutverdict import Fate
from lentilrun.decisions.rolloutverdict import find_fault
from lentilrun.decisions.rolloutverdict import is_doubtful
from lentilrun.decisions.rolloutverdict import Outcome
import pytest

_LIMITS = ExposureLimits(0.1, 50.0)
_VMS = 8


def _count_sent(requests: int, vms: int, has_slack: bool) -> int:
    """Return what a VM may send of so many requests, 4.5 a second."""
    sent = 0
    for number in range(requests):
        exposure = Exposure(
            {'chat': number}, {'chat': sent}, number / 4.5, has_slack
        )
        sent += may_send_to_new(exposure, _LIMITS, vms)
    return sent


@pytest.mark.parametrize('requests', [0, 1, 10, 60, 1000])
@pytest.mark.parametrize('vms', [1, 8, 90])
def test_sum_keeps_to_the_limits(requests: int, vms: int) -> None:
    """What all VMs send by their own counts stays below the limits."""
    sent = _count_sent(requests, vms, True) * vms
    total = requests * vms
    assert sent <= _LIMITS.share * total + _LIMITS.slack
    assert _count_sent(requests, vms, False) <= _LIMITS.share * requests


@pytest.mark.parametrize(
    ('age', 'total', 'new', 'tokens', 'route', 'expected'),
    [
        # The first half of a period, with requests to spare.
        (4.2, {'chat': 18}, {}, 1.0, 'chat', True),
        # Between two bursts, and within one but too soon.
        (5.2, {'chat': 18}, {}, 1.0, 'chat', False),
        (4.2, {'chat': 18}, {}, 0.5, 'chat', False),
        # The share is used up.
        (4.2, {'chat': 18}, {'chat': 6}, 1.0, 'chat', False),
        # A route that got less comes first.
        (8.2, {'chat': 30, 'sort': 8}, {'chat': 3}, 1.0, 'chat', False),
        (8.2, {'chat': 30, 'sort': 8}, {'chat': 3}, 1.0, 'sort', True),
        # No route holds up the others.
        (40.2, {'chat': 200, 'sort': 1}, {'chat': 7}, 1.0, 'chat', True),
    ],
)
def test_canary(
    age: float,
    total: dict[str, int],
    new: dict[str, int],
    tokens: float,
    route: str,
    expected: bool,
) -> None:
    """The canary gets bursts, and something of each route."""
    exposure = Exposure(total, new, age, True, tokens)
    assert is_canary(exposure, _LIMITS, _VMS, route) is expected


@pytest.mark.parametrize(
    ('in_flight', 'old_in_flight', 'age', 'expected'),
    [
        ({'a': 0, 'b': 0, 'c': 0, 'd': 0}, 0.0, 1.0, ['a', 'b']),
        ({'a': 0, 'b': 0, 'c': 0, 'd': 0}, 0.0, 5.0, ['c', 'd']),
        # A target with many requests gets no more.
        ({'a': 2, 'b': 0}, 0.0, 1.0, ['b']),
        ({'a': 5, 'b': 0}, 2.0, 1.0, ['a', 'b']),
        ({}, 0.0, 1.0, []),
    ],
)
def test_canary_targets(
    in_flight: dict[str, int],
    old_in_flight: float,
    age: float,
    expected: list[str],
) -> None:
    """Few targets get the canary; their load is like that of the old."""
    names = pick_canary_targets(in_flight, old_in_flight, age)
    assert names == expected


_PROGRESS = Progress(13.9, 15.0, None, 30, '', False, 4)
_HANDED_OVER = {
    'ramped_for': 0.7,
    'handed_over_for': 0.1,
    'old_in_flight': 0,
    'unconfirmed': 0,
}


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, Step.RAMP),
        ({'elapsed': 5.0}, Step.CANARY),
        ({'responses': 3}, Step.CANARY),
        # A late start has to be good all the same.
        ({'responses': 3, 'elapsed': 20.0}, Step.CANARY),
        ({'elapsed': 20.0}, Step.RAMP),
        # Requests at old targets end before completion, if they can.
        ({'ramped_for': 0.6}, Step.RAMP),
        ({'ramped_for': 0.2, 'old_in_flight': 0}, Step.RAMP),
        # Before completion, all VMs stop sending to them.
        ({'ramped_for': 0.6, 'old_in_flight': 0}, Step.HAND_OVER),
        ({'ramped_for': 0.7}, Step.HAND_OVER),
        ({'ramped_for': 1.3}, Step.HAND_OVER),
        ({**_HANDED_OVER, 'unconfirmed': 1}, Step.HAND_OVER),
        ({**_HANDED_OVER, 'old_in_flight': 1}, Step.HAND_OVER),
        (_HANDED_OVER, Step.COMPLETE),
        # VMs that are lost confirm nothing.
        (
            {**_HANDED_OVER, 'unconfirmed': 1, 'handed_over_for': 0.2},
            Step.COMPLETE,
        ),
        ({'ramped_for': 1.3, 'handed_over_for': 0.3}, Step.COMPLETE),
        # A verdict goes before all, doubts are settled late.
        ({'fault': 'fails', 'elapsed': 1.0}, Step.ROLL_BACK),
        ({'fault': 'fails', 'ramped_for': 1.3}, Step.ROLL_BACK),
        ({'is_doubtful': True}, Step.CANARY),
        ({'is_doubtful': True, 'ramped_for': 1.3}, Step.CANARY),
        ({**_HANDED_OVER, 'is_doubtful': True}, Step.CANARY),
        ({**_HANDED_OVER, 'fault': 'fails'}, Step.ROLL_BACK),
        ({'is_doubtful': True, 'elapsed': 14.6}, Step.ROLL_BACK),
    ],
)
def test_steps(changes: dict[str, object], expected: Step) -> None:
    """A roll-out is completed before its deadline, or taken back."""
    progress = _PROGRESS._replace(**changes)  # type: ignore[arg-type]
    assert decide_step(progress) is expected


def _make_outcomes(
    count: int,
    bad: int = 0,
    *,
    fate: Fate = Fate.GOOD,
    slowdown: float = 1.0,
    route: str = 'chat',
    targets: int = 2,
    since: float = 0.0,
) -> list[Outcome]:
    """Return outcomes over 10 s, of which the last ``bad`` are bad."""
    outcomes = []
    for number in range(count):
        is_bad = number >= count - bad
        spread = 0.8 + 0.1 * (number % 5)
        seconds = spread * (slowdown if is_bad else 1.0)
        outcomes.append(
            Outcome(
                since + 10.0 * number / count,
                route,
                f't{number % targets}',
                fate if is_bad else Fate.GOOD,
                compute_level(seconds, 1.0),
            )
        )
    return outcomes


_OLD = [*_make_outcomes(100, 1, fate=Fate.FAILED)]
_SORT = [*_OLD, *_make_outcomes(40, route='sort')]


@pytest.mark.parametrize(
    ('new', 'old', 'expected'),
    [
        ([], _OLD, ''),
        (_make_outcomes(20), _OLD, ''),
        # One or two failures, or slow responses, may happen.
        (_make_outcomes(20, 2, fate=Fate.FAILED), _OLD, ''),
        (_make_outcomes(20, 2, slowdown=4.0), _OLD, ''),
        (_make_outcomes(10, 5, fate=Fate.FAILED), _OLD, '5 of 10 failed'),
        (_make_outcomes(10, 5, slowdown=4.0), _OLD, '5 of 10 slow'),
        # All are a little slower: less than what is looked for.
        (_make_outcomes(20, 20, slowdown=1.3), _OLD, ''),
        (_make_outcomes(20, 20, slowdown=2.2), _OLD, 'times as long'),
        # One bad target says nothing about the version.
        (_make_outcomes(10, 5, fate=Fate.FAILED, targets=1), _OLD, ''),
        (_make_outcomes(10, 5, slowdown=4.0, targets=1), _OLD, ''),
        # A crash breaks several responses off at once.
        (
            [
                *_make_outcomes(10),
                *[Outcome(9.0, 'chat', 't0', Fate.BROKEN)] * 4,
            ],
            _OLD,
            '',
        ),
        # Bad on one route only.
        (
            [
                *_make_outcomes(30),
                *_make_outcomes(10, 5, slowdown=4.0, route='sort'),
            ],
            _SORT,
            'route sort',
        ),
        # Bad in the last seconds only.
        (
            [
                *_make_outcomes(200, since=-10.0),
                *_make_outcomes(20, 10, slowdown=4.0),
            ],
            [*_make_outcomes(100, since=-10.0), *_OLD],
            ' slow',
        ),
        # The old version does no better.
        (
            _make_outcomes(10, 5, fate=Fate.FAILED),
            _make_outcomes(60, 30, fate=Fate.FAILED),
            '',
        ),
        (
            _make_outcomes(10, 5, slowdown=4.0),
            _make_outcomes(60, 30, slowdown=4.0),
            '',
        ),
        # Nothing to compare times with.
        (_make_outcomes(10, 10, slowdown=4.0), [], ''),
    ],
)
def test_verdict(
    new: list[Outcome], old: list[Outcome], expected: str
) -> None:
    """A version is bad only if that is sure and not due to one target."""
    reason = find_fault(new, old, 10.0)
    assert expected in reason
    assert bool(reason) == bool(expected)


@pytest.mark.parametrize(
    ('new', 'expected'),
    [
        ([], False),
        (_make_outcomes(20), False),
        (_make_outcomes(20, 1, fate=Fate.FAILED), False),
        (_make_outcomes(20, 3, fate=Fate.FAILED), True),
        (_make_outcomes(20, 3, slowdown=4.0), True),
        (_make_outcomes(20, 20, slowdown=1.6), True),
        (_make_outcomes(20, 20, slowdown=1.2), False),
    ],
)
def test_doubt(new: list[Outcome], expected: bool) -> None:
    """Less than a verdict needs is enough not to complete a version."""
    assert is_doubtful(new, _OLD) is expected
