"""Input of the decisions: configuration, targets and requests."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..records import PositionalRecord

if TYPE_CHECKING:
    from ..config.ini import Address
    from .cachesalts import Isolation


class RouteKind(enum.StrEnum):
    """Whether a route's requests may be repeated, and whether they stream."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


class TrafficSplit(NamedTuple):
    """A service and its relative share of a route's requests."""

    service: str
    weight: float


# Callers are assumed to stop waiting for a stream without events after the
# longest of these: a time, a multiple of the route's ``target_latency``, a
# multiple of its ``target_event_gap``.
_MIN_ABANDON_TIMEOUT_S = 2.0
_ABANDON_LATENCY_FACTOR = 4.0
_ABANDON_EVENT_GAP_FACTOR = 8.0


class Route(NamedTuple):
    """Rules for requests to a host and path prefix; times in seconds.

    ``target_latency`` is the longest time to the response, or to the first
    event of a stream, that counts as on time; ``target_event_gap`` is the
    same for the time between events. ``urgency`` is 0 for the most urgent.
    Requests stay in ``allowed_regions``; if it is empty, all are allowed.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    urgency: int
    traffic_splits: tuple[TrafficSplit, ...]
    max_attempts: int
    is_auth_exempt: bool
    resumable: bool
    target_event_gap: float
    allowed_regions: tuple[str, ...] = ()

    def abandon_timeout(self) -> float:
        """Return the time without events until callers stop waiting, in s."""
        return max(
            _MIN_ABANDON_TIMEOUT_S,
            _ABANDON_LATENCY_FACTOR * self.target_latency,
            _ABANDON_EVENT_GAP_FACTOR * self.target_event_gap,
        )

    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE


class EngineSpec(NamedTuple):
    """Capacity and models of each model engine of a service.

    ``slots`` is the number of requests that run at the same time, and
    ``memory_tokens`` the size of the KV cache memory in tokens.
    """

    slots: int
    memory_tokens: int
    models: tuple[str, ...]


class KvCacheStore(NamedTuple):
    """A server where engines save KV cache and fetch it from."""

    address: Address
    data_centre: str


class Service(NamedTuple):
    """A pool of targets; ``engine`` is set if they run models.

    ``max_connections`` limits the connections of all VMs to one target. A
    target is cold for ``cold_start`` seconds after its start, and tolerates
    ``cold_per_s`` requests a second meanwhile; 0 means no limit.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    cold_per_s: float = 0.0
    cold_start: float = 0.0


class Workspace(NamedTuple):
    """A workspace; ``rate`` in tokens per second, ``burst`` in tokens.

    A rate of 0 means no limit. ``default_tokens`` is the charge for a
    request that states no tokens. ``urgency`` is 0 for the most urgent.
    Requests stay in ``allowed_regions``; if it is empty, all are allowed.
    """

    name: str
    urgency: int
    is_isolated: bool
    rate: float
    burst: float
    default_tokens: int
    allowed_regions: tuple[str, ...] = ()


class RequestLimits(NamedTuple):
    """Limits on the size of a caller's request, in bytes."""

    header_bytes: int
    body_bytes: int


class Configuration(NamedTuple):
    """One version of the configuration that the operators write.

    ``routes`` holds the routes by host, those with longer prefixes
    first; ``workspaces_by_key`` the workspaces by API key. If
    ``requires_key``, requests need a valid API key, even if there is none.
    ``isolation`` holds which workspaces share no cached segments.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    workspaces_by_key: dict[str, Workspace]
    requires_key: bool
    isolation: Isolation
    kv_cache_stores: tuple[KvCacheStore, ...]
    limits: RequestLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Target(NamedTuple):
    """One start of a target, as the target registered itself.

    ``incarnation`` is checked by the target with every request.
    ``started_at_ms`` is in milliseconds since 1970 and distinguishes two
    starts under the same incarnation. ``weights_versions`` holds the
    weights version by model. A target is slow for ``cold_remaining``
    seconds after its start.
    """

    incarnation: str
    started_at_ms: int
    service: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool
    weights_versions: dict[str, int]
    software_version: str = ''
    cold_remaining: float = 0.0


class PromptSegment(PositionalRecord, frozen=True):
    """A piece of a prompt that requests may share, and its length."""

    identity: str
    tokens: int


class Prompt(NamedTuple):
    """The size and the segments that a model request states, in tokens.

    ``output_tokens`` is the most that the response may have. The last of
    ``segments`` belongs to the request or its session alone.
    """

    model: str
    input_tokens: int
    output_tokens: int
    segments: tuple[PromptSegment, ...]


__all__ = [
    'Configuration',
    'EngineSpec',
    'KvCacheStore',
    'Prompt',
    'PromptSegment',
    'RequestLimits',
    'Route',
    'RouteKind',
    'Service',
    'Target',
    'TrafficSplit',
    'Workspace',
]
