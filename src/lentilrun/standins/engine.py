"""The state of a stand-in target: cache, ledger, versions and faults."""

from __future__ import annotations

import collections
import dataclasses
import secrets
from typing import NamedTuple

from ..routing import prefix

_LEDGER_LENGTH = 100_000


class EngineSettings(NamedTuple):
    """How a stand-in target behaves; times in seconds.

    ``capacity`` counts cached blocks, ``prefill`` tokens a second,
    ``step`` the time of one generated token, ``load_time`` that of new
    weights.
    """

    name: str = 'target'
    version: str = 'v1'
    slots: int = 16
    cache_blocks: int = 64
    block_bytes: int = 8192
    bytes_per_token: float = 4.0
    prefill_tokens_per_s: float = 20_000.0
    token_time_s: float = 0.002
    weights_load_s: float = 0.5
    checks_fencing: bool = False
    poison: str = 'POISON'


class LedgerEntry(NamedTuple):
    """One entry of the ledger: a request that ran."""

    attempt: str
    request: str
    workspace: str
    path: str
    version: str
    idempotency_key: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


class BadVersion(NamedTuple):
    """How a version misbehaves.

    ``fails`` is the share of requests that fail, ``slowdown`` multiplies
    its times; both start once ``after`` requests ran and at least
    ``load`` run at once, on ``path`` only if one is given.
    """

    version: str
    failure_share: float = 0.0
    slowdown: float = 1.0
    after_requests: int = 0
    min_running: int = 0
    path: str = ''


@dataclasses.dataclass
class GenerationStream:
    """The events of one generation, kept for resuming."""

    events: list[bytes]
    done: bool = False
    cancelled: bool = False


class BlockCache:
    """Cached blocks in least-recently-used order, in limited memory."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, hashes: tuple[int, ...]) -> tuple[list[int], list[int]]:
        """Keep blocks; return those that are new and those evicted."""
        added = []
        for block in hashes:
            if block not in self._blocks:
                added.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        return added, evicted

    def clear(self) -> None:
        """Forget everything."""
        self._blocks.clear()


class Engine:
    """All that a stand-in target knows."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.incarnation = secrets.token_hex(8)
        self.version = settings.version
        self.cache = BlockCache(settings.cache_blocks)
        self.streams: collections.OrderedDict[str, GenerationStream] = (
            collections.OrderedDict()
        )
        self.ledger: collections.deque[LedgerEntry] = collections.deque(
            maxlen=_LEDGER_LENGTH
        )
        self.bad_versions: dict[str, BadVersion] = {}
        self.served_requests: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.waiting = 0
        self.loading = False
        self.leaving = False
        self.highest_fence = 0

    def find_bad_version(self, path: str) -> BadVersion | None:
        """Return how the loaded version misbehaves on a path now."""
        bad = self.bad_versions.get(self.version)
        if (
            bad is None
            or self.served_requests[self.version] < bad.after_requests
        ):
            return None
        if self.running < bad.min_running:
            return None
        if bad.path and bad.path != path:
            return None
        return bad

    def hash_prompt(self, text: bytes, salt: str) -> tuple[int, ...]:
        """Return the block hashes of a prompt for the loaded version."""
        workspace = salt.rpartition('/')[0]
        own = prefix.make_salt(workspace, self.version)
        return prefix.chain(text, own, self.settings.block_bytes)

    def accept_fence(self, fence: int) -> bool:
        """Return whether an order's fencing number is acceptable."""
        if self.settings.checks_fencing and fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, fence)
        return True

    def switch_version(self, version: str) -> None:
        """Switch to a version: the cache of the old one is void."""
        self.version = version
        self.cache.clear()

    def crash(self) -> None:
        """Come back empty, as another incarnation."""
        self.incarnation = secrets.token_hex(8)
        self.cache.clear()
        self.streams.clear()


__all__ = [
    'BadVersion',
    'BlockCache',
    'Engine',
    'EngineSettings',
    'GenerationStream',
    'LedgerEntry',
]
