"""VMs that are killed and start at random times count no age too small."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from deployments import BOUNDS
from deployments import MODEL
from lentilrun.decisions.weightsage import compute_withdrawal_delay
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
import pytest

if TYPE_CHECKING:
    from lentilrun.gateway.node import Node

_LIMIT_S = 10.0
_UNDISTURBED_S = 4.0
_SECONDS = 40.0
_TICK_S = 0.1
_KILLS_PER_TICK = 0.03
# Differences of less than this are left to the margin of withdrawals.
_TOLERANCE_S = 0.05


class _Trial:
    """Announces weights and kills VMs at times drawn from a seed."""

    def __init__(
        self, loop: timeloop.TimeLoop, fleet: ModelledFleet, seed: int
    ) -> None:
        self._loop = loop
        self._fleet = fleet
        self._random = random.Random(seed)
        self._started_at = dict.fromkeys(fleet.nodes, 0.0)
        self._starts_at: dict[str, float] = {}
        self._announced_at: dict[int, float] = {}
        self._next_at = loop.time() + self._random.uniform(0.0, 3.0)

    def advance(self) -> None:
        """Announce, kill and start what is due."""
        now = self._loop.time()
        if now >= self._next_at:
            version = len(self._announced_at) + 2
            self._fleet.announce_weights(version)
            self._announced_at[version] = now
            self._next_at = now + self._random.choice([0.3, 2, 5, 9, 12])
        if self._random.random() < _KILLS_PER_TICK:
            self._kill(now)
        for name, starts_at in list(self._starts_at.items()):
            if starts_at <= now:
                del self._starts_at[name]
                self._fleet.replace(name)
                self._started_at[name] = now

    def _kill(self, now: float) -> None:
        share = self._random.choice([1.0, 1.0, 0.9, 0.5])
        seconds = self._random.choice([0.2, 1.0, 4.0, 7.0])
        for name in self._started_at:
            if name in self._starts_at or self._random.random() >= share:
                continue
            self._fleet.stop(name)
            later = self._random.choice([0.0, 0.0, 0.5, 3.0])
            later *= self._random.random()
            self._starts_at[name] = now + seconds + later

    def list_late(self) -> list[str]:
        """Return the VMs that would let requests begin past the limit."""
        now = self._loop.time()
        return [
            name
            for name, started_at in self._started_at.items()
            if name not in self._starts_at
            and now - started_at >= _UNDISTURBED_S
            and self._is_late(self._fleet.nodes[name], now)
        ]

    def _is_late(self, node: Node, now: float) -> bool:
        return any(
            compute_withdrawal_delay(
                node.view.stale_for(MODEL, version - 1), _LIMIT_S
            )
            > _TOLERANCE_S
            for version, announced_at in self._announced_at.items()
            if now - announced_at > _LIMIT_S
        )


@pytest.mark.parametrize('seed', range(12))
def test_weights_seem_newer_after_restarts_at_random(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No VM that ran for long enough counts too small an age."""

    async def main(loop: timeloop.TimeLoop) -> None:
        bounds = BOUNDS._replace(
            stale_weights_limit=_LIMIT_S, undisturbed_time=_UNDISTURBED_S
        )
        with ModelledFleet(
            loop, monkeypatch, SMALL_FLEET, bounds=bounds
        ) as fleet:
            fleet.start()
            await asyncio.sleep(8.0)
            trial = _Trial(loop, fleet, seed)
            until = loop.time() + _SECONDS
            while loop.time() < until:
                await asyncio.sleep(_TICK_S)
                trial.advance()
                assert trial.list_late() == []

    random.seed(seed)
    timeloop.run(main)
