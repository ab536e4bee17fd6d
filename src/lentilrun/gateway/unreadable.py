"""Messages that can't be read, and the addresses that send them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from .logs import Log
    from .messages import BadMessageError

# An address counts, and is not logged again, for this time.
_SENDER_TTL_S = 10.0
_MAX_SENDERS = 64


class UnreadableMessages:
    """Counts unreadable messages; logs each sender once in a while.

    Senders may be VMs of a build whose messages this one can't read. Beyond
    a number of senders, others count as messages only.
    """

    def __init__(self, clock: Clock, log: Log) -> None:
        self._clock = clock
        self._log = log
        self._logged_at: dict[str, float] = {}
        self._received_at: dict[str, float] = {}
        self.count = 0

    def record(self, sender: str, error: BadMessageError) -> None:
        """Count a message from the host ``sender``, and log it if due."""
        now = self._clock.now()
        self.count += 1
        self._forget_old(now)
        if sender not in self._received_at:
            if len(self._received_at) >= _MAX_SENDERS:
                return
            self._logged_at[sender] = float('-inf')
        self._received_at[sender] = now
        if now - self._logged_at[sender] < _SENDER_TTL_S:
            return
        self._logged_at[sender] = now
        self._log.write(
            'peer_message_unreadable',
            sender=sender or None,
            count=self.count,
            error=error,
        )

    def count_senders(self) -> int:
        """Return the hosts that lately sent a message that is unreadable."""
        self._forget_old(self._clock.now())
        return len(self._received_at)

    def _forget_old(self, now: float) -> None:
        old = [
            s for s, t in self._received_at.items() if now - t > _SENDER_TTL_S
        ]
        for sender in old:
            del self._received_at[sender]
            del self._logged_at[sender]


__all__ = ['UnreadableMessages']
