"""What an engine is thought to hold of the prompts that it read."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..decisions.facts import Prompt
    from ..decisions.facts import PromptSegment

# The share of an engine's memory that parts of prompts stay in; answers
# take the rest.
_MEMORY_SHARE = 0.85


class PrefixCache:
    """Parts of prompts by salt; the least recently read ones yield."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def count_cached_tokens(self, salt: str, prompt: Prompt) -> float:
        """Return how many leading tokens of a prompt are held."""
        tokens = 0
        for part in prompt.segments:
            if (salt, part.identity) not in self._parts:
                break
            tokens += part.tokens
        return float(tokens)

    def record_prefill(
        self, salt: str, parts: Iterable[PromptSegment], memory: int
    ) -> None:
        """Note that an engine with ``memory`` tokens read parts."""
        for part in parts:
            key = (salt, part.identity)
            if key not in self._parts:
                self._parts[key] = part.tokens
                self._tokens += part.tokens
            self._parts.move_to_end(key)
        while self._tokens > memory * _MEMORY_SHARE:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Note that the engine's memory is empty."""
        self._parts.clear()
        self._tokens = 0


__all__ = [
    'PrefixCache',
]
