"""Where a target gets shared prompt segments that it has not cached.

Designed for this load: prompts that share thousands of tokens together
with prompts that share a few hundred, on engines whose cache is replaced
within seconds. Transfers over the link of one store run one after another,
so where there are several stores, each prompt is assigned to one by hash,
which spreads the load over all of them. A segment that was not saved in a
store is fetched from an engine that prefilled it.
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

# Probability that the engine with the highest hash for a prompt has its shared
# segments cached.
_HASHED_ENGINE_PROBABILITY = 0.6


class CacheHolder(NamedTuple):
    """An engine that has the first ``cached_tokens`` of a prompt."""

    address: Address
    data_centre: str
    cached_tokens: float


class PrefillPlan(NamedTuple):
    """The prompt tokens that a target has cached, and where it gets more.

    Tokens that the target fetches from ``source`` count as tokens to
    prefill: transfers may fail, and a target that seemed to have little to
    prefill would get too many requests.
    """

    cached_tokens: float
    source: Address | None = None

    def prefill_tokens(self, input_tokens: int) -> float:
        """Return the tokens that the target may have to prefill."""
        return max(0.0, input_tokens - self.cached_tokens)


NO_CACHE = PrefillPlan(0.0)


def _score(identity: str, name: str) -> bytes:
    return hashlib.blake2b(
        f'{identity}/{name}'.encode(), digest_size=8
    ).digest()


def identify_shared_prefix(prompt: Prompt | None) -> str:
    """Return the identity of the last segment that others may share.

    It is empty if there is none.
    """
    if prompt is None or len(prompt.segments) < 2:
        return ''
    return prompt.segments[-2].identity


def _count_shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of all segments but the request's own."""
    return sum(s.tokens for s in prompt.segments[:-1])


def pick_kv_cache_store(
    prompt: Prompt, stores: Sequence[KvCacheStore]
) -> KvCacheStore | None:
    """Return the store for the shared segments of a prompt, if any.

    All VMs pick the same store without exchanging messages, and prompts
    are spread over all stores. The hash is that of the last shared segment.
    """
    if len(prompt.segments) < 2:
        return None
    identity = prompt.segments[-2].identity
    return max(
        stores, key=lambda s: _score(identity, str(s.address)), default=None
    )


def estimate_cached(prompt: Prompt, names: Sequence[str]) -> dict[str, float]:
    """Return the tokens that engines may have cached without a report.

    While load allows it, all VMs send a segment to the same engine by
    hash, so they agree without exchanging messages. The result maps names
    of engines to tokens.
    """
    if len(prompt.segments) < 2 or not names:
        return {}
    identity = prompt.segments[-2].identity
    hashed_engine = max(names, key=lambda n: _score(identity, n))
    return {
        hashed_engine: _HASHED_ENGINE_PROBABILITY
        * _count_shared_tokens(prompt)
    }


def pick_best_holders(holders: Iterable[CacheHolder]) -> list[CacheHolder]:
    """Return the engine with the most tokens in each data centre."""
    best: dict[str, CacheHolder] = {}
    for holder in holders:
        current = best.get(holder.data_centre)
        if current is None or holder.cached_tokens > current.cached_tokens:
            best[holder.data_centre] = holder
    return list(best.values())


def plan_prefill(
    cached_tokens: float,
    data_centre: str,
    holders: Iterable[CacheHolder],
    store: KvCacheStore | None,
    is_stored: bool,
) -> PrefillPlan:
    """Return what a target has cached of a prompt, and a source for more.

    ``cached_tokens`` and ``data_centre`` are the target's, ``holders`` are
    other engines, and ``is_stored`` is set if all shared segments were
    saved in ``store``. A source is named even if nothing has to be
    fetched: a target that has lost its cache then fetches from there, and
    a source that lacks the segments costs a millisecond.
    """
    if store is not None and is_stored:
        return PrefillPlan(cached_tokens, store.address)
    best = max(
        holders,
        key=lambda h: (h.cached_tokens, h.data_centre == data_centre),
        default=None,
    )
    if best is not None and best.cached_tokens > cached_tokens:
        return PrefillPlan(cached_tokens, best.address)
    return PrefillPlan(
        cached_tokens, store.address if store is not None else None
    )


__all__ = [
    'CacheHolder',
    'estimate_cached',
    'identify_shared_prefix',
    'NO_CACHE',
    'pick_best_holders',
    'pick_kv_cache_store',
    'plan_prefill',
    'PrefillPlan',
]
