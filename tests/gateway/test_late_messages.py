"""Messages of VMs that arrive late, twice or out of order."""

from __future__ import annotations

import asyncio
import os
from typing import NamedTuple
from typing import TYPE_CHECKING

from deployments import BOUNDS
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from lentilrun.config.ini import Address
from lentilrun.coordination.clock import ManualClock
from lentilrun.gateway.messagedelays import add_delay
from lentilrun.gateway.messagedelays import MessageDelays
from lentilrun.gateway.messages import AnnouncementReport
from lentilrun.gateway.messages import decode
from lentilrun.gateway.messages import encode
from lentilrun.gateway.messages import GossipMessage
from lentilrun.gateway.messages import RateLimitReport
from lentilrun.gateway.messages import RolloutReport
from lentilrun.gateway.messages import Scope
from lentilrun.gateway.messages import SENT_AT
from lentilrun.gateway import node as node_module
from lentilrun.gateway.node import Node
from lentilrun.gateway.rolloutstate import Stage
from lentilrun.platform.node import NodeSettings
from lentilrun.platform.rows import Row
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_target_row
import msgspec
import pytest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

_ADDRESS = Address('127.0.0.1', 1)
_WORKSPACE = 'workspace'
# By the clock of the VM that gets messages.
_STARTED_AT = 5000.0


class _Sent(NamedTuple):
    """A message of one process of a VM, which admitted ``tokens``.

    It was ``sent_at`` a time by its sender's clock, in seconds.
    """

    incarnation: int
    tokens: float = 0.0
    is_leaving: bool = False
    sent_at: float | None = None
    limits: tuple[RateLimitReport, ...] = ()
    rollouts: tuple[RolloutReport, ...] = ()

    def _list_versions(self) -> dict[str, int]:
        if self.sent_at is None:
            return {}
        return {SENT_AT: round(self.sent_at * 1e6)}

    def encode(self) -> bytes:
        """Return the datagram."""
        return encode(
            GossipMessage(
                'vm2',
                Scope.VM,
                'a',
                1.0,
                '127.0.0.1',
                9,
                self.incarnation,
                self.is_leaving,
                0,
                False,
                [],
                [],
                [],
                [],
                {_WORKSPACE: self.tokens},
                {},
                self._list_versions(),
                [],
                [],
                rate_limits=list(self.limits),
                rollouts=list(self.rollouts),
            )
        )


class _Receiver:
    """A VM that gets datagrams."""

    def __init__(self, log_file: int) -> None:
        node_settings = NodeSettings(
            'vm1',
            '127.0.0.1',
            'a',
            1.0,
            _ADDRESS,
            _ADDRESS,
            1,
            _ADDRESS,
            BOUNDS,
        )
        self._clock = ManualClock(_STARTED_AT)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(node_module, 'SystemClock', lambda: self._clock)
            self.node = Node(node_settings, log_file)
        value = msgspec.json.encode(make_configuration(1))
        self.node.view.apply_operator_row(Row('config', value, 1))
        self._before = self._count_used()

    def _count_used(self) -> float:
        configuration = self.node.view.configuration
        assert configuration is not None
        workspace = configuration.workspaces[_WORKSPACE]
        return self.node.quotas.used_tokens(workspace)

    def advance_to(self, time: float) -> None:
        """Let time pass; it counts from the start of this VM."""
        self._clock.advance(_STARTED_AT + time - self._clock.now())

    def count_received(self) -> float:
        """Return the tokens that were counted by messages."""
        return self._count_used() - self._before

    def add_target(self, incarnation: str) -> None:
        """Let a target register."""
        value = make_target_row('app', '127.0.0.1:9000', {}, 'ready')
        self.node.view.apply_target_row(Row(incarnation, value, 2))

    def receive(self, message: _Sent) -> None:
        """Receive a datagram."""
        self.node.peers._receive_datagram(message.encode())

    def get_incarnation(self) -> int | None:
        """Return the process of the other VM that counts, if any does."""
        peer = self.node.peers.by_name.get('vm2')
        return None if peer is None else peer.incarnation


