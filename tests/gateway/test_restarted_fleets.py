"""No request begins on old weights after all VMs have started anew."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from deployments import BOUNDS
from deployments import Deployment
from deployments import MODEL
from lentilrun.decisions.weightsage import compute_withdrawal_delay
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
import msgspec
import pytest

if TYPE_CHECKING:
    from lentilrun.platform.node import Bounds

# A version is learned within this time.
_LEARNING_S = 1.0
# All VMs restart within this time.
_RESTART_S = 0.5


def _make_bounds(limit: float, undisturbed: float) -> Bounds:
    """Return limits, in seconds; the second is the time until they bind."""
    return BOUNDS._replace(
        stale_weights_limit=limit, undisturbed_time=undisturbed
    )


async def _restart_all(fleet: ModelledFleet) -> None:
    names = list(fleet.nodes)
    for name in names:
        fleet.stop(name)
    await asyncio.sleep(_RESTART_S)
    for name in names:
        fleet.replace(name)


@pytest.mark.parametrize(
    ('data_centres', 'limit', 'undisturbed'),
    [
        (SMALL_FLEET, 8.0, 3.0),
        (SMALL_FLEET, 10.0, 4.0),
        (SMALL_FLEET, 10.0, 5.0),
        (SMALL_FLEET, 30.0, 4.0),
        (LARGE_FLEET, 10.0, 4.0),
    ],
)
def test_weights_seem_newer_after_all_vms_restart(
    data_centres: dict[str, int],
    limit: float,
    undisturbed: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The age of an announcement never starts anew with the VMs."""

    async def main(loop: timeloop.TimeLoop) -> None:
        bounds = _make_bounds(limit, undisturbed)
        with ModelledFleet(
            loop, monkeypatch, data_centres, bounds=bounds
        ) as fleet:
            fleet.start()
            await asyncio.sleep(5.0)
            fleet.announce_weights(2)
            await asyncio.sleep(limit - 0.5 * undisturbed)
            for _ in range(2):
                await _restart_all(fleet)
                await asyncio.sleep(undisturbed)
                delays = [
                    compute_withdrawal_delay(n.view.stale_for(MODEL, 1), limit)
                    for n in fleet
                ]
                assert max(delays) == 0.0

    timeloop.run(main)


@pytest.mark.parametrize(
    ('data_centres', 'until_restart'),
    [(SMALL_FLEET, 1.0), (SMALL_FLEET, 3.0), (LARGE_FLEET, 8.0)],
)
def test_weights_seem_older_after_all_vms_restart(
    data_centres: dict[str, int],
    until_restart: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Engines stay in use while their weights are not too old.

    The store keeps when all versions were announced, not only the last.
    """

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(5.0)
            announced_at = loop.time()
            fleet.announce_weights(2)
            await asyncio.sleep(until_restart)
            fleet.announce_weights(3)
            await asyncio.sleep(1.0)
            for _ in range(2):
                await _restart_all(fleet)
                await asyncio.sleep(1.0)
                age = loop.time() - announced_at
                ages = [n.view.stale_for(MODEL, 1) for n in fleet]
                assert age - _LEARNING_S < min(ages)
                assert max(ages) < age + _LEARNING_S

    timeloop.run(main)


def test_row_of_an_announcement_is_from_another_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A time after the store's own makes no version seem newer."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, SMALL_FLEET) as fleet:
            fleet.announce_weights(2)
            row = msgspec.json.encode([MODEL, 2, loop.time() + 5.0])
            fleet.state.put('fleet', f'announced/2/{MODEL}', row)
            fleet.state.put('fleet', f'announced/1/{MODEL}', b'[]')
            fleet.start()
            await asyncio.sleep(1.0)
            ages = [n.view.stale_for(MODEL, 1) for n in fleet]
            assert min(ages) > BOUNDS.stale_weights_limit

    timeloop.run(main)


@pytest.mark.parametrize(('limit', 'undisturbed'), [(10.0, 2.0)])
def test_request_begins_late_after_all_vms_restart(
    limit: float, undisturbed: float
) -> None:
    """A request that a restarted VM sent is taken back in time."""

    async def body() -> None:
        async with Deployment() as deployment:
            engine = deployment.add_replica('e1', 'llm')
            # The engine is not in reach of the orders.
            engine.plan.delayed_orders = 99
            engine.plan.order_delay_s = 99.0
            engine.plan.queue_s = 0.6
            deployment.announce_weights(2)
            now = asyncio.get_running_loop().time
            announced_at = now()
            await asyncio.sleep(limit - undisturbed + 0.5)
            started_at = now()
            bounds = _make_bounds(limit, undisturbed)
            node = await deployment.start_node('vm1', bounds)
            calls = []
            while now() < started_at + undisturbed + 1.5:
                call = deployment.ask(
                    node, '/chat/x', b'{}', '1000,20', X_Deadline_Ms='900'
                )
                calls.append(asyncio.ensure_future(call))
                await asyncio.sleep(0.1)
            await asyncio.gather(*calls)
            late = [
                r.started_at - announced_at
                for r in engine.runs
                if r.versions[MODEL] == 1
                and r.started_at > started_at + undisturbed
                and r.started_at > announced_at + limit
            ]
            assert not late

    asyncio.run(body())
