"""Where targets get shared prompt segments from."""

from __future__ import annotations

from lentilrun.config.ini import Address
from lentilrun.decisions.facts import KvCacheStore
from lentilrun.decisions.facts import Prompt
from lentilrun.decisions.facts import PromptSegment
from lentilrun.decisions.sources import CacheHolder
from lentilrun.decisions.sources import estimate_cached
from lentilrun.decisions.sources import pick_best_holders
from lentilrun.decisions.sources import pick_kv_cache_store
from lentilrun.decisions.sources import plan_prefill
from lentilrun.decisions.sources import PrefillPlan
import pytest

_STORE = KvCacheStore(Address('10.0.0.9', 1), 'a')
_LONG_SEGMENTS = (
    PromptSegment('x', 2500),
    PromptSegment('y', 3800),
    PromptSegment('own', 2700),
)
_LONG = Prompt('model', 9000, 100, _LONG_SEGMENTS)
_LOCAL = CacheHolder(Address('10.0.0.1', 1), 'a', 6300.0)
_REMOTE = CacheHolder(Address('10.0.0.2', 1), 'b', 6300.0)
_FIRST_ONLY = CacheHolder(Address('10.0.0.3', 1), 'a', 2500.0)


@pytest.mark.parametrize(
    ('cached_tokens', 'holders', 'is_stored', 'source'),
    [
        # No known holder: the store may have it nevertheless.
        (0.0, [], False, _STORE.address),
        # A store that has all segments is preferred.
        (0.0, [_REMOTE], True, _STORE.address),
        # Then the engine with the most tokens.
        (0.0, [_FIRST_ONLY, _REMOTE], False, _REMOTE.address),
        # Of two engines, the local one.
        (0.0, [_REMOTE, _LOCAL], False, _LOCAL.address),
        # An engine that has no more than the target is not a source.
        (2500.0, [_FIRST_ONLY], False, _STORE.address),
        # A source is named even if all segments should be cached.
        (6300.0, [_LOCAL], False, _STORE.address),
        (6300.0, [], True, _STORE.address),
    ],
)
def test_sources(
    cached_tokens: float,
    holders: list[CacheHolder],
    is_stored: bool,
    source: Address,
) -> None:
    """Missing segments come from the most reliable source."""
    plan = plan_prefill(cached_tokens, 'a', holders, _STORE, is_stored)
    assert plan == PrefillPlan(cached_tokens, source)
    assert plan.prefill_tokens(9000) == 9000 - cached_tokens


def test_without_a_store() -> None:
    """Without a store, only engines are sources."""
    assert plan_prefill(0.0, 'a', [], None, False) == PrefillPlan(0.0)
    assert (
        plan_prefill(0.0, 'a', [_LOCAL], None, False).source == _LOCAL.address
    )


def test_prompts_spread_over_stores() -> None:
    """The load of long prompts is spread over the links of all stores."""
    stores = [
        _STORE._replace(address=Address(f'10.0.1.{i}', 1)) for i in range(3)
    ]
    prompts = [0] * len(stores)
    for number in range(600):
        segments = (
            PromptSegment('x', 2500),
            PromptSegment(f'y{number}', 3800),
            PromptSegment('own', 9),
        )
        store = pick_kv_cache_store(_LONG._replace(segments=segments), stores)
        assert store == pick_kv_cache_store(
            _LONG._replace(segments=segments), stores[::-1]
        )
        assert store is not None
        prompts[stores.index(store)] += 1
    assert min(prompts) > 150


def test_the_best_engine_of_each_data_centre() -> None:
    """One engine per data centre is a sufficient choice of sources."""
    holders = pick_best_holders([_FIRST_ONLY, _LOCAL, _REMOTE])
    assert sorted(holders) == sorted([_LOCAL, _REMOTE])


def test_all_estimate_the_same_engine() -> None:
    """VMs without reports send a shared segment to the same engine."""
    names = [f'e{i}' for i in range(9)]
    cached_tokens = estimate_cached(_LONG, names)
    assert cached_tokens == estimate_cached(_LONG, names[::-1])
    assert len(cached_tokens) == 1
    assert not estimate_cached(_LONG._replace(segments=()), names)
