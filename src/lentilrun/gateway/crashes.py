"""Requests under which targets crashed."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from .messages import CrashNews

if TYPE_CHECKING:
    from ..coordination.clock import Clock

# A request that broke off so many attempts is not tried again.
_LIMIT = 3
_MEMORY_S = 60.0


class _Record(NamedTuple):
    own: int
    others: dict[str, int]
    since: float


class Crashes:
    """Counts the attempts that broke off, by request, over all VMs."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def note(self, fingerprint: bytes) -> None:
        """Note that an attempt broke off after it was sent."""
        name = fingerprint.hex()
        found = self._find(name)
        self._records[name] = found._replace(own=found.own + 1)

    def _find(self, name: str) -> _Record:
        found = self._records.get(name)
        if found is None:
            return _Record(0, {}, self._clock.now())
        return found

    def take(self, peer: str, news: list[CrashNews]) -> None:
        """Take what a peer counted."""
        for item in news:
            found = self._find(item.fingerprint)
            found.others[peer] = item.crashes
            self._records[item.fingerprint] = found

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request must not run any more."""
        found = self._records.get(fingerprint.hex())
        if found is None:
            return False
        return found.own + sum(found.others.values()) >= _LIMIT

    def export(self) -> list[CrashNews]:
        """Return what this VM counted lately, and drop what is old."""
        oldest = self._clock.now() - _MEMORY_S
        for name, found in list(self._records.items()):
            if found.since < oldest:
                del self._records[name]
        return [
            CrashNews(n, r.own) for n, r in self._records.items() if r.own
        ][-20:]


__all__ = ['Crashes']
