"""How long messages of another VM were on their way, by its own clock.

Two VMs have no common clock. But the shortest time that any of the last
messages seemed to take is about that of an undelayed one, so what another
one took longer is its delay: it waited at a VM that stood still, or for a
link. The ages of what it reports are then too small.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from .messages import AnnouncementReport
from .messages import delay_progress
from .messages import RateLimitReport

if TYPE_CHECKING:
    from .messages import GossipMessage

# The shortest way of this time and of that before counts, so that a clock
# that was set anew matters for at most twice as long.
_WINDOW_S = 5.0

_Report = TypeVar('_Report', AnnouncementReport, RateLimitReport)


class MessageDelays:
    """The messages of one process of a VM; times in seconds."""

    def __init__(self) -> None:
        self._newest_sent_at = float('-inf')
        self._window_began_at = float('-inf')
        # Readings of this VM's clock less those of the sender's.
        self._shortest = float('inf')
        self._shortest_before = float('inf')

    def record(self, sent_at: float, now: float) -> float | None:
        """Return the delay of a message that was sent and arrives now.

        Return nothing if a newer one has arrived before.
        """
        if sent_at < self._newest_sent_at:
            return None
        self._newest_sent_at = sent_at
        if now - self._window_began_at > _WINDOW_S:
            self._window_began_at = now
            self._shortest_before = self._shortest
            self._shortest = float('inf')
        way = now - sent_at
        self._shortest = min(self._shortest, way)
        return way - min(self._shortest, self._shortest_before)


def add_delay(message: GossipMessage, delay: float) -> GossipMessage:
    """Return a message that was sent earlier by its delay.

    Its limits, its announcements and what it states of the store are older
    then. The next message replaces the other ages.
    """
    return msgspec.structs.replace(
        message,
        announcements=_add_to_ages(message.announcements, delay),
        rate_limits=_add_to_ages(message.rate_limits, delay),
        row_versions=delay_progress(message.row_versions, delay),
    )


def _add_to_ages(reports: list[_Report], delay: float) -> list[_Report]:
    return [msgspec.structs.replace(r, age=r.age + delay) for r in reports]


__all__ = ['add_delay', 'MessageDelays']
