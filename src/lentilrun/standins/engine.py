"""State of a stand-in engine: prefix cache, ledger, version and faults."""

from __future__ import annotations

import collections
import dataclasses
import secrets
from typing import NamedTuple

from ..routing import prefix

_MAX_LEDGER_ENTRIES = 100_000


class EngineSettings(NamedTuple):
    """The behaviour of a stand-in target; times are in seconds.

    ``token_time_s`` is the time to generate one token, ``poison`` a text
    in a request that crashes the process.
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
    """A request that the engine ran."""

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
    """Faults of one model version.

    ``failure_share`` is the share of requests that fail, ``slowdown``
    multiplies processing times. Both apply once ``after_requests``
    requests have run and while at least ``min_running`` run
    concurrently; if ``path`` is set, only to requests for it.
    """

    version: str
    failure_share: float = 0.0
    slowdown: float = 1.0
    after_requests: int = 0
    min_running: int = 0
    path: str = ''


@dataclasses.dataclass
class GenerationStream:
    """The events of one generation, kept so that it can be resumed."""

    events: list[bytes]
    is_done: bool = False
    is_cancelled: bool = False


class BlockCache:
    """A prefix cache of blocks that evicts the least recently used."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def count_cached(self, hashes: tuple[int, ...]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def insert(self, hashes: tuple[int, ...]) -> tuple[list[int], list[int]]:
        """Insert blocks; return the added and the evicted ones."""
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
        """Remove all blocks."""
        self._blocks.clear()


class Engine:
    """The state of a stand-in target."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.incarnation = secrets.token_hex(8)
        self.version = settings.version
        self.cache = BlockCache(settings.cache_blocks)
        self.streams: collections.OrderedDict[str, GenerationStream] = (
            collections.OrderedDict()
        )
        self.ledger: collections.deque[LedgerEntry] = collections.deque(
            maxlen=_MAX_LEDGER_ENTRIES
        )
        self.bad_versions: dict[str, BadVersion] = {}
        self.served_requests: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.waiting = 0
        self.is_loading = False
        self.is_leaving = False
        self.highest_fence = 0

    def find_bad_version(self, path: str) -> BadVersion | None:
        """Return the faults of the loaded version that apply to a path."""
        bad_version = self.bad_versions.get(self.version)
        if (
            bad_version is None
            or self.served_requests[self.version] < bad_version.after_requests
        ):
            return None
        if self.running < bad_version.min_running:
            return None
        if bad_version.path and bad_version.path != path:
            return None
        return bad_version

    def hash_prompt(self, text: bytes, salt: str) -> tuple[int, ...]:
        """Return the block hashes of a prompt for the loaded version."""
        workspace = salt.rpartition('/')[0]
        full_salt = prefix.make_salt(workspace, self.version)
        return prefix.hash_blocks(text, full_salt, self.settings.block_bytes)

    def accept_fence(self, fence: int) -> bool:
        """Return whether an order's fencing token is valid.

        Without ``checks_fencing`` every token is.
        """
        if self.settings.checks_fencing and fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, fence)
        return True

    def switch_version(self, version: str) -> None:
        """Load another model version and clear the cache."""
        self.version = version
        self.cache.clear()

    def crash(self) -> None:
        """Restart as a new incarnation with an empty cache."""
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
