"""Reports that go into a VM's messages for about a second.

A hub adds each report that it receives to its own messages once, for the
same time.
"""

from __future__ import annotations

import enum
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock

ItemT = TypeVar('ItemT')
_Key = TypeVar('_Key')
_Entry = TypeVar('_Entry')

# Messages may be lost, so each report goes into at least two or three.
_REPORT_TTL_S = 1.1
# Keeps messages small: the oldest reports are left out.
_MAX_REPORTS = 150


def discard_expired(
    entries: dict[_Key, _Entry], is_expired: Callable[[_Entry], bool]
) -> None:
    """Remove expired entries from a dictionary, whose oldest are first."""
    while entries:
        key = next(iter(entries))
        if not is_expired(entries[key]):
            return
        del entries[key]


class Origin(enum.IntEnum):
    """Where a report comes from: this VM, its data centre or another."""

    OWN = 0
    LOCAL = 1
    REMOTE = 2


class RecentReports(Generic[ItemT]):
    """Reports by age; one that is received again counts once."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._added: dict[ItemT, tuple[float, Origin]] = {}

    def add(self, item: ItemT, origin: Origin) -> bool:
        """Add a report; return whether it is new or had expired."""
        self._discard_expired()
        if item in self._added:
            return False
        self._added[item] = (self._clock.now(), origin)
        return True

    def export(self, max_origin: Origin) -> list[ItemT]:
        """Return the newest reports of origins up to ``max_origin``."""
        self._discard_expired()
        items = [i for i, (_, o) in self._added.items() if o <= max_origin]
        return items[-_MAX_REPORTS:]

    def _discard_expired(self) -> None:
        oldest = self._clock.now() - _REPORT_TTL_S
        discard_expired(self._added, lambda entry: entry[0] <= oldest)


__all__ = ['discard_expired', 'Origin', 'RecentReports']
