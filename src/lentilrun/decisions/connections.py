"""How many connections a process keeps, and which to close first."""

from __future__ import annotations

import collections
from typing import Generic
from typing import NamedTuple
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Iterator

# Descriptors that the operators reserve for files.
_FILE_DESCRIPTORS = 200
# The process's own: listening sockets, store, idle connections to targets.
_OWN_DESCRIPTORS = 40
# Each of the ports for readiness and metrics.
_SERVICE_CONNECTIONS = 16
# Of the calls' connections, those that other VMs may use.
_FORWARDING_SHARE = 0.2
_MIN_CONNECTIONS = 8
# A connection that is new, or on which something was received, is kept for
# this time, so that connections in a burst do not close each other.
_MIN_QUIET_S = 0.5

Key = TypeVar('Key', bound='Hashable')


class ConnectionPlan(NamedTuple):
    """The most connections that each port keeps."""

    callers: int
    forwarding: int
    service: int

    def is_minimal(self) -> bool:
        """Return whether the descriptors allow hardly any calls."""
        return self.callers <= _MIN_CONNECTIONS


def plan_connections(descriptors: int) -> ConnectionPlan:
    """Return the plan for a process with so many descriptors.

    A call has a connection of its caller and one to its target, so that
    callers get half of what is left.
    """
    usable = (
        descriptors
        - _FILE_DESCRIPTORS
        - _OWN_DESCRIPTORS
        - 2 * _SERVICE_CONNECTIONS
    )
    calls = max(2 * _MIN_CONNECTIONS, usable // 2)
    forwarding = max(_MIN_CONNECTIONS, int(calls * _FORWARDING_SHARE))
    return ConnectionPlan(calls - forwarding, forwarding, _SERVICE_CONNECTIONS)


class ConnectionTable(Generic[Key]):
    """The connections of a port, by the address at the other end.

    A connection may be closed unless its request was received whole.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._addresses: dict[Key, str] = {}
        # Since when connections that may be closed have made no progress, the
        # earliest first.
        self._closable: dict[str, dict[Key, float]] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._addresses)

    def is_full(self) -> bool:
        """Return whether another connection needs one to be closed."""
        return len(self._addresses) >= self.limit

    def __iter__(self) -> Iterator[Key]:
        return iter(self._addresses)

    def add(self, key: Key, address: str, now: float) -> None:
        """Add a connection, which may be closed."""
        self._addresses[key] = address
        self._counts[address] += 1
        self._closable.setdefault(address, {})[key] = now

    def remove(self, key: Key) -> None:
        """Remove a connection that was closed, if it is known."""
        address = self._addresses.pop(key, None)
        if address is None:
            return
        self._remove_closable(key, address)
        self._counts[address] -= 1
        if not self._counts[address]:
            del self._counts[address]

    def _remove_closable(self, key: Key, address: str) -> None:
        keys = self._closable.get(address)
        if keys is None:
            return
        keys.pop(key, None)
        if not keys:
            del self._closable[address]

    def mark_busy(self, key: Key) -> None:
        """Keep a connection: a request was received whole."""
        address = self._addresses.get(key)
        if address is not None:
            self._remove_closable(key, address)

    def is_closable(self, key: Key) -> bool:
        """Return whether a connection may be closed."""
        address = self._addresses.get(key)
        return address is not None and key in self._closable.get(address, {})

    def mark_progress(self, key: Key, now: float) -> None:
        """Let a connection be closed, after those that may be by now."""
        address = self._addresses.get(key)
        if address is None:
            return
        keys = self._closable.setdefault(address, {})
        keys.pop(key, None)
        keys[key] = now

    def pick_closable(self, now: float) -> Key | None:
        """Return the connection to close first, if any may be closed."""
        return next(self.list_closable(now), None)

    def list_closable(self, now: float) -> Iterator[Key]:
        """Yield the connections that may be closed, in this order.

        The first are of the address with most connections that has any to
        close. The table must not change meanwhile.
        """
        by_count = sorted(
            self._closable, key=lambda a: self._counts[a], reverse=True
        )
        for address in by_count:
            for key, since in self._closable[address].items():
                if now - since < _MIN_QUIET_S:
                    break
                yield key


__all__ = ['ConnectionPlan', 'ConnectionTable', 'plan_connections']
