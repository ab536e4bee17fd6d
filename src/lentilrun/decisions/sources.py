"""Where a target gets the shared parts of a prompt that it does not hold.

The load that this answers: prompts that share thousands of tokens beside
ones that share a few hundred, on engines whose memory turns over within
seconds. Transfers over the link of one store run one after another, so
where there are several each prompt has its own by hash, and all share the
load. A part that no store was given comes from an engine that read it.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from ..config.ini import Address
    from .facts import KvCacheStore
    from .facts import Prompt

# Prompt tokens that an engine reads a second.
PREFILL_TOKENS_PER_S = 35_000.0
# How sure it is that the first place by hash holds a shared part.
_FIRST_PLACE = 0.6


class CacheHolder(NamedTuple):
    """An engine that holds the first ``cached_tokens`` of a prompt."""

    address: Address
    data_centre: str
    cached_tokens: float


class PrefillPlan(NamedTuple):
    """What a target holds of a prompt, in tokens, and where the rest is.

    What it fetches counts as still to be read: transfers fail, and a
    target that seems to read little would be given too much.
    """

    cached_tokens: float
    source: Address | None = None

    def prefill_tokens(self, input_tokens: int) -> float:
        """Return what the target may have to read."""
        return max(0.0, input_tokens - self.cached_tokens)


NO_CACHE = PrefillPlan(0.0)


def _score(part: str, name: str) -> bytes:
    return hashlib.blake2b(f'{part}/{name}'.encode(), digest_size=8).digest()


def _count_shared(prompt: Prompt) -> int:
    """Return the tokens of all parts but the request's own."""
    return sum(p.tokens for p in prompt.segments[:-1])


def pick_kv_cache_store(
    prompt: Prompt, stores: Sequence[KvCacheStore]
) -> KvCacheStore | None:
    """Return the store that keeps the shared parts of a prompt.

    All VMs pick the same one without a word; prompts spread over all.
    """
    if len(prompt.segments) < 2:
        return None
    part = prompt.segments[-2].identity
    return max(
        stores, key=lambda s: _score(part, str(s.address)), default=None
    )


def estimate_cached(prompt: Prompt, names: Sequence[str]) -> dict[str, float]:
    """Return what engines hold of a prompt that nobody was seen to read.

    All VMs send a part to the same place by hash while load allows it,
    so that they agree without a word.
    """
    if len(prompt.segments) < 2 or not names:
        return {}
    part = prompt.segments[-2].identity
    first = max(names, key=lambda n: _score(part, n))
    return {first: _FIRST_PLACE * _count_shared(prompt)}


def pick_best_holders(holders: Iterable[CacheHolder]) -> list[CacheHolder]:
    """Return the engine with most of a prompt in each data centre."""
    best: dict[str, CacheHolder] = {}
    for holder in holders:
        known = best.get(holder.data_centre)
        if known is None or holder.cached_tokens > known.cached_tokens:
            best[holder.data_centre] = holder
    return list(best.values())


def plan_prefill(
    held: float,
    data_centre: str,
    holders: Iterable[CacheHolder],
    store: KvCacheStore | None,
    is_kept: bool,
) -> PrefillPlan:
    """Return how a target in a data centre comes by a prompt.

    ``holders`` are other engines; ``is_kept`` tells that ``store`` was
    given all shared parts. A source is named also where nothing needs
    fetching: a target that lost what it held then has it from there, and
    a source that lacks it costs a millisecond.
    """
    if store is not None and is_kept:
        return PrefillPlan(held, store.address)
    best = max(
        holders,
        key=lambda h: (h.cached_tokens, h.data_centre == data_centre),
        default=None,
    )
    if best is not None and best.cached_tokens > held:
        return PrefillPlan(held, best.address)
    return PrefillPlan(held, store.address if store is not None else None)


__all__ = [
    'CacheHolder',
    'estimate_cached',
    'NO_CACHE',
    'pick_best_holders',
    'pick_kv_cache_store',
    'plan_prefill',
    'PREFILL_TOKENS_PER_S',
    'PrefillPlan',
]
