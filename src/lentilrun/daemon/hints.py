"""What a starting daemon takes from its peers, so that it starts warm."""

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

_MOST = 50_000
_CHUNK = 5_000
_TRIES = 10
_PAUSE = 0.2
_WANTED_ANSWERS = 2


class HintExchange:
    """Gives and takes placements, suspects and verdicts."""

    def __init__(
        self,
        mesh: Mesh,
        known: placements.PlacementMap,
        suspects: SuspectTracker,
        moves: MoveTracker,
    ) -> None:
        self._mesh = mesh
        self._known = known
        self._suspects = suspects
        self._moves = moves
        self._answered: set[str] = set()
        self._asked: set[str] = set()
        self.is_done = False

    async def run(self) -> None:
        """Ask peers until two gave what they know, or none is there."""
        try:
            await self._collect()
        finally:
            self.is_done = True

    async def _collect(self) -> None:
        for _ in range(_TRIES):
            for name in self._mesh.list_peers():
                if len(self._asked) >= _WANTED_ANSWERS:
                    break
                wanted = HintsRequest(_MOST)
                if name not in self._asked and self._mesh.send(name, wanted):
                    self._asked.add(name)
            if self._asked and self._answered >= self._asked:
                return
            await asyncio.sleep(_PAUSE)

    def receive_request(self, message: HintsRequest, sender: Sender) -> None:
        """Tell a starting peer what is known here."""
        for fingerprint, crashes in self._suspects.list_suspects():
            for target, incarnation in crashes:
                suspicion = Suspicion(fingerprint, target, incarnation, 0)
                self._mesh.send(sender.name, suspicion)
        for (model, version), reason in self._moves.list_bans().items():
            self._mesh.send(sender.name, Verdict(model, version, reason))
        found = self._known.list_recent(min(message.max_placements, _MOST))
        for start in range(0, max(1, len(found)), _CHUNK):
            chunk = PlacementHints(found[start : start + _CHUNK])
            self._mesh.send(sender.name, chunk)

    def receive_hints(self, message: PlacementHints, sender: Sender) -> None:
        """Take placements; they hold if the target is still the same."""
        self._answered.add(sender.name)
        for found in message.placements:
            holder = BlockHolder(found.incarnation, found.weights_version)
            if self._known.current_holder(found.target) is None:
                self._known.set_current_holder(found.target, holder)
            self._known.add(found.block, found.target, holder)

    def receive_suspicion(self, message: Suspicion, sender: Sender) -> None:
        """Note a request that a peer saw at a crash."""
        self._suspects.record_crash(message)


__all__ = ['HintExchange']
