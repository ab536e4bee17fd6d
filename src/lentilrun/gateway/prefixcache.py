"""The prompt segments that an engine is assumed to have cached."""

from __future__ import annotations

import collections
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..decisions.facts import Prompt
    from ..decisions.facts import PromptSegment

# Share of an engine's memory that caches prompt segments; responses use the
# rest.
_CACHE_MEMORY_SHARE = 0.85


class CacheLimits(NamedTuple):
    """What bounds the segments that an engine is assumed to have.

    ``memory_tokens`` is the size of the engine's memory. No more than
    ``segments`` are kept, however short they are.
    """

    memory_tokens: int
    segments: int


class PrefixCache:
    """Segments by salt, evicting the least recently prefilled first."""

    def __init__(self) -> None:
        self._segments: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def count_cached_tokens(self, salt: str, prompt: Prompt) -> float:
        """Return how many leading tokens of a prompt are cached."""
        tokens = 0
        for segment in prompt.segments:
            if (salt, segment.identity) not in self._segments:
                break
            tokens += segment.tokens
        return float(tokens)

    def record_prefill(
        self, salt: str, segments: Iterable[PromptSegment], limits: CacheLimits
    ) -> None:
        """Record that ``segments`` of a prompt were sent for prefill."""
        for segment in segments:
            key = (salt, segment.identity)
            if key not in self._segments:
                self._segments[key] = segment.tokens
                self._tokens += segment.tokens
            self._segments.move_to_end(key)
        max_tokens = limits.memory_tokens * _CACHE_MEMORY_SHARE
        while (
            self._tokens > max_tokens or len(self._segments) > limits.segments
        ):
            _, tokens = self._segments.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Record that the engine has discarded its cache."""
        self._segments.clear()
        self._tokens = 0


__all__ = [
    'CacheLimits',
    'PrefixCache',
]
