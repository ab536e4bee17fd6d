"""Failure detection by heartbeats that echo each other.

A heartbeat carries the number of the newest heartbeat received from the
peer. The time at which that one was sent bounds the age of the content,
so a heartbeat that was delayed on the way does not count as current.
"""

from __future__ import annotations

import collections
import secrets
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .clock import Clock

HEARTBEAT_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 2.0
_MAX_REMEMBERED_ROUNDS = 64
_FIRST_NUMBER_BITS = 48


class Heartbeat(NamedTuple):
    """A heartbeat from one member to another.

    ``echo`` is the number of the newest heartbeat received from the
    other member, or 0. ``generations`` and ``pending`` give, by topic,
    the newest committed and announced generation known to the sender.
    ``vouches`` is false until the sender has itself been fresh.
    """

    number: int
    echo: int
    incarnation: str
    generations: dict[str, int]
    pending: dict[str, int]
    vouches: bool
    leaving: bool


class Peer(NamedTuple):
    """The newest heartbeat of a peer.

    ``last_received`` is when it arrived; ``last_echoed`` is when the
    newest heartbeat that the peer echoed was sent, both in seconds.
    """

    heartbeat: Heartbeat
    last_received: float
    last_echoed: float


class HeartbeatTracker:
    """Numbers outgoing heartbeats and records incoming ones.

    Each process begins at a random number: a peer may still echo the last
    heartbeat that it received from the process before.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_round = secrets.randbits(_FIRST_NUMBER_BITS)
        self._round_times: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._newest_numbers: dict[str, int] = {}
        self.peers: dict[str, Peer] = {}

    def start_round(self) -> int:
        """Return the number of a new round of heartbeats."""
        self._last_round += 1
        self._round_times[self._last_round] = self._clock.now()
        while len(self._round_times) > _MAX_REMEMBERED_ROUNDS:
            self._round_times.popitem(last=False)
        return self._last_round

    def find_echo(self, peer: str) -> int:
        """Return the number to echo to a peer, or 0."""
        return self._newest_numbers.get(peer, 0)

    def receive(self, peer: str, heartbeat: Heartbeat) -> Peer:
        """Record a heartbeat; its echo bounds how old its content is."""
        previous = self.peers.get(peer)
        echoed = self._round_times.get(heartbeat.echo, float('-inf'))
        if (
            previous is not None
            and heartbeat.incarnation == previous.heartbeat.incarnation
        ):
            echoed = max(echoed, previous.last_echoed)
        updated = Peer(heartbeat, self._clock.now(), echoed)
        self._newest_numbers[peer] = heartbeat.number
        self.peers[peer] = updated
        return updated

    def is_unresponsive(
        self, peer: str, timeout_s: float = PEER_TIMEOUT_S
    ) -> bool:
        """Return whether a peer sent no heartbeat for ``timeout_s``."""
        state = self.peers.get(peer)
        return (
            state is None
            or self._clock.now() - state.last_received > timeout_s
        )

    def remove_peer(self, peer: str) -> None:
        """Remove a peer that is no longer a member."""
        self.peers.pop(peer, None)
        self._newest_numbers.pop(peer, None)


__all__ = [
    'Heartbeat',
    'HEARTBEAT_INTERVAL_S',
    'HeartbeatTracker',
    'Peer',
    'PEER_TIMEOUT_S',
]
