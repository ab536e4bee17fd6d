"""News that a VM tells for a moment, and hands on once if it is a hub."""

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

# Messages are lost at times, so news goes into two or three of them.
_TOLD_S = 1.1
# A message stays small: older news gives way.
_MOST = 150


def discard_expired(
    entries: dict[_Key, _Entry], is_old: Callable[[_Entry], bool]
) -> None:
    """Drop the old entries of a dictionary that is ordered by age."""
    while entries:
        key = next(iter(entries))
        if not is_old(entries[key]):
            return
        del entries[key]


class Origin(enum.IntEnum):
    """Where news comes from."""

    OWN = 0
    LOCAL = 1
    REMOTE = 2


class RecentReports(Generic[ItemT]):
    """Items of news by age; an item that is told again counts once."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: dict[ItemT, tuple[float, Origin]] = {}

    def add(self, item: ItemT, origin: Origin) -> bool:
        """Take an item; return whether it was not heard lately."""
        self._forget_old()
        if item in self._heard:
            return False
        self._heard[item] = (self._clock.now(), origin)
        return True

    def export(self, furthest: Origin) -> list[ItemT]:
        """Return what is to be told of all that is no further away."""
        self._forget_old()
        found = [i for i, (_, o) in self._heard.items() if o <= furthest]
        return found[-_MOST:]

    def _forget_old(self) -> None:
        oldest = self._clock.now() - _TOLD_S
        discard_expired(self._heard, lambda heard: heard[0] <= oldest)


__all__ = ['discard_expired', 'Origin', 'RecentReports']