@pytest.fixture(scope='module')
def log_file() -> Iterator[int]:
    """Open a file descriptor that takes the log."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


def _run(log_file: int, check: Callable[[_Receiver], None]) -> None:
    async def body() -> None:
        check(_Receiver(log_file))

    asyncio.run(body())


class _Case(NamedTuple):
    """Messages, and which process counts after them, with how much use."""

    messages: list[_Sent]
    incarnation: int | None
    received: float = 0.0


@pytest.mark.parametrize(
    'case',
    [
        _Case([_Sent(1), _Sent(1, 50.0)], 1, 50.0),
        _Case([_Sent(1), _Sent(1, 50.0), _Sent(1, 50.0)], 1, 50.0),
        _Case([_Sent(1, 90.0), _Sent(2), _Sent(2, 50.0)], 2, 50.0),
        # A process that was replaced has ended.
        _Case([_Sent(1, 90.0), _Sent(2), _Sent(1, 99.0)], 2),
        _Case(
            [_Sent(1, 90.0), _Sent(2), _Sent(1, 99.0), _Sent(2, 50.0)],
            2,
            50.0,
        ),
        _Case([_Sent(1), _Sent(2), _Sent(1, is_leaving=True)], 2),
        _Case(
            [_Sent(1), _Sent(2), _Sent(3), _Sent(1), _Sent(2), _Sent(3, 5.0)],
            3,
            5.0,
        ),
        # A process that left does not come back, and its VM may.
        _Case([_Sent(1), _Sent(1, is_leaving=True), _Sent(1)], None),
        _Case([_Sent(1, is_leaving=True), _Sent(1)], None),
        _Case([_Sent(1), _Sent(1, is_leaving=True), _Sent(2)], 2),
        _Case(
            [
                _Sent(1),
                _Sent(1, is_leaving=True),
                _Sent(2),
                _Sent(1, is_leaving=True),
                _Sent(2, 5.0),
            ],
            2,
            5.0,
        ),
    ],
)
def test_processes_that_ended(log_file: int, case: _Case) -> None:
    """Their late messages neither count nor bring them back."""

    def check(receiver: _Receiver) -> None:
        for message in case.messages:
            receiver.receive(message)
        assert receiver.get_incarnation() == case.incarnation
        assert receiver.count_received() == case.received

    _run(log_file, check)


@given(
    st.lists(st.integers(0, 4), max_size=6),
    st.lists(st.integers(0, 9), max_size=12),
)
@settings(deadline=None)
def test_use_around_a_restart(
    log_file: int, early: list[int], late: list[int]
) -> None:
    """Use counts once, whatever comes late or twice around a restart."""
    before = [_Sent(1, 10.0 * n) for n in range(5)]
    after = [_Sent(2, 10.0 * n) for n in range(5)]

    def check(receiver: _Receiver) -> None:
        for index in (0, *early, 4):
            receiver.receive(before[index])
        receiver.receive(after[0])
        for index in late:
            receiver.receive([*before, *after][index])
        receiver.receive(after[4])
        assert receiver.count_received() == 80.0
        assert receiver.get_incarnation() == 2

    _run(log_file, check)


class _Stated(NamedTuple):
    """A message that was sent at a time, with a limit of some age."""

    sent_at: float
    limit: float | None
    age: float = 0.1


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        # Read in order, after this VM stood still.
        ([_Stated(100.0, None), _Stated(102.0, 3.0)], 3.0),
        ([_Stated(100.0, 3.0), _Stated(102.0, None)], None),
        # Another one was faster on its way.
        ([_Stated(104.0, None), _Stated(102.0, 3.0, 0.0)], None),
        ([_Stated(104.0, 3.0), _Stated(102.0, None, 0.0)], 3.0),
        # The newer message reports what was stated before.
        ([_Stated(102.0, None), _Stated(104.0, 3.0, 2.5)], None),
        ([_Stated(102.0, 3.0), _Stated(104.0, None, 2.5)], 3.0),
    ],
)
def test_limits_of_late_messages(
    log_file: int, stated: list[_Stated], expected: float | None
) -> None:
    """What a target stated last counts, when all messages arrive at once."""

    def check(receiver: _Receiver) -> None:
        receiver.add_target('a1')
        receiver.advance_to(99.0)
        receiver.receive(_Sent(1, sent_at=99.0))
        receiver.advance_to(105.0)
        for sent_at, limit, age in stated:
            report = RateLimitReport('a1', limit, age)
            receiver.receive(_Sent(1, sent_at=sent_at, limits=(report,)))
        state = receiver.node.targets.states['a1']
        assert state.rate_limit.limit == expected

    _run(log_file, check)


@given(st.permutations(range(6)))
@settings(deadline=None)
def test_newest_message_counts(log_file: int, order: list[int]) -> None:
    """Messages in any order leave what the newest of them says."""

    def check(receiver: _Receiver) -> None:
        receiver.add_target('a1')
        receiver.advance_to(100.0)
        receiver.receive(_Sent(1, sent_at=100.0))
        receiver.advance_to(110.0)
        for number in order:
            limit = RateLimitReport('a1', 1.0 + number, 0.1)
            receiver.receive(
                _Sent(1, 10.0 * number, False, 101.0 + number, (limit,))
            )
        assert receiver.count_received() == 50.0
        state = receiver.node.targets.states['a1']
        assert state.rate_limit.limit == 6.0

    _run(log_file, check)


@given(
    st.lists(
        st.tuples(st.floats(0.01, 2.0), st.floats(0.0, 8.0)),
        min_size=1,
        max_size=40,
    ),
    st.floats(-1e6, 1e6),
)
def test_delays(sent: list[tuple[float, float]], lead: float) -> None:
    """A delay is never more than a message really took."""
    delays = MessageDelays()
    sent_at = 100.0
    arrivals = []
    for pause, way in sent:
        sent_at += pause
        arrivals.append((sent_at + way, sent_at))
    newest = 0.0
    for arrived_at, sent_at in sorted(arrivals):
        delay = delays.record(sent_at + lead, arrived_at)
        if sent_at < newest:
            assert delay is None
            continue
        newest = sent_at
        assert delay is not None
        assert -1e-3 <= delay <= arrived_at - sent_at + 1e-3


def test_announcement_in_a_late_message() -> None:
    """It is older by the delay, though no earlier report of it has come."""
    message = decode(_Sent(1).encode())
    assert isinstance(message, GossipMessage)
    reports = [AnnouncementReport('model', 2, 1.0)]
    message = msgspec.structs.replace(message, announcements=reports)
    (report,) = add_delay(message, 2.0).announcements
    assert report == AnnouncementReport('model', 2, 3.0)


@pytest.mark.parametrize(
    ('stages', 'expected', 'is_retired'),
    [
        ([Stage.BANNED], Stage.BANNED, True),
        ([Stage.ROLLED_BACK], Stage.ROLLED_BACK, True),
        ([Stage.ROLLED_BACK, Stage.BANNED], Stage.ROLLED_BACK, True),
        ([Stage.COMPLETED], Stage.COMPLETED, False),
        ([Stage.COMPLETED, Stage.BANNED], Stage.COMPLETED, False),
        ([Stage.BANNED, Stage.COMPLETED], Stage.COMPLETED, False),
        ([Stage.COMPLETED, Stage.RAMP], Stage.COMPLETED, False),
    ],
)
def test_stages_before_the_order_is_read(
    log_file: int, stages: list[Stage], expected: Stage, is_retired: bool
) -> None:
    """Of what other VMs report of an order, the furthest stage counts."""

    def check(receiver: _Receiver) -> None:
        node = receiver.node
        for number, stage in enumerate(stages):
            report = RolloutReport('app', 9, 'v2', int(stage), 1, number, 'r')
            receiver.receive(_Sent(1, rollouts=(report,)))
        assert ('v2' in node.rollouts.retired.get('app', ())) is is_retired
        order = {'service': 'app', 'to': 'v2', 'duration-s': 30.0}
        value = msgspec.json.encode(order)
        node.view.apply_operator_row(Row('rollout/app', value, 9))
        assert node.rollouts.by_service['app'].stage is expected
        assert ('v2' in node.rollouts.retired.get('app', ())) is is_retired

    _run(log_file, check)
