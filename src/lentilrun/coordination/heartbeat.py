"""Heartbeats that echo each other, so that a late one proves nothing."""

from __future__ import annotations

import collections
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .clock import Clock

HEARTBEAT_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 2.0
_REMEMBERED = 64


class Heartbeat(NamedTuple):
    """A heartbeat from one member to another.

    ``echo`` is the number of the newest beat that came the other way.
    ``generations`` and ``pending`` give, by topic, the newest committed
    and announced generation known to the sender. ``vouches`` is false
    until the sender has itself been fresh.
    """

    number: int
    echo: int
    incarnation: str
    generations: dict[str, int]
    pending: dict[str, int]
    vouches: bool
    leaving: bool


class Peer(NamedTuple):
    """What the newest beat of a peer said, and when it came."""

    heartbeat: Heartbeat
    last_received: float
    last_echoed: float


class HeartbeatTracker:
    """Numbers outgoing beats and reads incoming ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._number = 0
        self._sent: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._newest: dict[str, int] = {}
        self.peers: dict[str, Peer] = {}

    def start_round(self) -> int:
        """Return the number of the next round of beats."""
        self._number += 1
        self._sent[self._number] = self._clock.now()
        while len(self._sent) > _REMEMBERED:
            self._sent.popitem(last=False)
        return self._number

    def find_echo(self, peer: str) -> int:
        """Return the number to echo to a peer, or 0."""
        return self._newest.get(peer, 0)

    def receive(self, peer: str, beat: Heartbeat) -> Peer:
        """Take in a beat; its echo tells when it was still true."""
        before = self.peers.get(peer)
        echoed = self._sent.get(beat.echo, float('-inf'))
        if (
            before is not None
            and beat.incarnation == before.heartbeat.incarnation
        ):
            echoed = max(echoed, before.last_echoed)
        found = Peer(beat, self._clock.now(), echoed)
        self._newest[peer] = beat.number
        self.peers[peer] = found
        return found

    def is_unresponsive(
        self, peer: str, limit: float = PEER_TIMEOUT_S
    ) -> bool:
        """Return whether nothing came from a peer for ``limit`` seconds."""
        found = self.peers.get(peer)
        return found is None or self._clock.now() - found.last_received > limit

    def remove_peer(self, peer: str) -> None:
        """Forget a peer that is no longer a member."""
        self.peers.pop(peer, None)
        self._newest.pop(peer, None)


__all__ = [
    'Heartbeat',
    'HEARTBEAT_INTERVAL_S',
    'HeartbeatTracker',
    'Peer',
    'PEER_TIMEOUT_S',
]
