"""Rows that reach VMs late, twice, out of order or not at all."""

from __future__ import annotations

import asyncio
import os
from typing import NamedTuple
from typing import TYPE_CHECKING

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.gateway.follower import Follower
from lentilrun.gateway.logs import Log
from lentilrun.platform.rows import Row
from lentilrun.platform.rows import Rows
from lentilrun.platform.rowversions import make_version
from lentilrun.standins import timeloop
import pytest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

_TABLE = 'op'
_POLL_S = 0.01
# The VMs report their newest versions this often.
_REPORT_INTERVAL_S = 0.25
# After the last write: feeds, relays and requests for missing rows.
_SETTLE_S = 6.0


class _Write(NamedTuple):
    """A row is written, or removed, ``after`` seconds from the start."""

    after: float
    key: str
    is_removal: bool = False


class _Delay(NamedTuple):
    """How long a call is on its way to the store, and its response back."""

    request: float
    response: float


class _Fleet(NamedTuple):
    """Writes, and how long calls and datagrams are on their way.

    A datagram without a delay is lost. They are used in turn. The first of
    ``call_delays`` is of one VM, the others are of the second one.
    """

    writes: list[_Write]
    call_delays: list[_Delay]
    datagram_delays: list[list[float] | None]


class _Store:
    """A table; the calls of one VM take ``delays`` in turn."""

    def __init__(self, delays: list[_Delay]) -> None:
        self.changes: list[Row] = []
        self._delays = delays
        self._calls = 0

    def apply(self, write: _Write) -> None:
        """Write or remove a row."""
        version = len(self.changes) + 1
        value = b'' if write.is_removal else b'%d' % version
        row = Row(write.key, value, version, write.is_removal)
        self.changes.append(row)

    def list_present(self) -> dict[str, bytes]:
        """Return the values of the rows that are there."""
        newest = {r.key: r for r in self.changes}
        return {k: r.value for k, r in newest.items() if not r.is_deleted}

    def _next_delay(self) -> _Delay:
        self._calls += 1
        return self._delays[self._calls % len(self._delays)]

    def _list_page(self, first: str, end: str) -> list[Row]:
        newest = {r.key: r for r in self.changes if first <= r.key < end}
        return [r for r in newest.values() if not r.is_deleted]

    async def read(self, table: str) -> Rows:
        """Return all rows, in two pages; the second takes a delay too."""
        version = len(self.changes)
        rows = self._list_page('a', 'b')
        delay = self._next_delay()
        await asyncio.sleep(delay.request)
        rows += self._list_page('b', 'z')
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(delay.response)
        return Rows(tuple(rows), version, now)

    async def follow(self, table: str, after: int, wait: float) -> Rows:
        """Return the newest change of each row after a version."""
        loop = asyncio.get_running_loop()
        delay = self._next_delay()
        until = loop.time() + wait
        while len(self.changes) <= after and loop.time() < until:
            await asyncio.sleep(_POLL_S)
        await asyncio.sleep(delay.request)
        newest = {r.key: r for r in self.changes[after:]}
        rows = sorted(newest.values(), key=lambda r: r.version)
        response = Rows(tuple(rows), len(self.changes), loop.time())
        await asyncio.sleep(delay.response)
        return response


class _Vm:
    """A VM with its follower, and the rows that it passed on."""

    def __init__(
        self, store: _Store, loop: timeloop.TimeLoop, log: Log
    ) -> None:
        self.rows: dict[str, bytes] = {}
        self.passed_on: list[int] = []
        self.follower = Follower(store, _TABLE, self._handle, loop, log)

    def _handle(self, row: Row) -> None:
        self.passed_on.append(row.version)
        if row.is_deleted:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row.value


