"""Placement under the load that it is for, against simpler policies."""

from __future__ import annotations

import random

from lentilrun.decisions.placement import Candidate
from lentilrun.decisions.placement import choose
from lentilrun.decisions.placement import Need
from lentilrun.decisions.placement import READ_RATE
import pytest

_PLAIN = Candidate('', True, False, 48, 0, 0, 0.0, 0.0, 0.0, 69_000, 0.0, 0.0)
_LONG_PROMPT = Need(9000, 200)
_LONG_ANSWER = Need(800, 950)


@pytest.mark.parametrize(
    ('need', 'better', 'worse'),
    [
        # Less to read.
        (_LONG_PROMPT, {'cached': 6000.0}, {}),
        # Less before it.
        (_LONG_ANSWER, {}, {'unread': 9000.0}),
        # Nobody's answer pauses.
        (_LONG_PROMPT, {'unread': 4000.0}, {'long_running': 12}),
        # Long answers gather.
        (_LONG_ANSWER, {'running': 9, 'busy_for': 3.0}, {}),
        # But not beyond the memory.
        (_LONG_ANSWER, {}, {'held': 68_000.0, 'busy_for': 3.0}),
        # Newer weights.
        (_LONG_ANSWER, {'unread': 2000.0}, {'is_stale': True}),
        # Targets that fail are left alone.
        (Need(0, 0), {'running': 30}, {'failing': 0.5}),
        # Nearer, if all else is equal.
        (Need(0, 0), {}, {'is_near': False}),
    ],
)
def test_preferences(
    need: Need, better: dict[str, float], worse: dict[str, float]
) -> None:
    """Of two targets the one that costs callers less is taken."""
    found = choose(
        [
            _PLAIN._replace(name='worse', **worse),
            _PLAIN._replace(name='better', **better),
        ],
        need,
    )
    assert found is not None
    assert found.name == 'better'


def test_nothing_to_choose() -> None:
    """Without a target there is no choice."""
    assert choose([], _LONG_PROMPT) is None


# What callers lose by a late first token, or by an answer that pauses.
_LONG_PROMPT_WORTH = 4.1
_LONG_ANSWER_WORTH = 1.8
_FIRST_TOKEN_S = 0.6
_PAUSE_S = 0.25


class _Run:
    """A request at an engine; ``read`` is when its prompt is read."""

    def __init__(self, need: Need, read: float, is_late: bool) -> None:
        self.need = need
        self.read = read
        self.end = read + need.answer_time()
        self.is_long = need.output_tokens > 500
        self.is_late = is_late

    def lost(self) -> float:
        """Return what its caller lost."""
        worth = _LONG_ANSWER_WORTH if self.is_long else _LONG_PROMPT_WORTH
        return worth * self.is_late


class _Engine:
    """A model of one engine: it reads one prompt after the other."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: list[_Run] = []
        self.lost = 0.0
        self.free_at = 0.0

    def describe(self, now: float) -> Candidate:
        self.lost += sum(r.lost() for r in self.runs if r.end <= now)
        self.runs = [r for r in self.runs if r.end > now]
        runs = self.runs
        return _PLAIN._replace(
            name=self.name,
            running=len(runs),
            long_running=sum(r.is_long for r in runs),
            unread=max(0.0, self.free_at - now) * READ_RATE,
            held=sum(sum(r.need) for r in runs),
            busy_for=max([r.end for r in runs], default=now) - now,
        )

    def start(self, need: Need, now: float) -> None:
        """Read a prompt; answers under way pause for that long."""
        self.free_at = max(now, self.free_at)
        self.free_at += need.input_tokens / READ_RATE
        if self.free_at - now > _PAUSE_S:
            for run in self.runs:
                run.is_late |= run.is_long and run.read < now
        is_late = self.free_at - now > _FIRST_TOKEN_S
        self.runs.append(_Run(need, self.free_at, is_late))


def _play(policy: str, seed: int) -> float:
    """Return what callers lose in 30 s of mixed load."""
    chance = random.Random(seed)
    engines = {n: _Engine(n) for n in 'abcdefghi'}
    now = 0.0
    for number in range(1200):
        now += chance.expovariate(40.0)
        need = Need(int(chance.expovariate(1 / 900)) + 1, 955)
        if chance.random() < 0.28:
            need = Need(abs(int(chance.gauss(9000, 3000))), 205)
        seen = [e.describe(now) for e in engines.values()]
        if policy == 'choose':
            found = choose(seen, need)
            assert found is not None
            name = found.name
        elif policy == 'least running':
            name = min(seen, key=lambda c: c.running).name
        else:
            name = 'abcdefghi'[number % 9]
        engines[name].start(need, now)
    for engine in engines.values():
        engine.describe(now + 60.0)
    return sum(e.lost for e in engines.values())


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('other', ['least running', 'in turn'])
def test_mixed_load(seed: int, other: str) -> None:
    """Long prompts beside long answers cost callers less than half."""
    assert _play('choose', seed) < _play(other, seed) / 2
