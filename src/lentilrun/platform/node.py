"""The settings file that the platform writes for a process."""

from __future__ import annotations

import tomllib
from typing import Any
from typing import NamedTuple

from ..config.ini import Address
from ..config.ini import parse_address
from ..errors import Code
from ..errors import LentilrunError

PATH_VARIABLE = 'LENTILRUN_CONFIG'


class Bounds(NamedTuple):
    """The limits that the users set; times in seconds.

    ``lease_gap`` is the time for which a target must have heard no order
    of one VM before another may give it one. ``retry_ratio`` and
    ``retry_slack`` limit all VMs together in ``retry_window``.
    ``quota_slack`` is in tokens.
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


class NodeSettings(NamedTuple):
    """What a process learns of its place; ``power`` in cores."""

    name: str
    host: str
    data_centre: str
    power: float
    entry: Address
    readiness: Address
    peer_port: int
    store: Address
    bounds: Bounds


class BadSettingsError(LentilrunError):
    """The settings file can't be used."""

    code = Code.INVALID_FILE


_MS = 1e-3


def _read_bounds(found: dict[str, Any]) -> Bounds:
    return Bounds(
        drain=found['drain-ms'] * _MS,
        shutdown_grace=float(found['grace-s']),
        configuration_limit=found['config-ms'] * _MS,
        retry_ratio=float(found['retry-budget-ratio']),
        retry_slack=float(found['budget-slack']),
        retry_window=float(found['budget-window-s']),
        quota_window=float(found['quota-window-s']),
        quota_overage=float(found['quota-overage']),
        quota_slack=float(found['quota-slack']),
        lease_gap=found['lease-ms'] * _MS,
        stale_weights_limit=found['version-ms'] * _MS,
    )


def parse(text: str) -> NodeSettings:
    """Read the settings; raises ``BadSettingsError``."""
    try:
        found = tomllib.loads(text)
        return NodeSettings(
            name=found['node'],
            host=found['ip'],
            data_centre=found['zone'],
            power=found['limits']['cpu-share'] * found['limits']['cores'],
            entry=parse_address(found['listen']['front']),
            readiness=parse_address(found['listen']['readiness']),
            peer_port=int(found['internal-ports'][0]),
            store=parse_address(found['platform']['address']),
            bounds=_read_bounds(found['bounds']),
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        text = f'the settings are not usable: {error!r}'
        raise BadSettingsError(text) from error


def load(path: str) -> NodeSettings:
    """Read a settings file; raises ``BadSettingsError``."""
    try:
        with open(path, encoding='utf-8') as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as error:
        text = f'{path} can not be read: {error}'
        raise BadSettingsError(text) from error


__all__ = [
    'BadSettingsError',
    'Bounds',
    'load',
    'NodeSettings',
    'parse',
    'PATH_VARIABLE',
]
