"""Decodes the rows that operators and targets write into the store."""

from __future__ import annotations

import math
from typing import Annotated
from typing import NamedTuple

import msgspec

from ..config.ini import parse_address
from ..decisions.cachesalts import make_isolation
from ..decisions.facts import Configuration
from ..decisions.facts import EngineSpec
from ..decisions.facts import KvCacheStore
from ..decisions.facts import RequestLimits
from ..decisions.facts import Route
from ..decisions.facts import RouteKind
from ..decisions.facts import Service
from ..decisions.facts import Target
from ..decisions.facts import TrafficSplit
from ..decisions.facts import Workspace
from ..errors import Code
from ..errors import LentilrunError

OPERATOR_TABLE = 'op'
TARGET_TABLE = 'servers'
CONFIGURATION_KEY = 'config'
_ANNOUNCEMENT_PREFIX = 'version/'
_EVACUATION_PREFIX = 'evacuate/'
_S_PER_MS = 1e-3
_DEFAULT_TIMEOUT_MS = 30_000.0
# A deeply nested document exceeds the recursion limit.
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
_DRAINING = 'draining'
_READY = 'ready'


# Versions and counts; messages between VMs carry up to 64 bits.
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
_Amount = Annotated[float, msgspec.Meta(ge=0.0)]


class BadDocumentError(LentilrunError):
    """A row of the operators or of a target is malformed."""

    code = Code.INVALID_FILE


class WeightsAnnouncement(NamedTuple):
    """The weights version of a model that all engines are to load."""

    model: str
    version: int


class _WireSplit(msgspec.Struct):
    service: str
    weight: float = 1.0


class _WireRoute(msgspec.Struct, rename='kebab'):
    # A route without a traffic split sends all requests to its service.
    # Priority 0 is the most urgent. The gap target is the time between two
    # events of a stream that counts as on time.
    name: str
    host: str
    prefix: str
    kind: str = 'unsafe'
    timeout_ms: float = _DEFAULT_TIMEOUT_MS
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ''
    traffic_split: list[_WireSplit] = []
    max_attempts: int = 1
    auth_exempt: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0
    allowed_regions: list[str] = []


class _WireModel(msgspec.Struct):
    name: str


class _WireEngine(msgspec.Struct, rename='kebab'):
    slots: int
    # The memory for KV cache, in tokens; the name states no unit.
    kv_capacity: int
    models: list[_WireModel] = []


class _WireService(msgspec.Struct, rename='kebab'):
    name: str
    max_connections: int = 100
    engine: _WireEngine | None = None
    cold_start_s: _Amount = 0.0
    cold_per_s: _Amount = 0.0
    # The zone is the data centre of the KV cache store.
    kv_store_addr: str = ''
    zone: str = ''


class _WireLimits(msgspec.Struct, rename='kebab', frozen=True):
    max_header_bytes: int = 65536
    max_body_bytes: int = 4194304


class _WireTenant(msgspec.Struct, rename='kebab'):
    name: str
    api_keys: list[str] = []
    priority: int = 0
    # The charge of a request that states no tokens.
    plain_tokens: int = 0
    isolated: bool = False
    # The rate is in tokens a second, 0 for no limit; the burst in tokens.
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] = []


class _WireConfiguration(msgspec.Struct):
    version: Number
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    limits: _WireLimits = _WireLimits()
    # Requests need API keys if the field is there, even if it is empty.
    tenants: list[_WireTenant] | msgspec.UnsetType = msgspec.UNSET


class _WireLoadedModel(msgspec.Struct):
    name: str
    version: Number


class _WireTarget(msgspec.Struct, rename='kebab'):
    service: str
    address: str
    zone: str = ''
    # Of the target's software.
    version: int | str = ''
    cold_remaining_ms: float = 0.0
    slots: Number = 1
    state: str = _READY
    # The time at which the target started, in milliseconds since 1970.
    born: Number = 0
    models: list[_WireLoadedModel] = []


_configuration_decoder = msgspec.json.Decoder(_WireConfiguration)
_target_decoder = msgspec.json.Decoder(_WireTarget)


class _WireAnnouncement(msgspec.Struct):
    model: str
    version: Number


class _WireEvacuation(msgspec.Struct):
    # The key names the zone; the body has no fields yet.
    pass


_evacuation_decoder = msgspec.json.Decoder(_WireEvacuation)
_announcement_decoder = msgspec.json.Decoder(_WireAnnouncement)


def _make_route(wire_route: _WireRoute) -> Route:
    splits = tuple(
        TrafficSplit(s.service, s.weight) for s in wire_route.traffic_split
    )
    if not splits:
        splits = (TrafficSplit(wire_route.service, 1.0),)
    return Route(
        wire_route.name,
        wire_route.host.lower(),
        wire_route.prefix,
        RouteKind(wire_route.kind),
        wire_route.timeout_ms * _S_PER_MS,
        wire_route.target_latency_ms * _S_PER_MS,
        wire_route.priority,
        splits,
        max(1, wire_route.max_attempts),
        wire_route.auth_exempt,
        wire_route.resumable,
        wire_route.gap_target_ms * _S_PER_MS,
        tuple(wire_route.allowed_regions),
    )


