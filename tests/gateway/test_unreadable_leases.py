"""A lease row that can't be read counts as a lease of another VM."""

from __future__ import annotations

import asyncio

from deployments import BOUNDS
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
import pytest

_STARTED_S = 4.0
_LEASE_S = 1.5


def _have_all_loaded(fleet: ModelledFleet, version: int) -> bool:
    return all(fleet.engines.is_at(f'e{n}', version) for n in range(8))


@pytest.mark.parametrize(
    'value', [b'nonsense', b'{}', b'["a000"]', b'["a000",1,null]', b'[]']
)
def test_unreadable_lease_is_waited_for(
    value: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nobody sends orders until it has ended; fencing tokens still grow."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, {'a': 2}) as fleet:
            fleet.start()
            await asyncio.sleep(_STARTED_S)
            for version in (2, 3):
                fleet.announce_weights(version)
                await fleet.wait_until(
                    lambda v=version: _have_all_loaded(fleet, v), 8.0
                )
                # The lease ends, and the next work acquires it anew.
                await asyncio.sleep(_LEASE_S + BOUNDS.lease_gap + 1.0)
            fence = fleet.engines.orders[-1][2].fence
            assert fence > 1
            fleet.state.put('fleet', 'lease/weights', value)
            written_at = loop.time()
            fleet.announce_weights(4)
            await fleet.wait_until(lambda: _have_all_loaded(fleet, 4), 12.0)
            later = [o for o in fleet.engines.orders if o[2].version == 4]
            assert min(o.fence for _, _, o in later) > fence
            waited = min(at for at, _, _ in later) - written_at
            assert waited >= _LEASE_S + BOUNDS.lease_gap

    timeloop.run(main)
