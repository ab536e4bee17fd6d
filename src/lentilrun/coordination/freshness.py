"""Whether a process may still act on what it knows.

A process is fresh if it read the table a short while ago, or heard from
a majority of the members that what it knows is the newest. A change is
announced to a majority before it is committed, so any majority holds a
member that knows of it.
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
    """Tracks how old the newest proof of freshness is."""

    def __init__(
        self, clock: Clock, name: str, limit: float = FRESHNESS_LIMIT_S
    ) -> None:
        """Track for the member ``name``; ``limit`` is in seconds."""
        self._clock = clock
        self._name = name
        self._limit = limit
        self._members: frozenset[str] = frozenset()
        self._table_read = float('-inf')
        self._echoes: dict[str, float] = {}
        self._known: dict[str, int] = {}
        self._heard: dict[str, int] = {}

    def set_members(self, members: frozenset[str]) -> None:
        """Set the last agreed members."""
        self._members = members
        for name in self._echoes.keys() - members:
            del self._echoes[name]

    def record_table_read(self, started: float) -> None:
        """Note a read of the table that began at ``started``."""
        self._table_read = max(self._table_read, started)

    def record_echo(self, peer: str, sent: float) -> None:
        """Note that a peer vouched after a beat sent to it at ``sent``."""
        self._echoes[peer] = max(sent, self._echoes.get(peer, sent))

    def record_own_generation(self, topic: str, generation: int) -> None:
        """Note the generation of a topic that this process acts on."""
        known = self._known.get(topic, 0)
        self._known[topic] = max(known, generation)

    def record_peer_generation(self, topic: str, generation: int) -> None:
        """Note a committed generation that a peer told of."""
        heard = self._heard.get(topic, 0)
        self._heard[topic] = max(heard, generation)

    def is_behind(self) -> bool:
        """Return whether a newer generation is known to exist."""
        known = self._known
        return any(g > known.get(t, 0) for t, g in self._heard.items())

    def count_vouching_members(self) -> int:
        """Return how many members vouch now, this one included."""
        oldest = self._clock.now() - self._limit
        heard = sum(
            1
            for name, sent in self._echoes.items()
            if sent >= oldest and name in self._members and name != self._name
        )
        return heard + (self._name in self._members)

    def has_recent_table_read(self) -> bool:
        """Return whether the table was read a short while ago."""
        return self._clock.now() - self._table_read <= self._limit

    def has_majority(self) -> bool:
        """Return whether a majority of the members vouches."""
        needed = count_majority(len(self._members))
        return bool(self._members) and self.count_vouching_members() >= needed

    def is_fresh(self) -> bool:
        """Return whether what is known may be acted on now."""
        if self.is_behind():
            return False
        return self.has_recent_table_read() or self.has_majority()


__all__ = ['count_majority', 'Freshness', 'FRESHNESS_LIMIT_S']
