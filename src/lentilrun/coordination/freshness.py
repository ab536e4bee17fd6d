"""Whether the agreed values that a process holds are current.

A process is fresh, and may act on the values that it holds, if it read
the table recently or if heartbeats from a majority of the members
confirm that there are no newer values. A change is announced to a
majority before it is committed, so any majority includes a member that
received the announcement.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .clock import Clock

FRESHNESS_LIMIT_S = 3.0


def count_majority(members: int) -> int:
    """Return how many of ``members`` are a majority."""
    return members // 2 + 1


class Freshness:
    """Tracks the age of table reads and of heartbeats from members."""

    def __init__(
        self, clock: Clock, name: str, limit_s: float = FRESHNESS_LIMIT_S
    ) -> None:
        """Track for the member ``name``.

        Table reads and echoes count for ``limit_s`` seconds.
        """
        self._clock = clock
        self._name = name
        self._limit_s = limit_s
        self._members: frozenset[str] = frozenset()
        self._last_table_read_started = float('-inf')
        self._echo_times: dict[str, float] = {}
        self._own_generations: dict[str, int] = {}
        self._peer_generations: dict[str, int] = {}

    def set_members(self, members: frozenset[str]) -> None:
        """Set the members of the newest agreed roster."""
        self._members = members
        for name in self._echo_times.keys() - members:
            del self._echo_times[name]

    def record_table_read(self, started: float) -> None:
        """Record a read of the table that began at ``started``."""
        self._last_table_read_started = max(
            self._last_table_read_started, started
        )

    def record_echo(self, peer: str, sent: float) -> None:
        """Record that a peer vouches and echoed a heartbeat sent at ``sent``.

        ``sent`` is when this member sent the heartbeat that was echoed.
        """
        self._echo_times[peer] = max(sent, self._echo_times.get(peer, sent))

    def record_own_generation(self, topic: str, generation: int) -> None:
        """Record the generation of a topic that this process acts on."""
        newest = self._own_generations.get(topic, 0)
        self._own_generations[topic] = max(newest, generation)

    def record_peer_generation(self, topic: str, generation: int) -> None:
        """Record a committed generation that a peer reported."""
        newest = self._peer_generations.get(topic, 0)
        self._peer_generations[topic] = max(newest, generation)

    def is_behind(self) -> bool:
        """Return whether a peer reported a newer generation of a topic."""
        own = self._own_generations
        return any(
            g > own.get(t, 0) for t, g in self._peer_generations.items()
        )

    def count_vouching_members(self) -> int:
        """Return how many members vouch now, including this one."""
        oldest = self._clock.now() - self._limit_s
        vouching_peers = sum(
            1
            for name, sent in self._echo_times.items()
            if sent >= oldest and name in self._members and name != self._name
        )
        return vouching_peers + (self._name in self._members)

    def has_recent_table_read(self) -> bool:
        """Return whether the newest read of the table is within the limit."""
        return (
            self._clock.now() - self._last_table_read_started <= self._limit_s
        )

    def has_majority(self) -> bool:
        """Return whether a majority of the members vouches."""
        needed = count_majority(len(self._members))
        return bool(self._members) and self.count_vouching_members() >= needed

    def is_fresh(self) -> bool:
        """Return whether this process may act on the values it holds."""
        if self.is_behind():
            return False
        return self.has_recent_table_read() or self.has_majority()


__all__ = ['count_majority', 'Freshness', 'FRESHNESS_LIMIT_S']
