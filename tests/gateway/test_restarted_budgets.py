"""Limits that all VMs keep together hold across a restart of all of them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from deployments import BOUNDS
from lentilrun.decisions.quarantine import Suspect
from lentilrun.decisions.quarantine import SuspectKind
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
import pytest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lentilrun.gateway.node import Node

_RESTART_S = 0.5
_WINDOW_S = 10.0
_RETRY_RATIO = 0.2
_RETRY_SLACK = 220.0
_REQUESTS_PER_S = 120
_TICK_S = 0.1
_UNDISTURBED_S = 4.0
# The users allow this many retries of a request once it has crashed three
# targets.
_MAX_CRASHING_RETRIES = 3
_CRASHES = 3
_CRASHING_INTERVAL_S = 3.0


async def _restart_all(fleet: ModelledFleet) -> None:
    names = list(fleet.nodes)
    for name in names:
        fleet.stop(name)
    await asyncio.sleep(_RESTART_S)
    for name in names:
        fleet.replace(name)
    await asyncio.sleep(_RESTART_S)


def _fail_requests(nodes: Sequence[Node], requests: int, now: float) -> int:
    """Let requests fail, each at all its attempts; return the retries."""
    retries = 0
    for number in range(requests):
        node = nodes[number % len(nodes)]
        budget = node.dispatcher.retry_budget('llm')
        budget.record_request(now)
        members = node.peers.count_members()
        retries += sum(budget.spend(now, members) for _ in range(3))
    return retries


@pytest.mark.parametrize('restarts', [0, 1, 2])
def test_all_vms_spend_the_retry_budget_again_after_a_restart(
    restarts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Retries in a window are limited, also if VMs forgot those before."""

    async def main(loop: timeloop.TimeLoop) -> None:
        bounds = BOUNDS._replace(
            retry_ratio=_RETRY_RATIO,
            retry_slack=_RETRY_SLACK,
            retry_window=_WINDOW_S,
        )
        with ModelledFleet(
            loop, monkeypatch, SMALL_FLEET, bounds=bounds
        ) as fleet:
            fleet.start()
            await asyncio.sleep(5.0)
            until = loop.time() + _WINDOW_S
            restarts_at = [
                loop.time() + _WINDOW_S * (n + 1) / (restarts + 1)
                for n in range(restarts)
            ]
            requests = retries = 0
            while loop.time() < until:
                if restarts_at and loop.time() > restarts_at[0]:
                    del restarts_at[0]
                    await _restart_all(fleet)
                count = round(_REQUESTS_PER_S * _TICK_S)
                requests += count
                retries += _fail_requests(list(fleet), count, loop.time())
                await asyncio.sleep(_TICK_S)
            assert retries <= _RETRY_RATIO * requests + _RETRY_SLACK

    timeloop.run(main)


@pytest.mark.parametrize('restarts', [0, 2])
def test_crashing_request_is_sent_again_after_all_vms_restart(
    restarts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that has crashed three targets stays in quarantine."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, SMALL_FLEET) as fleet:
            suspects = [Suspect(SuspectKind.REQUEST, 'crashing')]
            fleet.start()
            await asyncio.sleep(5.0)
            crashes = 0
            crashed_at = float('inf')
            retries = 0
            for restart in range(restarts + 1):
                if restart:
                    await _restart_all(fleet)
                started_at = loop.time()
                for turn in range(6):
                    await asyncio.sleep(_CRASHING_INTERVAL_S)
                    node = list(fleet)[turn]
                    if node.crashes.is_quarantined(suspects):
                        continue
                    now = loop.time()
                    in_touch = now - started_at > _UNDISTURBED_S
                    if in_touch and now > crashed_at + _UNDISTURBED_S:
                        retries += 1
                    node.crashes.record_attempt(suspects)
                    target = (
                        fleet.nodes[node.settings.name]
                        .targets.states[f'e{turn}']
                        .target._replace(started_at_ms=crashes + 1)
                    )
                    node.crashes.record_crash(suspects, target, now)
                    crashes += 1
                    if crashes == _CRASHES:
                        crashed_at = now
            assert retries <= _MAX_CRASHING_RETRIES

    timeloop.run(main)
