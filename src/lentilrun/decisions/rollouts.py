"""Share and stages of a roll-out of new software.

Designed for this load: a version that may turn out bad at any time before
the deadline of its roll-out, which must then have got a tenth of the
requests at most, and a good one that must have all of them by then. The old
targets stop without draining at completion. So the new version gets a small
share for as long as possible, then all requests that the limits allow, and in
the end all requests, until those at the old targets have ended.
"""

from __future__ import annotations

import enum
import math
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Shares of the limits that are used, until all requests go to the new
# version and while they do. The rest is for the time from completion to the
# deadline, in which a bad version that was not found out gets all requests,
# and for VMs that start and count anew.
_CANARY_USE = 0.6
_CANARY_SLACK_USE = 0.55
_RAMP_USE = 0.9
_RAMP_SLACK_USE = 0.85
# The slack is given out over this time, so that a bad version shows before
# it has got all of it.
_SLACK_S = 4.0
# The canary gets its requests in bursts, as some versions are bad only if a
# target runs several at a time.
_BURST_PERIOD_S = 2.0
_BURST_S = 1.0
# A VM sends so many requests at once, and the others of a burst evenly, at
# this ratio to the rate that spends its share.
_BURST_REQUESTS = 2.0
_BURST_RATE_RATIO = 1.5
# A VM with so many requests to spare does not wait for a certain route.
_SPARE_REQUESTS = 3.0
# Routes with at least this share of the requests get the same number.
_FULL_ROUTE_SHARE = 0.1
# Completion begins this long before the deadline, in seconds and as a
# share of the time for the roll-out.
_MAX_MARGIN_S = 1.2
_MARGIN_SHARE = 0.25
# If it is doubtful whether the version is good, that is decided after this
# share of the margin.
_DOUBT_SHARE = 0.6
_MIN_RAMP_S = 0.5
_MAX_RAMP_S = 0.7
# Without a confirmation by all VMs, and with requests at old targets, a
# roll-out is completed after this time.
_MAX_HAND_OVER_S = 0.2
_MIN_RESPONSES = 8
# A part of the targets gets all requests of the canary, so that their load
# is at least that of the old ones. They change after a time.
_MIN_CANARY_TARGETS = 2
_CANARY_TARGET_SHARE = 0.2
_ROTATION_S = 4.0
# Of these, one with more requests than this, and in relation to the mean of
# the old ones, gets no more.
_MAX_LOAD_RATIO = 2.0
_MAX_EXTRA_LOAD = 2.0


class ExposureLimits(NamedTuple):
    """What a bad version may get: a share of requests, and some more."""

    share: float
    slack: float


class Exposure(NamedTuple):
    """What a VM sent to a service since the order; times in seconds.

    ``total`` and ``new`` count all requests and those to the new version,
    by route; ``tokens`` is how many of the latter the canary may get at
    once. ``has_slack`` is set if the VM has counted since the order.
    """

    total: Mapping[str, int]
    new: Mapping[str, int]
    age: float
    has_slack: bool
    tokens: float = 1.0


def refill_tokens(
    exposure: Exposure, limits: ExposureLimits, seconds: float
) -> float:
    """Return the tokens after ``seconds`` without a request."""
    requests_per_s = sum(exposure.total.values()) / max(1.0, exposure.age)
    canary_per_s = _CANARY_USE * limits.share * requests_per_s
    burst_per_s = canary_per_s * _BURST_PERIOD_S / _BURST_S
    tokens = exposure.tokens + _BURST_RATE_RATIO * burst_per_s * seconds
    return min(_BURST_REQUESTS, tokens)


def _count_spare(
    exposure: Exposure,
    limits: ExposureLimits,
    vms: int,
    use: float,
    slack_use: float,
) -> float:
    """Return how many requests may go to the new version now.

    Each VM keeps to the share by its own counts and to its part of the
    slack, so that the sum over all VMs keeps to the limits.
    """
    allowance = use * limits.share * (sum(exposure.total.values()) + 1)
    if exposure.has_slack:
        slack = slack_use * limits.slack / max(1, vms)
        allowance += slack * min(1.0, exposure.age / _SLACK_S)
    return allowance - sum(exposure.new.values())


def may_send_to_new(
    exposure: Exposure, limits: ExposureLimits, vms: int
) -> bool:
    """Return whether a VM's next request may go to the new version."""
    spare = _count_spare(exposure, limits, vms, _RAMP_USE, _RAMP_SLACK_USE)
    return spare >= 1.0


