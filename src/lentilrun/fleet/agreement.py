"""Changes of agreed values: announcement, commit and distribution."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..coordination import membership
from ..coordination.quorum import Quorum
from ..coordination.topics import Acknowledge
from ..coordination.topics import Announce
from ..coordination.topics import Commit
from ..coordination.topics import Committed
from ..coordination.topics import Fetch
from ..coordination.topics import OutcomeUnknownError
from ..coordination.topics import Withdraw
from ..errors import LentilrunError
from .state import MEMBERS_TOPIC

if TYPE_CHECKING:
    from ..coordination.topics import Topic
    from ..coordination.topics import TopicValue
    from ..peers.codec import Sender
    from ..peers.mesh import Mesh
    from .state import FleetState

_CONFIRM_POLL_S = 0.02
# The removal of a member whose last heartbeat is more recent is refused.
_MIN_UNRESPONSIVE_S = 3.0


class Agreement:
    """Makes changes of agreed values, and answers those of peers."""

    def __init__(self, state: FleetState, mesh: Mesh) -> None:
        self._state = state
        self._mesh = mesh
        self._quorums: dict[str, Quorum] = {}
        # VMs that the platform lists as removed; they can't vote any more.
        self.removed_vms: frozenset[str] = frozenset()

    async def change(
        self, topic: Topic, operation: str, announce: Announce
    ) -> TopicValue:
        """Make an announced change; return the committed value.

        Raises ``MajorityMissingError`` or ``ConflictError`` if it was
        not made, ``OutcomeUnknownError`` if it may have been made.
        """
        voters = self._state.roster.names() - self.removed_vms
        quorum = Quorum(operation, voters)
        self._quorums[operation] = quorum
        topic.add_pending(announce)
        quorum.record_answer(
            self._state.name, Acknowledge(topic.name, operation, '')
        )
        try:
            self._mesh.broadcast(announce)
            await quorum.wait(lambda names: self._resend(names, announce))
            value = await topic.commit(operation, announce.value)
        except OutcomeUnknownError:
            raise
        except LentilrunError:
            topic.withdraw(operation)
            self._mesh.broadcast(Withdraw(topic.name, operation))
            raise
        finally:
            del self._quorums[operation]
        topic.adopt(value)
        self._mesh.broadcast(
            Committed(topic.name, operation, value.generation)
        )
        return value

    def _resend(self, names: frozenset[str], announce: Announce) -> None:
        for name in sorted(names):
            self._mesh.send(name, announce)

    async def wait_in_force(
        self, topic: str, generation: int, timeout: float
    ) -> tuple[str, ...]:
        """Wait up to ``timeout`` seconds for members to reach a generation.

        Returns the names of the members that have not reached it.
        """
        clock = self._state.clock
        ends_at = clock.now() + timeout
        behind = self._list_members_behind(topic, generation)
        while behind and clock.now() < ends_at:
            await asyncio.sleep(_CONFIRM_POLL_S)
            behind = self._list_members_behind(topic, generation)
        return behind

    def _list_members_behind(
        self, topic: str, generation: int
    ) -> tuple[str, ...]:
        behind = []
        for name in sorted(self._state.roster.names()):
            peer = self._state.heartbeats.peers.get(name)
            if name == self._state.name:
                newest = self._state.topics[topic].value.generation
            else:
                newest = (
                    peer.heartbeat.generations.get(topic, 0) if peer else 0
                )
            if newest < generation:
                behind.append(name)
        return tuple(behind)

    def receive_announce(self, message: Announce, sender: Sender) -> None:
        """Record an announced change and acknowledge or refuse it."""
        topic = self._state.topics.get(message.topic)
        if topic is None:
            return
        refusal = self._find_refusal(topic, message)
        if not refusal:
            topic.add_pending(message)
            self._state.update_rate_limits()
        answer = Acknowledge(message.topic, message.operation, refusal)
        self._mesh.send(sender.name, answer)

    def _find_refusal(self, topic: Topic, message: Announce) -> str:
        if message.value.generation <= topic.value.generation:
            return 'the generation is past'
        if topic.name != MEMBERS_TOPIC:
            return ''
        roster = membership.decode(message.value.body)
        for name in self._state.roster.names() - roster.names():
            is_unresponsive = self._state.heartbeats.is_unresponsive(
                name, _MIN_UNRESPONSIVE_S
            )
            leave_prefix = f'leave/{name}/'
            is_leaving = message.operation.startswith(leave_prefix)
            if not is_leaving and (
                not is_unresponsive or name == self._state.name
            ):
                return f'{name} is alive'
        return ''

    def receive_acknowledge(
        self, message: Acknowledge, sender: Sender
    ) -> None:
        """Count an answer to a change made by this daemon."""
        quorum = self._quorums.get(message.operation)
        if quorum is not None:
            quorum.record_answer(sender.name, message)

    def receive_withdraw(self, message: Withdraw, sender: Sender) -> None:
        """Discard a change that was not committed."""
        topic = self._state.topics.get(message.topic)
        if topic is not None:
            topic.withdraw(message.operation)
            self._state.update_rate_limits()

    def receive_commit(self, message: Commit, sender: Sender) -> None:
        """Adopt a committed value."""
        topic = self._state.topics.get(message.topic)
        if topic is not None:
            topic.adopt(message.value)

    def receive_committed(self, message: Committed, sender: Sender) -> None:
        """Adopt a change announced earlier, or fetch its value."""
        topic = self._state.topics.get(message.topic)
        if topic is not None and not topic.adopt_announced(message):
            self._mesh.send(sender.name, Fetch(topic.name))

    def receive_fetch(self, message: Fetch, sender: Sender) -> None:
        """Send the newest committed and announced values."""
        topic = self._state.topics.get(message.topic)
        if topic is None:
            return
        if topic.value.generation:
            commit = Commit(topic.name, topic.value)
            self._mesh.send(sender.name, commit)
        for announce in topic.list_pending():
            self._mesh.send(sender.name, announce)


__all__ = ['Agreement']
