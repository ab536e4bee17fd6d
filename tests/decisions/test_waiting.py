"""Calls under more load than the engines can serve, by policy."""

from __future__ import annotations

import random
from typing import Any
from typing import NamedTuple

from lentilrun.decisions.waiting import compute_retry_after
from lentilrun.decisions.waiting import decide
from lentilrun.decisions.waiting import Decision
from lentilrun.decisions.waiting import Prospect
import pytest

_FRESH = Prospect(0.3, 0.2, 0.5, 3.2, 0.5)
_LATE = _FRESH._replace(time_to_aim=-1.0, time_left=1.7)


@pytest.mark.parametrize(
    ('prospect', 'changes', 'expected'),
    [
        # On time.
        (_FRESH, {}, Decision.SEND),
        # Late behind this queue; it is shorter soon, or other calls are.
        (_FRESH, {'estimated_wait': 0.9, 'queue_wait': 0.8}, Decision.WAIT),
        # Late because of its own size, whatever the queue.
        (_FRESH, {'estimated_wait': 0.9, 'queue_wait': 0.0}, Decision.SEND),
        # Late already: it waits for an engine that is nearly free.
        (_LATE, {}, Decision.WAIT),
        (_LATE, {'queue_wait': 0.05}, Decision.SEND),
        # It can't wait any longer.
        (_LATE, {'time_left': 0.6}, Decision.SEND),
        # It would miss its deadline.
        (_LATE, {'time_left': 0.2}, Decision.REFUSE),
        (_FRESH, {'estimated_wait': 3.5, 'queue_wait': 3.4}, Decision.REFUSE),
    ],
)
def test_decide(
    prospect: Prospect, changes: dict[str, Any], expected: Decision
) -> None:
    """Calls that can be on time go first, and none waits in vain."""
    assert decide(prospect._replace(**changes)) is expected


@pytest.mark.parametrize(
    ('changes', 'shortest', 'longest'),
    [
        # No earlier than the queue may be short again.
        ({'queue_wait': 0.875}, 0.6, 1.0),
        # No later than callers accept.
        ({'queue_wait': 9.0}, 1.06, 1.07),
        # Not at once.
        ({'queue_wait': 0.0, 'time_left': 0.1}, 0.18, 0.32),
    ],
)
def test_retry_after(
    changes: dict[str, Any], shortest: float, longest: float
) -> None:
    """Refused callers return when they can be served, and not together."""
    prospect = _FRESH._replace(**changes)
    delays = [compute_retry_after(prospect, n / 10) for n in range(11)]
    assert delays == sorted(delays)
    assert shortest <= delays[0] <= delays[-1] <= longest


_AIM_S = 0.5
_DEADLINE_S = 3.2
_FIRST_TOKEN_S = 0.05
_POLL_S = 0.05
# What a response is worth that comes late; one on time is worth 1.
_LATE_WORTH = 0.5


class _Call:
    """A call that needs ``seconds`` of an engine's prefill."""

    def __init__(self, arrived_at: float, seconds: float) -> None:
        self.arrived_at = arrived_at
        self.seconds = seconds
        self.first_token_at: float | None = None

    def worth(self) -> float:
        if self.first_token_at is None:
            return 0.0
        duration = self.first_token_at - self.arrived_at
        if duration > _DEADLINE_S:
            return 0.0
        return 1.0 if duration <= _AIM_S else _LATE_WORTH


class _Burst(NamedTuple):
    """``load`` is the demand as a multiple of what the engines can do."""

    load: float
    duration: float


def _make_calls(burst: _Burst, engines: int, seed: int) -> list[_Call]:
    """Return calls: a burst between two times of half load."""
    rng = random.Random(seed)
    calls = []
    now = 0.0
    until = 2.0 + burst.duration
    while now < until + 6.0:
        load = burst.load if 2.0 < now < until else 0.5
        seconds = min(0.3, rng.lognormvariate(-2.6, 0.6))
        now += rng.expovariate(load * engines / 0.088)
        calls.append(_Call(now, seconds))
    return calls


def _simulate(calls: list[_Call], engines: int, holds: bool) -> float:
    """Return the worth of all calls, as a share of what is possible."""
    free_at = [0.0] * engines
    waiting: list[_Call] = []
    arrivals = list(reversed(calls))
    now = 0.0
    while arrivals or waiting:
        now += _POLL_S / 5
        while arrivals and arrivals[-1].arrived_at <= now:
            waiting.append(arrivals.pop())
        remaining = []
        for call in waiting:
            engine = min(range(engines), key=free_at.__getitem__)
            queue = max(0.0, free_at[engine] - now)
            waited = now - call.arrived_at
            prospect = Prospect(
                queue + call.seconds + _FIRST_TOKEN_S,
                queue,
                _AIM_S - waited,
                _DEADLINE_S - waited,
                _AIM_S,
            )
            decision = decide(prospect)
            if not holds and decision is Decision.WAIT:
                decision = Decision.SEND
            if decision is Decision.SEND:
                free_at[engine] = now + queue + call.seconds
                call.first_token_at = free_at[engine] + _FIRST_TOKEN_S
            elif decision is Decision.WAIT:
                remaining.append(call)
        waiting = remaining
    return sum(c.worth() for c in calls) / len(calls)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    ('burst', 'gain'),
    [
        # Three engines where there were six, with cold caches.
        (_Burst(1.3, 8.0), 0.1),
        # Three times the usual callers for some seconds.
        (_Burst(3.0, 3.0), 0.02),
        # An overload that lasts: half of the callers too many.
        (_Burst(1.5, 20.0), 0.02),
        # No overload: nothing is lost by waiting.
        (_Burst(0.8, 8.0), -0.005),
    ],
)
def test_overload(burst: _Burst, gain: float, seed: int) -> None:
    """Callers get more than if every call were sent at once."""
    held = _simulate(_make_calls(burst, 4, seed), 4, holds=True)
    sent = _simulate(_make_calls(burst, 4, seed), 4, holds=False)
    assert held > sent + gain


@pytest.mark.parametrize('seed', range(3))
def test_long_prompts_do_not_starve(seed: int) -> None:
    """The largest prompts are served about as often as the others."""
    calls = _make_calls(_Burst(1.3, 8.0), 4, seed)
    _simulate(calls, 4, holds=True)
    calls.sort(key=lambda c: c.seconds)
    largest = calls[-len(calls) // 10 :]

    def served(some: list[_Call]) -> float:
        return sum(c.worth() > 0.0 for c in some) / len(some)

    assert served(largest) > 0.5 * served(calls)