def is_canary(
    exposure: Exposure, limits: ExposureLimits, vms: int, route: str
) -> bool:
    """Return whether a VM's next request is a part of the canary."""
    if exposure.age % _BURST_PERIOD_S >= _BURST_S or exposure.tokens < 1.0:
        return False
    spare = _count_spare(exposure, limits, vms, _CANARY_USE, _CANARY_SLACK_USE)
    if spare < 1.0:
        return False
    return spare >= 1.0 + _SPARE_REQUESTS or _is_due_on_route(exposure, route)


def _is_due_on_route(exposure: Exposure, route: str) -> bool:
    """Return whether a route has not yet got its part of the canary.

    Routes get the same number unless they are rare, as a version may be bad
    on one of them only.
    """
    full = max(1.0, _FULL_ROUTE_SHARE * sum(exposure.total.values()))
    weights = {r: min(1.0, n / full) for r, n in exposure.total.items()}
    weight = weights.get(route, 0.0)
    share = weight / sum(weights.values()) if weight else 1.0
    new = sum(exposure.new.values())
    return exposure.new.get(route, 0) <= share * new


def pick_canary_targets(
    in_flight: Mapping[str, int], old_in_flight: float, age: float
) -> list[str]:
    """Return the targets that may get a request of the canary now.

    ``in_flight`` holds the requests at the targets of the new version, and
    ``old_in_flight`` is their mean number at the old ones; ``age`` is the
    time since the order, in seconds.
    """
    names = sorted(in_flight)
    count = math.ceil(_CANARY_TARGET_SHARE * len(names))
    count = max(_MIN_CANARY_TARGETS, count)
    if len(names) > count:
        first = int(age / _ROTATION_S) * count % len(names)
        names = (names + names)[first : first + count]
    max_load = _MAX_LOAD_RATIO * old_in_flight + _MAX_EXTRA_LOAD
    return [n for n in names if in_flight[n] < max_load]


class Step(enum.Enum):
    """What is done next in a roll-out."""

    CANARY = 'canary'
    RAMP = 'ramp'
    HAND_OVER = 'hand_over'
    COMPLETE = 'complete'
    ROLL_BACK = 'roll_back'


class Progress(NamedTuple):
    """The state of a roll-out; times in seconds.

    ``elapsed`` of ``duration`` have passed. The new version gets what the
    limits allow since ``ramped_for``, and all requests since
    ``handed_over_for``, if it does; ``unconfirmed`` VMs have not said that
    they keep to the latter. ``responses`` of it are known,
    ``old_in_flight`` requests are at old targets.
    """

    elapsed: float
    duration: float
    ramped_for: float | None
    responses: int
    fault: str
    is_doubtful: bool
    old_in_flight: int
    handed_over_for: float | None = None
    unconfirmed: int = 0


def _compute_margin(duration: float) -> float:
    return min(_MAX_MARGIN_S, _MARGIN_SHARE * duration)


def is_due(elapsed: float, duration: float) -> bool:
    """Return whether it is time to complete a good version."""
    return duration - elapsed <= _compute_margin(duration)


def decide_step(progress: Progress) -> Step:
    """Return the next step of a roll-out."""
    if progress.fault:
        return Step.ROLL_BACK
    if not is_due(progress.elapsed, progress.duration):
        return Step.CANARY
    if progress.responses < _MIN_RESPONSES:
        return Step.CANARY
    if progress.is_doubtful:
        margin = _compute_margin(progress.duration)
        left = progress.duration - progress.elapsed
        is_late = left < (1.0 - _DOUBT_SHARE) * margin
        return Step.ROLL_BACK if is_late else Step.CANARY
    ramped_for = progress.ramped_for
    if ramped_for is None or ramped_for < _MIN_RAMP_S:
        return Step.RAMP
    return _decide_end_of_ramp(progress, ramped_for)


def _decide_end_of_ramp(progress: Progress, ramped_for: float) -> Step:
    handed_over_for = progress.handed_over_for
    if handed_over_for is None:
        may_wait = progress.old_in_flight and ramped_for < _MAX_RAMP_S
        return Step.RAMP if may_wait else Step.HAND_OVER
    is_awaited = progress.unconfirmed or progress.old_in_flight
    if is_awaited and handed_over_for < _MAX_HAND_OVER_S:
        return Step.HAND_OVER
    return Step.COMPLETE


__all__ = [
    'decide_step',
    'Exposure',
    'ExposureLimits',
    'is_canary',
    'is_due',
    'may_send_to_new',
    'pick_canary_targets',
    'Progress',
    'refill_tokens',
    'Step',
]
