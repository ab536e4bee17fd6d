"""Who writes the ceilings of the use, and what a late write replaces."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lentilrun.gateway.messages import RelayedRow
from lentilrun.gateway.messages import RelayedRows
from lentilrun.gateway import usage
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
import msgspec
import pytest
from quotaloads import ENTITLEMENT
from quotaloads import WORKSPACE

if TYPE_CHECKING:
    from lentilrun.standins.timeloop import TimeLoop

_WARM_UP_S = 11.0


def _read_ceilings(fleet: ModelledFleet) -> dict[str, float]:
    row = fleet.state.rows.get(('fleet', '', 'usage-ceilings'))
    if row is None or row.value is None:
        return {}
    ceilings: dict[str, float] = usage._ceilings_decoder.decode(
        row.value
    ).ceilings
    return ceilings


def _use(fleet: ModelledFleet, share: float) -> None:
    node = fleet.nodes['d000']
    node.quotas._add_use(WORKSPACE, share * ENTITLEMENT)


def _count_writes(fleet: ModelledFleet) -> dict[str, int]:
    return {
        name: store.calls['write usage-ceilings']
        for name, store in fleet.stores.items()
        if store.calls['write usage-ceilings']
    }


def _list_ceilings(fleet: ModelledFleet) -> set[float]:
    return {n.quotas._windows[WORKSPACE].ceiling or 0.0 for n in fleet}


def test_last_row_has_no_ceilings(monkeypatch: pytest.MonkeyPatch) -> None:
    """One VM writes a row a second while use is high, and a last one.

    An old row would otherwise be taken for that of a writer that was lost.
    """

    async def main(loop: TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, SMALL_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(_WARM_UP_S)
            before = _count_writes(fleet)
            _use(fleet, 0.7)
            await asyncio.sleep(0.6)
            assert _read_ceilings(fleet)[WORKSPACE] > 0.7 * ENTITLEMENT
            assert _list_ceilings(fleet) == {_read_ceilings(fleet)[WORKSPACE]}
            await asyncio.sleep(12.0)
            assert _read_ceilings(fleet) == {}
            assert _list_ceilings(fleet) == {0.0}
            await asyncio.sleep(5.0)
            writes = _count_writes(fleet)
            assert before.keys() == writes.keys()
            added = {n: writes[n] - before[n] for n in writes}
            assert added.pop('a000') <= 12
            assert not any(added.values())

    timeloop.run(main)


@pytest.mark.parametrize('lost', [['a000'], ['a000', 'a001']])
def test_next_vm_writes(
    lost: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A writer whose calls hang is replaced before it knows of it."""

    async def main(loop: TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, SMALL_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(_WARM_UP_S)
            for name in lost:
                fleet.stores[name].hangs = True
            _use(fleet, 0.7)
            await asyncio.sleep(0.6 + 0.5 * len(lost))
            assert _read_ceilings(fleet)[WORKSPACE] > 0.7 * ENTITLEMENT

    timeloop.run(main)


def test_late_write_replaces_no_newer_row(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A write that is carried out seconds later does not count."""

    async def main(loop: TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, SMALL_FLEET) as fleet:
            fleet.start()
            await asyncio.sleep(_WARM_UP_S)
            fleet.stores['a000'].write_delay = 1.4
            _use(fleet, 0.5)
            await asyncio.sleep(0.9)
            first = _read_ceilings(fleet)[WORKSPACE]
            _use(fleet, 0.3)
            await asyncio.sleep(1.4)
            assert _read_ceilings(fleet)[WORKSPACE] > first

    timeloop.run(main)


@pytest.mark.parametrize(
    'value',
    [b'', b'[]', b'{"in_force":{"w":-1},"stored":{}}', b'{"in_force":{}}'],
)
def test_unreadable_ceilings(
    value: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Ceilings that can't be read leave those that are known in force."""

    async def main(loop: TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, SMALL_FLEET) as fleet:
            ceilings = fleet.nodes['a000'].usage_checkpointer.ceilings
            row = RelayedRow('ceilings', value, 9, False)
            ceilings.receive(RelayedRows('a001', 'statement', 0, 0, [row]))
            assert ceilings.version == 0

    timeloop.run(main)


def test_longer_rows_are_read() -> None:
    """What a later build adds to the row is ignored."""
    value = msgspec.json.encode({'ceilings': {'w': 1.5}, 'later': [1]})
    row = usage._ceilings_decoder.decode(value)
    assert row.ceilings == {'w': 1.5}
    assert not row.is_by_starting
