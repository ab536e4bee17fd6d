"""Which parts of prompts the stores of kept KV cache are known to hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import StoredSegmentReport
from .recent import discard_expired
from .recent import Origin
from .recent import RecentReports

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..decisions.facts import Prompt

# A store drops the least recently used parts; what was not used for so
# long is saved once more.
_KEPT_S = 20.0
# Parts of fewer tokens are not worth a transfer of the whole prompt.
_LEAST_TOKENS = 100


class StoredSegments:
    """Remembers parts that some VM let an engine save, by their salt."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kept: dict[StoredSegmentReport, float] = {}
        self.recent: RecentReports[StoredSegmentReport] = RecentReports(clock)

    def needs_save(self, salt: str, prompt: Prompt) -> bool:
        """Return whether shared parts of a prompt may be missing."""
        self._forget_old()
        return not self.has_all(salt, prompt)

    def has_all(self, salt: str, prompt: Prompt) -> bool:
        """Return whether a store is thought to hold all shared parts."""
        return all(p in self._kept for p in _list_parts(salt, prompt))

    def record_save(self, salt: str, prompt: Prompt) -> None:
        """Note that an engine saves the shared parts of a prompt."""
        for part in _list_parts(salt, prompt):
            self._add(part, Origin.OWN)

    def _add(self, news: StoredSegmentReport, origin: Origin) -> None:
        self.recent.add(news, origin)
        self._kept.setdefault(news, self._clock.now())

    def receive(self, news: list[StoredSegmentReport], origin: Origin) -> None:
        """Take what others let engines save."""
        for part in news:
            self._add(part, origin)

    def _forget_old(self) -> None:
        oldest = self._clock.now() - _KEPT_S
        discard_expired(self._kept, lambda at: at <= oldest)


def _list_parts(salt: str, prompt: Prompt) -> list[StoredSegmentReport]:
    """Return the shared parts of a prompt that are worth keeping."""
    return [
        StoredSegmentReport(salt, p.identity)
        for p in prompt.segments[:-1]
        if p.tokens >= _LEAST_TOKENS
    ]


__all__ = [
    'StoredSegments',
]
