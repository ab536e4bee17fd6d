"""Heartbeats between the daemons, and what follows from them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..coordination.heartbeat import Heartbeat
from ..coordination.heartbeat import HEARTBEAT_INTERVAL_S
from ..coordination.topics import Fetch

if TYPE_CHECKING:
    from ..peers.codec import Sender
    from ..peers.mesh import Mesh
    from .state import FleetState

_FETCH_PAUSE = 0.2


class HeartbeatExchange:
    """Sends beats to all peers and reads theirs."""

    def __init__(self, state: FleetState, mesh: Mesh) -> None:
        self._state = state
        self._mesh = mesh
        self._fetched: dict[str, float] = {}
        self.restarted_peers: set[str] = set()

    async def run(self) -> None:
        """Beat for ever."""
        while True:
            self.send()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def send(self) -> None:
        """Send one round of beats to all peers."""
        self._send_to(self._mesh.list_peers())

    def _send_to(self, names: list[str]) -> None:
        state = self._state
        number = state.heartbeats.start_round()
        fresh = state.is_fresh()
        generations = {n: t.value.generation for n, t in state.topics.items()}
        pending = {
            n: t.newest_pending_generation() for n, t in state.topics.items()
        }
        for name in names:
            beat = Heartbeat(
                number,
                state.heartbeats.find_echo(name),
                state.incarnation,
                generations,
                pending,
                fresh or state.was_fresh,
                state.leaving,
            )
            self._mesh.send(name, beat)

    def receive(self, beat: Heartbeat, sender: Sender) -> None:
        """Take in a beat of a peer."""
        state = self._state
        before = state.heartbeats.peers.get(sender.name)
        peer = state.heartbeats.receive(sender.name, beat)
        if before is None or before.heartbeat.incarnation != beat.incarnation:
            self.restarted_peers.add(sender.name)
            # A peer that starts need not wait for the next round.
            self._send_to([sender.name])
        for name, generation in beat.generations.items():
            state.freshness.record_peer_generation(name, generation)
        if beat.vouches:
            state.freshness.record_echo(sender.name, peer.last_echoed)
        self._fetch_newer(beat, sender)

    def _fetch_newer(self, beat: Heartbeat, sender: Sender) -> None:
        now = self._state.clock.now()
        for name, topic in self._state.topics.items():
            known = topic.value.generation
            announced = max(known, topic.newest_pending_generation())
            told = beat.generations.get(name, 0)
            doubtful = beat.pending.get(name, 0)
            if told <= known and doubtful <= announced:
                continue
            if now - self._fetched.get(name, 0.0) >= _FETCH_PAUSE:
                self._fetched[name] = now
                self._mesh.send(sender.name, Fetch(name))


__all__ = ['HeartbeatExchange']
