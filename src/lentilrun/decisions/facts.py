"""What decisions are made from: configuration, targets and requests."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.ini import Address


class RouteKind(enum.StrEnum):
    """How often a route's requests may run."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


class TrafficSplit(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


# Callers leave a stream after the longest of these: a time, or so many
# times what the route aims at.
_LEAST_PATIENCE_S = 2.0
_LATENCY_PATIENCE = 4.0
_PAUSE_PATIENCE = 8.0


class Route(NamedTuple):
    """Where a host and path prefix lead; times in seconds.

    ``target_latency`` is the time to the answer, or to the first event of
    a stream, that counts as on time, ``target_event_gap`` that between its
    events. ``urgency`` is 0 for the most
    urgent.
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

    def abandon_timeout(self) -> float:
        """Return the pause after which callers leave a stream, in s."""
        return max(
            _LEAST_PATIENCE_S,
            _LATENCY_PATIENCE * self.target_latency,
            _PAUSE_PATIENCE * self.target_event_gap,
        )

    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE


class EngineSpec(NamedTuple):
    """What every model engine of a service can hold and run."""

    slots: int
    memory_tokens: int
    models: tuple[str, ...]


class KvCacheStore(NamedTuple):
    """A store of kept KV cache."""

    address: Address
    data_centre: str


class Service(NamedTuple):
    """A pool of targets; ``engine`` is set where they run models."""

    name: str
    max_connections: int
    engine: EngineSpec | None


class Workspace(NamedTuple):
    """A workspace; ``rate`` in tokens a second, ``burst`` in tokens.

    A rate of 0 means no limit. ``default_tokens`` is the charge of a
    request that states no tokens.
    """

    name: str
    urgency: int
    is_isolated: bool
    rate: float
    burst: float
    default_tokens: int


class RequestLimits(NamedTuple):
    """What a caller may send: bytes."""

    header_bytes: int
    body_bytes: int


class Configuration(NamedTuple):
    """One version of what the operators declare.

    ``routes`` holds the routes by host, those with longer prefixes
    first; ``workspaces_by_key`` the workspaces by API key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    workspaces_by_key: dict[str, Workspace]
    kv_cache_stores: tuple[KvCacheStore, ...]
    limits: RequestLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Target(NamedTuple):
    """One start of a back end, as it registered itself.

    ``incarnation`` is checked by the target with every request.
    ``started_at_ms`` tells two starts under one incarnation apart, in
    milliseconds since 1970. ``weights_versions`` holds the weights by
    model.
    """

    incarnation: str
    started_at_ms: int
    service: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool
    weights_versions: dict[str, int]


class PromptSegment(NamedTuple):
    """A part of a prompt that requests may share, and its tokens."""

    identity: str
    tokens: int


class Prompt(NamedTuple):
    """What a model request says of itself, in tokens.

    The last of ``segments`` belongs to the request or its session.
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
