"""The VMs that a starting process sends its messages to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

    from ..coordination.clock import Clock
    from ..decisions.topology import Member

# For this time after its start, a process adopts the usage that peers
# report, and sends to all VMs that it has found, so that they add it.
STARTING_S = 3.0
# A starting process sends to VMs of other data centres that are no hubs at
# this interval. They only need to know that it is there, and in a fleet that
# starts as a whole each VM would send to all others four times a second.
_REMOTE_INTERVAL_S = 1.0


class Greetings:
    """When this process last sent to each VM as it started."""

    def __init__(self, data_centre: str, clock: Clock) -> None:
        """Start ``STARTING_S`` now, in a VM of the data centre."""
        self._data_centre = data_centre
        self._clock = clock
        self._started_at = clock.now()
        self._greeted_at: dict[str, float] = {}

    def is_starting(self) -> bool:
        """Return whether this process started within ``STARTING_S``."""
        return self._clock.now() - self._started_at < STARTING_S

    def list_due(
        self, members: Iterable[Member], hubs: Container[str]
    ) -> list[str]:
        """Return the VMs of a large fleet to send a message to now."""
        due_before = self._clock.now() - _REMOTE_INTERVAL_S
        return [
            m.name
            for m in members
            if m.name in hubs
            or m.data_centre == self._data_centre
            or self._greeted_at.get(m.name, float('-inf')) <= due_before
        ]

    def record(self, names: Iterable[str]) -> None:
        """Record that a message is sent to some VMs now."""
        now = self._clock.now()
        self._greeted_at.update(dict.fromkeys(names, now))


__all__ = ['STARTING_S', 'Greetings']