def _make_service(wire_service: _WireService) -> Service:
    engine = None
    if wire_service.engine is not None:
        models = tuple(m.name for m in wire_service.engine.models)
        engine = EngineSpec(
            wire_service.engine.slots, wire_service.engine.kv_capacity, models
        )
    cold_per_s, cold_start = wire_service.cold_per_s, wire_service.cold_start_s
    if not (math.isfinite(cold_per_s) and math.isfinite(cold_start)):
        raise ValueError('a number of a service is not finite')
    return Service(
        wire_service.name,
        wire_service.max_connections,
        engine,
        cold_per_s,
        cold_start,
    )


def _make_workspace(tenant: _WireTenant) -> Workspace:
    return Workspace(
        tenant.name,
        tenant.priority,
        tenant.isolated,
        tenant.rate_per_s,
        tenant.burst,
        tenant.plain_tokens,
        tuple(tenant.allowed_regions),
    )


def _group_routes_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=lambda r: -len(r.prefix)))
        for host, host_routes in by_host.items()
    }


def decode_configuration(value: bytes) -> Configuration:
    """Decode the operators' configuration; raises ``BadDocumentError``."""
    try:
        document = _configuration_decoder.decode(value)
        routes = [_make_route(r) for r in document.routes]
        services = [_make_service(s) for s in document.services]
        stores = tuple(
            KvCacheStore(parse_address(s.kv_store_addr), s.zone)
            for s in document.services
            if s.kv_store_addr
        )
    except _DECODE_ERRORS as error:
        raise BadDocumentError(f'malformed configuration: {error}') from error
    requires_key = document.tenants is not msgspec.UNSET
    tenants = document.tenants or []
    workspaces = {t.name: _make_workspace(t) for t in tenants}
    keys = {k: workspaces[t.name] for t in tenants for k in t.api_keys}
    limits = document.limits
    return Configuration(
        document.version,
        _group_routes_by_host(routes),
        {s.name: s for s in services},
        workspaces,
        keys,
        requires_key,
        make_isolation([t.name for t in tenants if t.isolated]),
        stores,
        RequestLimits(limits.max_header_bytes, limits.max_body_bytes),
    )


def decode_target(key: str, value: bytes) -> Target:
    """Decode the row by which a target registers itself.

    ``key`` is the incarnation, which requests to the target carry in a
    header. Raises ``BadDocumentError``.
    """
    if not (key and key.isascii() and key.isprintable()):
        raise BadDocumentError(f'target {key!r} can not be named in a header')
    try:
        document = _target_decoder.decode(value)
        address = parse_address(document.address)
    except _DECODE_ERRORS as error:
        raise BadDocumentError(
            f'malformed row of target {key}: {error}'
        ) from error
    if document.state not in (_READY, _DRAINING):
        raise BadDocumentError(
            f'unknown state of target {key}: {document.state}'
        )
    return Target(
        key,
        document.born,
        document.service,
        address,
        document.zone,
        max(1, document.slots),
        document.state == _DRAINING,
        {m.name: m.version for m in document.models},
        str(document.version),
        document.cold_remaining_ms * _S_PER_MS,
    )


def is_weights_key(key: str) -> bool:
    """Return whether an operators' row with this key announces weights."""
    return key.startswith(_ANNOUNCEMENT_PREFIX)


def decode_announcement(value: bytes) -> WeightsAnnouncement:
    """Decode an announcement of weights; raises ``BadDocumentError``."""
    try:
        document = _announcement_decoder.decode(value)
    except _DECODE_ERRORS as error:
        raise BadDocumentError(
            f'malformed weights announcement: {error}'
        ) from error
    return WeightsAnnouncement(document.model, document.version)


def is_evacuation_key(key: str) -> bool:
    """Return whether an operators' row with this key is an evacuation."""
    return key.startswith(_EVACUATION_PREFIX)


def read_evacuated(key: str) -> str:
    """Return the data centre that a row with this key evacuates.

    Raises ``BadDocumentError`` if the key names none.
    """
    data_centre = key.removeprefix(_EVACUATION_PREFIX)
    if not data_centre:
        raise BadDocumentError('an evacuation names no data centre')
    return data_centre


def check_evacuation(value: bytes) -> None:
    """Raise ``BadDocumentError`` if the body of an evacuation is odd."""
    try:
        _evacuation_decoder.decode(value)
    except _DECODE_ERRORS as error:
        raise BadDocumentError(f'malformed evacuation: {error}') from error


__all__ = [
    'BadDocumentError',
    'check_evacuation',
    'CONFIGURATION_KEY',
    'decode_announcement',
    'decode_configuration',
    'decode_target',
    'is_evacuation_key',
    'is_weights_key',
    'Number',
    'OPERATOR_TABLE',
    'read_evacuated',
    'TARGET_TABLE',
    'WeightsAnnouncement',
]
