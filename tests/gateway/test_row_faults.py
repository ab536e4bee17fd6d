"""Changes of the store under any order of faults of VMs that relay them."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.standins import timeloop
from modelledfleets import CHANGE_LIMIT_S
from modelledfleets import ModelledFleet
from modelledfleets import STARTED_S
import pytest

_MESH = {'a': 3, 'b': 3}
# Two hubs, which are the readers, and VMs behind them.
_HUBS = {'a': 14}
# Reads, gossip and relays of rows go through these.
_FAULTY = ('a000', 'a001', 'b000', 'b001')
_LENGTH_S = 8.0
_CHANGE_INTERVAL_S = 0.5
_RESTART_S = 0.1


class _Fault(NamedTuple):
    """What befalls a VM ``at`` some time, for ``duration`` seconds.

    It is ``cut`` off from the store, or ``rejected`` by it; it is ``mute``,
    as its datagrams are lost, or it is ``killed`` and starts again.
    """

    at: float
    kind: str
    name: str
    duration: float = 3.0


class _Faults:
    """Applies faults to a fleet."""

    def __init__(self, fleet: ModelledFleet) -> None:
        self._fleet = fleet
        self._mute: set[str] = set()
        fleet.loses = lambda sender, *_: sender in self._mute

    async def apply(self, fault: _Fault) -> None:
        """Begin and end a fault."""
        if fault.name not in self._fleet.nodes:
            return
        await asyncio.sleep(fault.at)
        if fault.kind == 'killed':
            await self._restart(fault.name)
            return
        self._set(fault, True)
        await asyncio.sleep(fault.duration)
        self._set(fault, False)

    async def _restart(self, name: str) -> None:
        if name not in {n.settings.name for n in self._fleet}:
            return
        self._fleet.stop(name)
        await asyncio.sleep(_RESTART_S)
        self._fleet.replace(name)

    def _set(self, fault: _Fault, is_on: bool) -> None:
        if fault.kind == 'mute':
            (self._mute.add if is_on else self._mute.discard)(fault.name)
        elif fault.kind == 'cut':
            self._fleet.stores[fault.name].hangs = is_on
        else:
            self._fleet.stores[fault.name].rejects = is_on


_FAULTS = st.lists(
    st.builds(
        _Fault,
        st.sampled_from([0.3 * n for n in range(20)]),
        st.sampled_from(['cut', 'rejected', 'mute', 'killed']),
        st.sampled_from(_FAULTY),
        st.sampled_from([0.4, 1.2, 3.0, 6.0]),
    ),
    max_size=8,
)
_BOTH_KILLED = [_Fault(1.0, 'killed', n) for n in ('a000', 'a001', 'b000')]
_BOTH_CUT = [_Fault(1.3, 'cut', n) for n in ('a000', 'a001', 'b000')]


def _check(fleet: ModelledFleet, version: int, gone: str) -> list[str]:
    """Return the calm VMs that lack a configuration or have a target."""
    return [
        node.settings.name
        for node in fleet
        if node.settings.name not in _FAULTY
        and (
            node.view.configuration is None
            or node.view.configuration.version < version
            or gone in node.targets.states
        )
    ]


async def _change(fleet: ModelledFleet, late: list[str]) -> None:
    """Write a configuration and remove a target; check them in time."""
    version = 1
    checks: list[asyncio.Task[None]] = []

    async def check_later(version: int, gone: str) -> None:
        await asyncio.sleep(CHANGE_LIMIT_S)
        late.extend(_check(fleet, version, gone))

    for _ in range(int(_LENGTH_S / _CHANGE_INTERVAL_S)):
        version += 1
        fleet.register(f'new{version}')
        await asyncio.sleep(_CHANGE_INTERVAL_S)
        gone = f'new{version}'
        fleet.configure(version)
        fleet.state.put('servers', gone, None)
        checks.append(asyncio.ensure_future(check_later(version, gone)))
    await asyncio.gather(*checks)


@pytest.mark.parametrize('data_centres', [_MESH, _HUBS])
@given(faults=_FAULTS)
@example(faults=_BOTH_KILLED)
@example(faults=_BOTH_CUT)
@example(faults=[*_BOTH_KILLED, *_BOTH_CUT])
@settings(
    deadline=None,
    max_examples=12,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_calm_vms_learn_of_changes_in_time(
    data_centres: dict[str, int],
    monkeypatch: pytest.MonkeyPatch,
    faults: list[_Fault],
) -> None:
    """Whatever befalls the readers and hubs, the others read in time."""
    late: list[str] = []

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, data_centres) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            applied = _Faults(fleet)
            tasks = [asyncio.ensure_future(applied.apply(f)) for f in faults]
            await _change(fleet, late)
            await asyncio.gather(*tasks)

    timeloop.run(main)
    assert not late
