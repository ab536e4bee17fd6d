"""Where targets get shared parts from, under the load that it is for."""

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
_LONG_PARTS = (
    PromptSegment('x', 2500),
    PromptSegment('y', 3800),
    PromptSegment('own', 2700),
)
_LONG = Prompt('model', 9000, 100, _LONG_PARTS)
_NEAR = CacheHolder(Address('10.0.0.1', 1), 'a', 6300.0)
_FAR = CacheHolder(Address('10.0.0.2', 1), 'b', 6300.0)
_FIRST_ONLY = CacheHolder(Address('10.0.0.3', 1), 'a', 2500.0)


@pytest.mark.parametrize(
    ('held', 'holders', 'is_kept', 'source'),
    [
        # Nobody is known to hold it: a store may nevertheless.
        (0.0, [], False, _STORE.address),
        # A store that was given all parts goes first.
        (0.0, [_FAR], True, _STORE.address),
        # Then the engine with most of them.
        (0.0, [_FIRST_ONLY, _FAR], False, _FAR.address),
        # Of two engines the near one.
        (0.0, [_FAR, _NEAR], False, _NEAR.address),
        # An engine that has no more than the target is not asked.
        (2500.0, [_FIRST_ONLY], False, _STORE.address),
        # A source is named also where all is thought to be held.
        (6300.0, [_NEAR], False, _STORE.address),
        (6300.0, [], True, _STORE.address),
    ],
)
def test_sources(
    held: float,
    holders: list[CacheHolder],
    is_kept: bool,
    source: Address,
) -> None:
    """What is missing comes from where it surely is."""
    found = plan_prefill(held, 'a', holders, _STORE, is_kept)
    assert found == PrefillPlan(held, source)
    assert found.prefill_tokens(9000) == 9000 - held


def test_without_a_store() -> None:
    """Where there is no store only engines are asked."""
    assert plan_prefill(0.0, 'a', [], None, False) == PrefillPlan(0.0)
    assert plan_prefill(0.0, 'a', [_NEAR], None, False).source == _NEAR.address


def test_prompts_spread_over_stores() -> None:
    """The load of long prompts is shared by the links of all stores."""
    stores = [
        _STORE._replace(address=Address(f'10.0.1.{i}', 1)) for i in range(3)
    ]
    taken = [0] * len(stores)
    for number in range(600):
        parts = (
            PromptSegment('x', 2500),
            PromptSegment(f'y{number}', 3800),
            PromptSegment('own', 9),
        )
        found = pick_kv_cache_store(_LONG._replace(segments=parts), stores)
        assert found == pick_kv_cache_store(
            _LONG._replace(segments=parts), stores[::-1]
        )
        assert found is not None
        taken[stores.index(found)] += 1
    assert min(taken) > 150


def test_the_best_engine_of_each_data_centre() -> None:
    """One engine a data centre is enough to choose from."""
    found = pick_best_holders([_FIRST_ONLY, _NEAR, _FAR])
    assert sorted(found) == sorted([_NEAR, _FAR])


def test_all_guess_the_same_place() -> None:
    """VMs that know nothing yet send a shared part to one engine."""
    names = [f'e{i}' for i in range(9)]
    found = estimate_cached(_LONG, names)
    assert found == estimate_cached(_LONG, names[::-1])
    assert len(found) == 1
    assert not estimate_cached(_LONG._replace(segments=()), names)
