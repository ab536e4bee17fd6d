"""Exchange of hints between daemons.

A starting daemon gets placements, suspects and verdicts from its peers, so
that it does not start without any.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..peers.messages import HintsRequest
from ..peers.messages import PlacementHints
from ..peers.messages import Suspicion
from ..peers.messages import Verdict
from ..routing.placements import BlockHolder

if TYPE_CHECKING:
    from ..entry.suspects import SuspectTracker
    from ..moves.progress import MoveTracker
    from ..peers.codec import Sender
    from ..peers.mesh import Mesh
    from ..routing import placements

_MAX_PLACEMENTS = 50_000
_PLACEMENTS_PER_MESSAGE = 5_000
_MAX_ROUNDS = 10
_ROUND_INTERVAL_S = 0.2
_MAX_ASKED_PEERS = 2


class HintExchange:
    """Sends and receives placements, suspects and verdicts."""

    def __init__(
        self,
        mesh: Mesh,
        placement_map: placements.PlacementMap,
        suspects: SuspectTracker,
        moves: MoveTracker,
    ) -> None:
        self._mesh = mesh
        self._placement_map = placement_map
        self._suspects = suspects
        self._moves = moves
        self._answered: set[str] = set()
        self._asked: set[str] = set()
        self.is_done = False

    async def run(self) -> None:
        """Request hints from at most two peers.

        Returns once all peers that were asked have answered, or after
        ``_MAX_ROUNDS`` rounds.
        """
        try:
            await self._collect()
        finally:
            self.is_done = True

    async def _collect(self) -> None:
        for _ in range(_MAX_ROUNDS):
            for name in self._mesh.list_peers():
                if len(self._asked) >= _MAX_ASKED_PEERS:
                    break
                request = HintsRequest(_MAX_PLACEMENTS)
                if name not in self._asked and self._mesh.send(name, request):
                    self._asked.add(name)
            if self._asked and self._answered >= self._asked:
                return
            await asyncio.sleep(_ROUND_INTERVAL_S)

    def receive_request(self, message: HintsRequest, sender: Sender) -> None:
        """Send this daemon's hints to a starting peer."""
        for fingerprint, crashes in self._suspects.list_suspects():
            for target, incarnation in crashes:
                suspicion = Suspicion(fingerprint, target, incarnation, 0)
                self._mesh.send(sender.name, suspicion)
        for (model, version), reason in self._moves.list_bans().items():
            self._mesh.send(sender.name, Verdict(model, version, reason))
        recent = self._placement_map.list_recent(
            min(message.max_placements, _MAX_PLACEMENTS)
        )
        for start in range(0, max(1, len(recent)), _PLACEMENTS_PER_MESSAGE):
            chunk = PlacementHints(
                recent[start : start + _PLACEMENTS_PER_MESSAGE]
            )
            self._mesh.send(sender.name, chunk)

    def receive_hints(self, message: PlacementHints, sender: Sender) -> None:
        """Add placements; only those of a target's current holder count."""
        self._answered.add(sender.name)
        for placement in message.placements:
            holder = BlockHolder(
                placement.incarnation, placement.weights_version
            )
            if self._placement_map.current_holder(placement.target) is None:
                self._placement_map.set_current_holder(
                    placement.target, holder
                )
            self._placement_map.add(placement.block, placement.target, holder)

    def receive_suspicion(self, message: Suspicion, sender: Sender) -> None:
        """Record a crash of a target that a request may have caused."""
        self._suspects.record_crash(message)


__all__ = ['HintExchange']