class _Relays:
    """Passes the rows that two VMs read to each other and to a third one."""

    def __init__(self, vms: list[_Vm], fleet: _Fleet) -> None:
        self._vms = vms
        self._fleet = fleet
        self._datagrams = 0
        for vm in vms:
            vm.follower.on_rows.append(self._make_relay(vm))
            vm.follower.request_rows = self._make_request(vm)
        vms[-1].follower.is_relayed = lambda: True

    def _make_relay(
        self, sender: _Vm
    ) -> Callable[[str, int, Rows, bool], None]:
        def relay(
            table: str, previous: int, changes: Rows, is_read: bool
        ) -> None:
            if not is_read:
                return
            for vm in self._vms:
                if vm is not sender:
                    self._send(vm, previous, changes)

        return relay

    def _make_request(self, asker: _Vm) -> Callable[[str, int], None]:
        def request(table: str, after: int) -> None:
            for vm in self._vms[:-1]:
                changes = vm.follower.list_changes(after)
                if changes is not None:
                    self._send(asker, after, changes)

        return request

    def _send(self, vm: _Vm, previous: int, changes: Rows) -> None:
        all_delays = self._fleet.datagram_delays
        delays = all_delays[self._datagrams % len(all_delays)]
        self._datagrams += 1
        loop = asyncio.get_running_loop()
        for delay in delays or ():
            loop.call_later(
                delay, vm.follower.apply_relayed, previous, changes
            )

    async def report(self) -> None:
        """Let each VM learn which changes the others know, repeatedly."""
        while True:
            for vm in self._vms:
                for other in self._vms:
                    vm.follower.record_progress(other.follower.progress())
            await asyncio.sleep(_REPORT_INTERVAL_S)


