"""The settings file that the platform writes for a router process."""

from __future__ import annotations

import ipaddress
import math
import tomllib
from typing import Annotated
from typing import NamedTuple

import msgspec

from ..config.ini import Address
from ..config.ini import parse_address
from ..decisions.regions import NO_REGIONS
from ..decisions.regions import RegionMap
from ..errors import Code
from ..errors import LentilrunError

PATH_VARIABLE = 'LENTILRUN_CONFIG'
_S_PER_MS = 1e-3
_BYTES_PER_MB = 1_000_000
_DEFAULT_MEMORY_MB = 128
_DEFAULT_MAX_FDS = 4096
_DEFAULT_EXPOSURE_SHARE = 0.1
_DEFAULT_EXPOSURE_SLACK = 50.0
# A day is longer than the other limits, so that it changes none of them.
_DEFAULT_EVACUATION_MS = 86_400_000.0
_DEFAULT_STABLE_WINDOW_MS = 0.0


class Bounds(NamedTuple):
    """The limits that the users set; times in seconds.

    ``lease_gap`` is the time for which a target must have received no order
    from one VM before another VM may send it one. ``retry_ratio`` and
    ``retry_slack`` limit the retries of all VMs together in
    ``retry_window``. ``quota_overage`` is a share of a workspace's rate and
    burst, ``quota_slack`` is in tokens. Of the requests during a roll-out,
    a bad version may get ``exposure_share`` and ``exposure_slack`` more. An
    evacuation must be in force within ``evacuation_limit``. A cold target may
    get ``cold_overage`` times its rate and ``cold_slack`` requests in a
    second; it is not limited where both are 0. A VM must keep limits on times
    once it has run undisturbed for ``undisturbed_time``; where it is 0,
    undated announcements count as past their limit.
    """

    drain: float
    shutdown_grace: float
    configuration_limit: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    quota_window: float
    quota_overage: float
    quota_slack: float
    lease_gap: float
    stale_weights_limit: float
    exposure_share: float = _DEFAULT_EXPOSURE_SHARE
    exposure_slack: float = _DEFAULT_EXPOSURE_SLACK
    evacuation_limit: float = _DEFAULT_EVACUATION_MS * _S_PER_MS
    undisturbed_time: float = 0.0
    cold_overage: float = 0.0
    cold_slack: float = 0.0

    def change_limit(self) -> float:
        """Return the time in which any row must be in force, in seconds."""
        return min(
            self.configuration_limit,
            self.drain,
            self.stale_weights_limit,
            self.evacuation_limit,
        )


class NodeSettings(NamedTuple):
    """The settings of a router process.

    ``power`` is in processor cores, ``memory_bytes`` and ``descriptors`` the
    most that the process may use; ``host`` is the IP of the VM. ``regions``
    holds the region of each data centre, its own one included. It
    ``is_first_start`` if the whole system starts for the first time.
    """

    name: str
    host: str
    data_centre: str
    power: float
    entry: Address
    readiness: Address
    peer_port: int
    store: Address
    bounds: Bounds
    memory_bytes: int = _DEFAULT_MEMORY_MB * _BYTES_PER_MB
    descriptors: int = _DEFAULT_MAX_FDS
    regions: RegionMap = NO_REGIONS
    is_first_start: bool = True


class BadSettingsError(LentilrunError):
    """The settings file is unreadable or invalid."""

    code = Code.INVALID_FILE


