"""Which parts of prompts the store of kept KV cache is known to hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import PartNews

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..decisions.facts import Prompt

# The store drops the least recently used parts; what was not used for so
# long is saved once more.
_KEPT_S = 20.0
# A part is told of in messages for so long.
_TOLD_S = 1.5
# Parts of fewer tokens are not worth a transfer of the whole prompt.
_LEAST_TOKENS = 100


class KeptParts:
    """Remembers parts that some VM let an engine save, by their salt."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kept: dict[PartNews, float] = {}

    def needs_saving(self, salt: str, prompt: Prompt) -> bool:
        """Return whether shared parts of a prompt may be missing."""
        oldest = self._clock.now() - _KEPT_S
        self._forget_old()
        return any(
            p.tokens >= _LEAST_TOKENS
            and self._kept.get(PartNews(salt, p.identity), oldest) <= oldest
            for p in prompt.parts[:-1]
        )

    def note(self, salt: str, prompt: Prompt) -> None:
        """Note that an engine saves the shared parts of a prompt."""
        now = self._clock.now()
        for part in prompt.parts[:-1]:
            if part.tokens >= _LEAST_TOKENS:
                self._kept.setdefault(PartNews(salt, part.identity), now)

    def take(self, news: list[PartNews]) -> None:
        """Take what others let engines save."""
        now = self._clock.now()
        for part in news:
            self._kept.setdefault(part, now)

    def export(self) -> list[PartNews]:
        """Return what was saved lately, and forget what is old."""
        now = self._clock.now()
        self._forget_old()
        return [p for p, at in self._kept.items() if now - at < _TOLD_S]

    def _forget_old(self) -> None:
        oldest = self._clock.now() - _KEPT_S
        while self._kept:
            part = next(iter(self._kept))
            if self._kept[part] > oldest:
                return
            del self._kept[part]


__all__ = ['KeptParts']
