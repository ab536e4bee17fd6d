"""Joining the members, leaving them, and removing those that died."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import TYPE_CHECKING

from ..config.ini import parse_address
from ..coordination import membership
from ..errors import LentilrunError
from .state import MEMBERS_TOPIC

if TYPE_CHECKING:
    from ..coordination.membership import Roster
    from ..peers.mesh import Mesh
    from .agreement import Agreement
    from .state import FleetState

_PAUSE = 0.5
_RACE_PAUSE = 0.05
_REMOVAL_SILENCE = 5.0
_START_GRACE = 6.0


class MembershipManager:
    """Keeps this daemon among the members, and the dead out."""

    def __init__(
        self, state: FleetState, mesh: Mesh, agreement: Agreement
    ) -> None:
        self._state = state
        self._mesh = mesh
        self._agreement = agreement
        self._started = state.clock.now()
        self._random = random.Random(state.incarnation)
        state.roster_callbacks.append(self.connect_members)

    def connect_members(self, roster: Roster) -> None:
        """Connect to all members, and to nobody else but the seeds."""
        wanted = dict(self._state.settings.peers)
        for member in roster.members:
            wanted[member.name] = parse_address(member.address)
        wanted.pop(self._state.name, None)
        for name in self._mesh.list_peers():
            if name not in wanted:
                self._mesh.disconnect(name)
                self._state.heartbeats.remove_peer(name)
        for name, address in wanted.items():
            self._mesh.connect(name, address)

    async def run(self) -> None:
        """Join, and remove dead members, for ever."""
        while True:
            changed = await self._step()
            await asyncio.sleep(_PAUSE if changed else self._pick_pause())

    def _pick_pause(self) -> float:
        """Return a short pause, so that racing joins part soon."""
        return self._random.uniform(_RACE_PAUSE, 4.0 * _RACE_PAUSE)

    async def _step(self) -> bool:
        """Make one change if one is due; return whether all is well."""
        state = self._state
        if state.leaving or not state.freshness.has_recent_table_read():
            return True
        found = state.roster.find(state.name)
        if found != state.make_member():
            joined = state.roster.add(state.make_member())
            return await self._change('join', joined)
        dead = self._find_dead()
        if dead is not None:
            return await self._change('remove', state.roster.remove(dead))
        return True

    def _find_dead(self) -> str | None:
        state = self._state
        if state.clock.now() - self._started < _START_GRACE:
            return None
        silent = [
            name
            for name in sorted(state.roster.names())
            if name != state.name
            and state.heartbeats.is_unresponsive(name, _REMOVAL_SILENCE)
        ]
        live = state.roster.names() - set(silent)
        if silent and state.name == min(live):
            return silent[0]
        return None

    async def _change(self, verb: str, roster: Roster) -> bool:
        topic = self._state.topics[MEMBERS_TOPIC]
        operation = f'{verb}/{self._state.name}/{secrets.token_hex(8)}'
        body = membership.encode(roster)
        announce = topic.propose(operation, body)
        try:
            await self._agreement.change(topic, operation, announce)
        except LentilrunError:
            return False
        return True

    async def leave(self) -> None:
        """Give up all units and leave the members, if that can be done."""
        state = self._state
        state.leaving = True
        state.respondent.retire()
        if state.freshness.has_recent_table_read():
            roster = state.roster.remove(state.name)
            await self._change('leave', roster)


__all__ = ['MembershipManager']
