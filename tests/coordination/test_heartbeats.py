"""Echoes of heartbeats, of late ones and around restarts."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from lentilrun.coordination.clock import ManualClock
from lentilrun.coordination.heartbeat import Heartbeat
from lentilrun.coordination.heartbeat import HeartbeatTracker

_PEER = 'vm2'
_OWN = 'vm1'


class _Step(NamedTuple):
    """What happens in one step of a second.

    The member sends a heartbeat, which the peer ``hears`` or not, and one of
    the peer's heartbeats arrives: the ``age``-th before its last one. Before
    all that, the member ``restarts`` or not.
    """

    restarts: bool
    hears: bool
    age: int


def _make_heartbeat(number: int, echo: int) -> Heartbeat:
    return Heartbeat(number, echo, 'i', {}, {}, True, False)


_STEPS = st.lists(
    st.builds(_Step, st.booleans(), st.booleans(), st.integers(0, 4)),
    min_size=1,
    max_size=20,
)


@given(_STEPS)
# The peer heard the third heartbeat of the process before, and none since.
@example(
    [_Step(False, True, 0)] * 3
    + [_Step(True, False, 0), _Step(False, False, 0), _Step(False, False, 0)]
)
def test_echo_of_a_heartbeat_that_was_heard(steps: list[_Step]) -> None:
    """A peer is known to be no older than what it has really heard."""
    clock = ManualClock()
    own = HeartbeatTracker(clock)
    peer = HeartbeatTracker(clock)
    sent_by_peer: list[Heartbeat] = []
    last_heard = float('-inf')
    for step in steps:
        clock.advance(1.0)
        if step.restarts:
            own = HeartbeatTracker(clock)
            last_heard = float('-inf')
        number = own.start_round()
        if step.hears:
            peer.receive(_OWN, _make_heartbeat(number, 0))
            last_heard = clock.now()
        sent_by_peer.append(
            _make_heartbeat(peer.start_round(), peer.find_echo(_OWN))
        )
        index = max(0, len(sent_by_peer) - 1 - step.age)
        received = own.receive(_PEER, sent_by_peer[index])
        assert received.last_echoed <= last_heard
