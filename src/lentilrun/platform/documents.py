"""Decoding of what operators and targets write into the store."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..config.ini import parse_address
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
_WEIGHTS_PREFIX = 'version/'
_MS = 1e-3
_DEFAULT_TIMEOUT_MS = 30_000.0
_DRAINING = 'draining'
_READY = 'ready'


class BadDocumentError(LentilrunError):
    """A row of the operators or of a target can't be read."""

    code = Code.INVALID_FILE


class WeightsAnnouncement(NamedTuple):
    """The version that all engines are to bring a model to."""

    model: str
    version: int


class _WireSplit(msgspec.Struct):
    service: str
    weight: float = 1.0


class _WireRoute(msgspec.Struct, rename='kebab'):
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


class _WireModel(msgspec.Struct):
    name: str


class _WireEngine(msgspec.Struct, rename='kebab'):
    slots: int
    # In tokens, although the name speaks of a capacity without a unit.
    kv_capacity: int
    models: list[_WireModel] = []


class _WireService(msgspec.Struct, rename='kebab'):
    name: str
    max_connections: int = 100
    engine: _WireEngine | None = None
    kv_store_addr: str = ''
    zone: str = ''


class _WireLimits(msgspec.Struct, rename='kebab', frozen=True):
    max_header_bytes: int = 65536
    max_body_bytes: int = 4194304


class _WireTenant(msgspec.Struct, rename='kebab'):
    name: str
    api_keys: list[str] = []
    priority: int = 0
    plain_tokens: int = 0
    isolated: bool = False
    rate_per_s: float = 0.0
    burst: float = 0.0


class _WireConfiguration(msgspec.Struct):
    version: int
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    limits: _WireLimits = _WireLimits()
    tenants: list[_WireTenant] = []


class _WireHeldModel(msgspec.Struct):
    name: str
    version: int


class _WireTarget(msgspec.Struct, rename='kebab'):
    service: str
    address: str
    zone: str = ''
    slots: int = 1
    state: str = _READY
    born: int = 0
    models: list[_WireHeldModel] = []


_configuration_decoder = msgspec.json.Decoder(_WireConfiguration)
_target_decoder = msgspec.json.Decoder(_WireTarget)


class _WireWeights(msgspec.Struct):
    model: str
    version: int


_weights_decoder = msgspec.json.Decoder(_WireWeights)


def _make_route(found: _WireRoute) -> Route:
    splits = tuple(
        TrafficSplit(s.service, s.weight) for s in found.traffic_split
    )
    if not splits:
        splits = (TrafficSplit(found.service, 1.0),)
    return Route(
        found.name,
        found.host.lower(),
        found.prefix,
        RouteKind(found.kind),
        found.timeout_ms * _MS,
        found.target_latency_ms * _MS,
        found.priority,
        splits,
        max(1, found.max_attempts),
        found.auth_exempt,
        found.resumable,
        found.gap_target_ms * _MS,
    )


def _make_service(found: _WireService) -> Service:
    engine = None
    if found.engine is not None:
        models = tuple(m.name for m in found.engine.models)
        engine = EngineSpec(
            found.engine.slots, found.engine.kv_capacity, models
        )
    return Service(found.name, found.max_connections, engine)


def _make_workspace(found: _WireTenant) -> Workspace:
    return Workspace(
        found.name,
        found.priority,
        found.isolated,
        found.rate_per_s,
        found.burst,
        found.plain_tokens,
    )


def _sort_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
        for host, found in by_host.items()
    }


def decode_configuration(value: bytes) -> Configuration:
    """Read what operators declare; raises ``BadDocumentError``."""
    try:
        found = _configuration_decoder.decode(value)
        routes = [_make_route(r) for r in found.routes]
        stores = tuple(
            KvCacheStore(parse_address(s.kv_store_addr), s.zone)
            for s in found.services
            if s.kv_store_addr
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadDocumentError(f'odd configuration: {error}') from error
    services = [_make_service(s) for s in found.services]
    workspaces = {t.name: _make_workspace(t) for t in found.tenants}
    keys = {k: workspaces[t.name] for t in found.tenants for k in t.api_keys}
    limits = found.limits
    return Configuration(
        found.version,
        _sort_routes(routes),
        {s.name: s for s in services},
        workspaces,
        keys,
        stores,
        RequestLimits(limits.max_header_bytes, limits.max_body_bytes),
    )


def decode_target(key: str, value: bytes) -> Target:
    """Read what a target says of itself; raises ``BadDocumentError``."""
    try:
        found = _target_decoder.decode(value)
        address = parse_address(found.address)
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadDocumentError(f'odd entry of {key}: {error}') from error
    if found.state not in (_READY, _DRAINING):
        raise BadDocumentError(f'odd state of {key}: {found.state}')
    return Target(
        key,
        found.born,
        found.service,
        address,
        found.zone,
        max(1, found.slots),
        found.state == _DRAINING,
        {m.name: m.version for m in found.models},
    )


def is_weights_key(key: str) -> bool:
    """Return whether a row of the operators names weights."""
    return key.startswith(_WEIGHTS_PREFIX)


def decode_announcement(value: bytes) -> WeightsAnnouncement:
    """Read which weights are wanted; raises ``BadDocumentError``."""
    try:
        found = _weights_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise BadDocumentError(f'odd weights: {error}') from error
    return WeightsAnnouncement(found.model, found.version)


__all__ = [
    'BadDocumentError',
    'CONFIGURATION_KEY',
    'decode_announcement',
    'decode_configuration',
    'decode_target',
    'is_weights_key',
    'OPERATOR_TABLE',
    'TARGET_TABLE',
    'WeightsAnnouncement',
]
