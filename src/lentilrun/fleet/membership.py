"""Joining and leaving the fleet, and removal of failed members."""

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

_CHECK_INTERVAL_S = 0.5
_MIN_RETRY_DELAY_S = 0.05
_REMOVAL_TIMEOUT_S = 5.0
_START_GRACE_S = 6.0


class MembershipManager:
    """Keeps this daemon a member, and removes members that failed."""

    def __init__(
        self, state: FleetState, mesh: Mesh, agreement: Agreement
    ) -> None:
        self._state = state
        self._mesh = mesh
        self._agreement = agreement
        self._started_at = state.clock.now()
        self._random = random.Random(state.incarnation)
        state.roster_callbacks.append(self.connect_members)

    def connect_members(self, roster: Roster) -> None:
        """Connect to all members and configured peers, and to no others."""
        addresses = dict(self._state.settings.peers)
        for member in roster.members:
            addresses[member.name] = parse_address(member.address)
        addresses.pop(self._state.name, None)
        for name in self._mesh.list_peers():
            if name not in addresses:
                self._mesh.disconnect(name)
                self._state.heartbeats.remove_peer(name)
        for name, address in addresses.items():
            self._mesh.connect(name, address)

    async def run(self) -> None:
        """Join, and remove failed members, until cancelled."""
        while True:
            is_settled = await self._make_due_change()
            await asyncio.sleep(
                _CHECK_INTERVAL_S if is_settled else self._pick_retry_delay()
            )

    def _pick_retry_delay(self) -> float:
        """Return a delay in seconds.

        It is random, so that daemons whose joins conflicted retry at
        different times.
        """
        return self._random.uniform(
            _MIN_RETRY_DELAY_S, 4.0 * _MIN_RETRY_DELAY_S
        )

    async def _make_due_change(self) -> bool:
        """Make a change if one is due; return false if that failed."""
        state = self._state
        if state.leaving or not state.freshness.has_recent_table_read():
            return True
        registered = state.roster.find(state.name)
        if registered != state.make_member():
            joined = state.roster.add(state.make_member())
            return await self._change_roster('join', joined)
        failed_name = self._find_member_to_remove()
        if failed_name is not None:
            return await self._change_roster(
                'remove', state.roster.remove(failed_name)
            )
        return True

    def _find_member_to_remove(self) -> str | None:
        state = self._state
        if state.clock.now() - self._started_at < _START_GRACE_S:
            return None
        unresponsive = [
            name
            for name in sorted(state.roster.names())
            if name != state.name
            and state.heartbeats.is_unresponsive(name, _REMOVAL_TIMEOUT_S)
        ]
        responsive = state.roster.names() - set(unresponsive)
        if unresponsive and state.name == min(responsive):
            return unresponsive[0]
        return None

    async def _change_roster(self, verb: str, roster: Roster) -> bool:
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
        """Give up all units and leave, if the table was read recently."""
        state = self._state
        state.leaving = True
        state.respondent.retire()
        if state.freshness.has_recent_table_read():
            roster = state.roster.remove(state.name)
            await self._change_roster('leave', roster)


__all__ = ['MembershipManager']