_Amount = Annotated[float, msgspec.Meta(ge=0.0)]
_Positive = Annotated[float, msgspec.Meta(gt=0.0)]
_Descriptors = Annotated[int, msgspec.Meta(gt=0)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class _WireListen(msgspec.Struct):
    front: str
    readiness: str


class _WireLimits(msgspec.Struct, rename='kebab'):
    cpu_share: _Positive
    cores: _Positive
    memory_mb: _Positive = _DEFAULT_MEMORY_MB
    max_fds: _Descriptors = _DEFAULT_MAX_FDS


class _WirePlatform(msgspec.Struct):
    address: str


class _WireBounds(msgspec.Struct, rename='kebab'):
    drain_ms: _Amount
    grace_s: _Amount
    config_ms: _Amount
    retry_budget_ratio: _Amount
    budget_slack: _Amount
    budget_window_s: _Amount
    quota_window_s: _Amount
    quota_overage: _Amount
    quota_slack: _Amount
    lease_ms: _Amount
    version_ms: _Amount
    exposure_share: _Amount = _DEFAULT_EXPOSURE_SHARE
    exposure_slack: _Amount = _DEFAULT_EXPOSURE_SLACK
    evacuation_ms: _Amount = _DEFAULT_EVACUATION_MS
    cold_overage: _Amount = 0.0
    cold_slack: _Amount = 0.0
    stable_window_ms: _Amount = _DEFAULT_STABLE_WINDOW_MS


class _WireSettings(msgspec.Struct, rename='kebab'):
    node: _Name
    ip: str
    zone: _Name
    internal_ports: Annotated[list[_Port], msgspec.Meta(min_length=1)]
    listen: _WireListen
    limits: _WireLimits
    platform: _WirePlatform
    bounds: _WireBounds
    region: str = ''
    zones: dict[str, str] = {}
    bootstrap: bool = True


def _make_bounds(wire: _WireBounds) -> Bounds:
    bounds = Bounds(
        drain=wire.drain_ms * _S_PER_MS,
        shutdown_grace=float(wire.grace_s),
        configuration_limit=wire.config_ms * _S_PER_MS,
        retry_ratio=float(wire.retry_budget_ratio),
        retry_slack=float(wire.budget_slack),
        retry_window=float(wire.budget_window_s),
        quota_window=float(wire.quota_window_s),
        quota_overage=float(wire.quota_overage),
        quota_slack=float(wire.quota_slack),
        lease_gap=wire.lease_ms * _S_PER_MS,
        stale_weights_limit=wire.version_ms * _S_PER_MS,
        exposure_share=float(wire.exposure_share),
        exposure_slack=float(wire.exposure_slack),
        evacuation_limit=wire.evacuation_ms * _S_PER_MS,
        cold_overage=float(wire.cold_overage),
        cold_slack=float(wire.cold_slack),
        undisturbed_time=wire.stable_window_ms * _S_PER_MS,
    )
    if not all(map(math.isfinite, bounds)):
        raise ValueError('a bound is not finite')
    return bounds


def _make_settings(wire: _WireSettings) -> NodeSettings:
    """Return the settings; raises ``ValueError`` or ``OverflowError``."""
    ipaddress.ip_address(wire.ip)
    power = wire.limits.cpu_share * wire.limits.cores
    if not math.isfinite(power):
        raise ValueError('the number of processors is not finite')
    return NodeSettings(
        name=wire.node,
        host=wire.ip,
        data_centre=wire.zone,
        power=power,
        entry=parse_address(wire.listen.front),
        readiness=parse_address(wire.listen.readiness),
        peer_port=wire.internal_ports[0],
        store=parse_address(wire.platform.address),
        bounds=_make_bounds(wire.bounds),
        memory_bytes=math.ceil(wire.limits.memory_mb * _BYTES_PER_MB),
        descriptors=wire.limits.max_fds,
        regions=RegionMap(
            wire.zones, wire.region or wire.zones.get(wire.zone, '')
        ),
        is_first_start=wire.bootstrap,
    )


def parse(text: str) -> NodeSettings:
    """Parse the text of the settings; raises ``BadSettingsError``."""
    try:
        document = tomllib.loads(text)
        return _make_settings(msgspec.convert(document, _WireSettings))
    except (
        msgspec.MsgspecError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as error:
        message = f'invalid settings: {error!r}'
        raise BadSettingsError(message) from error


def load(path: str) -> NodeSettings:
    """Read a settings file; raises ``BadSettingsError``."""
    try:
        with open(path, encoding='utf-8') as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as error:
        message = f'{path} is unreadable: {error}'
        raise BadSettingsError(message) from error


__all__ = [
    'BadSettingsError',
    'Bounds',
    'load',
    'NodeSettings',
    'parse',
    'PATH_VARIABLE',
]