@pytest.fixture(scope='module')
def log_file() -> Iterator[int]:
    """Open a file descriptor that takes the log."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


_DELAYS = st.sampled_from([0.0, 0.01, 0.05, 0.2, 0.6])
_WRITES = st.lists(
    st.builds(
        _Write,
        st.sampled_from([0.1 * n for n in range(30)]),
        st.sampled_from('abc'),
        st.booleans(),
    ),
    min_size=1,
    max_size=8,
)
_FLEETS = st.builds(
    _Fleet,
    _WRITES,
    st.lists(st.builds(_Delay, _DELAYS, _DELAYS), min_size=2, max_size=5),
    st.lists(
        st.none() | st.lists(_DELAYS, min_size=1, max_size=2),
        min_size=1,
        max_size=7,
    ).filter(any),
)
# The second VM's feed returns 1 and 2, of which it was relayed 1 meanwhile.
# The datagram with 1 to the third VM is lost, that with 2 is not.
_PART_OF_A_FEED_IS_KNOWN = _Fleet(
    [_Write(1.0, 'a'), _Write(1.1, 'b')],
    [_Delay(0.0, 0.0), _Delay(0.15, 0.0)],
    [[0.0], None, [0.0], [0.0]],
)
# The third VM's first read has the second write, and not the first one.
_READ_IN_PAGES = _Fleet(
    [_Write(0.1, 'a'), _Write(0.2, 'b')],
    [_Delay(0.5, 0.0), _Delay(0.0, 0.0)],
    [[0.0]],
)
# The first removal is delayed, as the first VM's calls are slow and nobody
# told it more; the second one is passed on before that time is over.
_REMOVED_TWICE = _Fleet(
    [
        _Write(0.1, 'a'),
        _Write(0.2, 'a', True),
        _Write(0.7, 'b'),
        _Write(1.6, 'a', True),
    ],
    [_Delay(0.6, 0.05), _Delay(0.0, 0.0)],
    [None, None, [0.0], None, None, None, None],
)


# Found by the property test. The third VM keeps the row that is removed while
# calls are slow and nobody relays rows.
_REMOVED_DURING_SLOW_CALLS = _Fleet(
    [_Write(1.1, 'a'), _Write(1.7, 'a', True)],
    [
        _Delay(0.2, 0.6),
        _Delay(0.0, 0.0),
        _Delay(0.0, 0.0),
        _Delay(0.6, 0.6),
        _Delay(0.0, 0.0),
    ],
    [[0.0]],
)


def _check_rows(log_file: int, fleet: _Fleet) -> None:
    """Check that VMs come to have all rows, and never older ones again."""

    async def main(loop: timeloop.TimeLoop) -> None:
        log = Log(loop, 'vm1', log_file)
        stores = [
            _Store(fleet.call_delays[:1]),
            _Store(fleet.call_delays[1:]),
            _Store(fleet.call_delays[:1]),
        ]
        for store in stores[1:]:
            store.changes = stores[0].changes
        vms = [_Vm(store, loop, log) for store in stores]
        relays = _Relays(vms, fleet)
        tasks = [asyncio.ensure_future(vm.follower.run()) for vm in vms]
        tasks.append(asyncio.ensure_future(relays.report()))
        started_at = loop.time()
        for write in sorted(fleet.writes):
            due_at = started_at + write.after
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            stores[0].apply(write)
        await asyncio.sleep(_SETTLE_S)
        expected = stores[0].list_present()
        assert [vm.rows for vm in vms] == [expected] * len(vms)
        for vm in vms:
            by_key = [stores[0].changes[v - 1].key for v in vm.passed_on]
            for key in set(by_key):
                versions = [
                    v
                    for v, k in zip(vm.passed_on, by_key, strict=True)
                    if k == key
                ]
                assert versions == sorted(versions)
        for task in tasks:
            task.cancel()

    timeloop.run(main)


@given(_FLEETS)
@example(_REMOVED_TWICE)
@example(_READ_IN_PAGES)
@example(_PART_OF_A_FEED_IS_KNOWN)
@settings(deadline=None, max_examples=150)
def test_no_row_is_left_out(log_file: int, fleet: _Fleet) -> None:
    """All VMs come to have all rows, and never go back to older ones."""
    _check_rows(log_file, fleet)


def test_row_removed_during_slow_calls(log_file: int) -> None:
    """No VM keeps a row that is removed while its calls are slow."""
    _check_rows(log_file, _REMOVED_DURING_SLOW_CALLS)


def test_rows_between_pages_are_requested(log_file: int) -> None:
    """A VM asks for what was written while it read, before any report."""

    async def main(loop: timeloop.TimeLoop) -> None:
        store = _Store([_Delay(0.5, 0.0)])
        vm = _Vm(store, loop, Log(loop, 'vm1', log_file))
        requests: list[int] = []
        vm.follower.is_relayed = lambda: True
        vm.follower.request_rows = lambda _, after: requests.append(after)
        task = asyncio.ensure_future(vm.follower.run())
        await asyncio.sleep(0.2)
        store.apply(_Write(0.2, 'a'))
        store.apply(_Write(0.2, 'b'))
        await asyncio.sleep(0.5)
        assert vm.rows == {'b': b'2'}
        assert requests
        assert requests[0] == 0
        task.cancel()

    timeloop.run(main)


@pytest.mark.parametrize('era', [1, 2])
@pytest.mark.parametrize('is_deleted', [False, True])
def test_rows_from_before_a_restoration(
    era: int, is_deleted: bool, log_file: int
) -> None:
    """A late datagram of an earlier era brings back no row that is lost."""

    async def main(loop: timeloop.TimeLoop) -> None:
        store = _Store([_Delay(0.0, 0.0)])
        vm = _Vm(store, loop, Log(loop, 'vm1', log_file))
        task = asyncio.ensure_future(vm.follower.run())
        await asyncio.sleep(0.2)
        task.cancel()
        newest = make_version(2, 5)
        vm.follower.apply_relayed(
            0, Rows((Row('a', b'new', newest),), newest, 0.0)
        )
        version = make_version(era, 9)
        late = Row('b', b'' if is_deleted else b'lost', version, is_deleted)
        vm.follower.apply_relayed(0, Rows((late,), version, 0.0))
        if era == 2 and not is_deleted:
            assert vm.rows == {'a': b'new', 'b': b'lost'}
        else:
            assert vm.rows == {'a': b'new'}
        assert vm.follower.newest_row_version == max(
            newest, version if era == 2 else 0
        )

    timeloop.run(main)
