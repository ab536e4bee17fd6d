"""Share and stages of a roll-out of new software.

Designed for this load: a version that may turn out bad at any time before
the deadline of its roll-out, which must then have got a tenth of the
requests at most, and a good one that must have all of them by then. The old
targets stop without draining at completion. So the new version gets a small
share for as long as possible, then all requests for about a second, in which
those at the old targets end.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

# Shares of the limits that are used, until all requests go to the new
# version and after that. The rest is for VMs that start and count anew.
_CANARY_USE = 0.5
_CANARY_SLACK_USE = 0.4
_RAMP_USE = 0.9
_RAMP_SLACK_USE = 0.8
# The slack is given out over this time, so that a bad version shows before
# it has got all of it.
_SLACK_S = 4.0
# Completion begins this long before the deadline, in seconds and as a
# share of the time for the roll-out.
_MAX_MARGIN_S = 3.0
_MARGIN_SHARE = 0.25
# If it is doubtful whether the version is good, that is decided after this
# share of the margin.
_DOUBT_SHARE = 0.6
_MIN_RAMP_S = 0.6
_MAX_RAMP_S = 1.2
_MIN_RESPONSES = 8
# A few targets get all requests of the canary, so that their load is like
# that of the old ones; these change after this time.
_CANARY_TARGETS = 2
_ROTATION_S = 4.0


class ExposureLimits(NamedTuple):
    """What a bad version may get: a share of requests, and some more."""

    share: float
    slack: float


class Exposure(NamedTuple):
    """What a VM sent to a service since the order; times in seconds.

    ``has_slack`` is set if the VM has counted since the order.
    """

    total: int
    new: int
    age: float
    has_slack: bool


def may_send_to_new(
    exposure: Exposure, limits: ExposureLimits, vms: int, is_ramping: bool
) -> bool:
    """Return whether a VM's next request may go to the new version.

    Each VM keeps to the share by its own counts and to its part of the
    slack, so that the sum over all VMs keeps to the limits.
    """
    use = _RAMP_USE if is_ramping else _CANARY_USE
    slack_use = _RAMP_SLACK_USE if is_ramping else _CANARY_SLACK_USE
    allowance = use * limits.share * (exposure.total + 1)
    if exposure.has_slack:
        slack = slack_use * limits.slack / max(1, vms)
        allowance += slack * min(1.0, exposure.age / _SLACK_S)
    return exposure.new + 1 <= allowance


def pick_canary_targets(names: list[str], age: float) -> list[str]:
    """Return the targets that get the canary's requests now."""
    names = sorted(names)
    if len(names) <= _CANARY_TARGETS:
        return names
    first = int(age / _ROTATION_S) * _CANARY_TARGETS % len(names)
    doubled = names + names
    return doubled[first : first + _CANARY_TARGETS]


class Step(enum.Enum):
    """What is done next in a roll-out."""

    CANARY = 'canary'
    RAMP = 'ramp'
    COMPLETE = 'complete'
    ROLL_BACK = 'roll_back'


class Progress(NamedTuple):
    """The state of a roll-out; times in seconds.

    ``elapsed`` of ``duration`` have passed. All requests go to the new
    version since ``ramped_for``, if they do. ``responses`` of it are known,
    ``old_in_flight`` requests are at old targets.
    """

    elapsed: float
    duration: float
    ramped_for: float | None
    responses: int
    fault: str
    is_doubtful: bool
    old_in_flight: int


def decide_step(progress: Progress) -> Step:
    """Return the next step of a roll-out."""
    if progress.fault:
        return Step.ROLL_BACK
    margin = min(_MAX_MARGIN_S, _MARGIN_SHARE * progress.duration)
    left = progress.duration - progress.elapsed
    if left > margin or progress.responses < _MIN_RESPONSES:
        return Step.CANARY
    if progress.is_doubtful:
        is_late = left < (1.0 - _DOUBT_SHARE) * margin
        return Step.ROLL_BACK if is_late else Step.CANARY
    ramped_for = progress.ramped_for
    if ramped_for is None or ramped_for < _MIN_RAMP_S:
        return Step.RAMP
    if progress.old_in_flight and ramped_for < _MAX_RAMP_S:
        return Step.RAMP
    return Step.COMPLETE


__all__ = [
    'decide_step',
    'Exposure',
    'ExposureLimits',
    'may_send_to_new',
    'pick_canary_targets',
    'Progress',
    'Step',
]
