"""Heartbeats between the daemons, and what follows from them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..coordination.accord import Fetch
from ..coordination.heartbeat import Beat
from ..coordination.heartbeat import INTERVAL

if TYPE_CHECKING:
    from ..peers.codec import Sender
    from ..peers.mesh import Mesh
    from .state import FleetState

_FETCH_PAUSE = 0.2


class Beats:
    """Sends beats to all peers and reads theirs."""

    def __init__(self, state: FleetState, mesh: Mesh) -> None:
        self._state = state
        self._mesh = mesh
        self._fetched: dict[str, float] = {}
        self.restarted: set[str] = set()

    async def run(self) -> None:
        """Beat for ever."""
        while True:
            self.send()
            await asyncio.sleep(INTERVAL)

    def send(self) -> None:
        """Send one round of beats to all peers."""
        self._send_to(self._mesh.names())

    def _send_to(self, names: list[str]) -> None:
        state = self._state
        number = state.heartbeats.open_round()
        fresh = state.is_fresh()
        generations = {n: t.value.generation for n, t in state.topics.items()}
        pending = {n: t.pending_generation() for n, t in state.topics.items()}
        for name in names:
            beat = Beat(
                number,
                state.heartbeats.find_echo(name),
                state.incarnation,
                generations,
                pending,
                fresh or state.was_fresh,
                state.leaving,
            )
            self._mesh.send(name, beat)

    def receive(self, beat: Beat, sender: Sender) -> None:
        """Take in a beat of a peer."""
        state = self._state
        before = state.heartbeats.peers.get(sender.name)
        peer = state.heartbeats.receive(sender.name, beat)
        if before is None or before.beat.incarnation != beat.incarnation:
            self.restarted.add(sender.name)
            # A peer that starts need not wait for the next round.
            self._send_to([sender.name])
        for name, generation in beat.generations.items():
            state.freshness.note_heard(name, generation)
        if beat.vouches:
            state.freshness.note_echo(sender.name, peer.echoed)
        self._fetch_newer(beat, sender)

    def _fetch_newer(self, beat: Beat, sender: Sender) -> None:
        now = self._state.clock.now()
        for name, topic in self._state.topics.items():
            known = topic.value.generation
            announced = max(known, topic.pending_generation())
            told = beat.generations.get(name, 0)
            doubtful = beat.pending.get(name, 0)
            if told <= known and doubtful <= announced:
                continue
            if now - self._fetched.get(name, 0.0) >= _FETCH_PAUSE:
                self._fetched[name] = now
                self._mesh.send(sender.name, Fetch(name))


__all__ = ['Beats']
