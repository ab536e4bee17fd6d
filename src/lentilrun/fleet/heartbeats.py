"""Exchange of heartbeats between the daemons."""

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

_MIN_FETCH_INTERVAL_S = 0.2


class HeartbeatExchange:
    """Sends heartbeats to all peers and handles those received."""

    def __init__(self, state: FleetState, mesh: Mesh) -> None:
        self._state = state
        self._mesh = mesh
        self._fetch_times: dict[str, float] = {}
        self.restarted_peers: set[str] = set()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def send(self) -> None:
        """Send one round of heartbeats to all peers."""
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
            heartbeat = Heartbeat(
                number,
                state.heartbeats.find_echo(name),
                state.incarnation,
                generations,
                pending,
                fresh or state.was_fresh,
                state.leaving,
            )
            self._mesh.send(name, heartbeat)

    def receive(self, heartbeat: Heartbeat, sender: Sender) -> None:
        """Record a heartbeat of a peer and fetch newer values from it."""
        state = self._state
        previous = state.heartbeats.peers.get(sender.name)
        peer = state.heartbeats.receive(sender.name, heartbeat)
        if (
            previous is None
            or previous.heartbeat.incarnation != heartbeat.incarnation
        ):
            self.restarted_peers.add(sender.name)
            # A peer that restarted need not wait for the next round.
            self._send_to([sender.name])
        for name, generation in heartbeat.generations.items():
            state.freshness.record_peer_generation(name, generation)
        if heartbeat.vouches:
            state.freshness.record_echo(sender.name, peer.last_echoed)
        self._fetch_newer(heartbeat, sender)

    def _fetch_newer(self, heartbeat: Heartbeat, sender: Sender) -> None:
        now = self._state.clock.now()
        for name, topic in self._state.topics.items():
            committed = topic.value.generation
            announced = max(committed, topic.newest_pending_generation())
            peer_committed = heartbeat.generations.get(name, 0)
            peer_announced = heartbeat.pending.get(name, 0)
            if peer_committed <= committed and peer_announced <= announced:
                continue
            if now - self._fetch_times.get(name, 0.0) >= _MIN_FETCH_INTERVAL_S:
                self._fetch_times[name] = now
                self._mesh.send(sender.name, Fetch(name))


__all__ = ['HeartbeatExchange']
