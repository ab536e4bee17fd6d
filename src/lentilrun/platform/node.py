"""The settings file that the platform writes for a router process."""

from __future__ import annotations

import tomllib
from typing import Any
from typing import NamedTuple

from ..config.ini import Address
from ..config.ini import parse_address
from ..errors import Code
from ..errors import LentilrunError

PATH_VARIABLE = 'LENTILRUN_CONFIG'
_BYTES_PER_MB = 1_000_000
_DEFAULT_MEMORY_MB = 128
_DEFAULT_EXPOSURE_SHARE = 0.1
_DEFAULT_EXPOSURE_SLACK = 50.0


class Bounds(NamedTuple):
    """The limits that the users set; times in seconds.

    ``lease_gap`` is the time for which a target must have received no order
    from one VM before another VM may send it one. ``retry_ratio`` and
    ``retry_slack`` limit the retries of all VMs together in
    ``retry_window``. ``quota_overage`` is a share of a workspace's rate and
    burst, ``quota_slack`` is in tokens. Of the requests during a roll-out,
    a bad version may get ``exposure_share`` and ``exposure_slack`` more.
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


class NodeSettings(NamedTuple):
    """The settings of a router process.

    ``power`` is in processor cores, ``memory_bytes`` the most that the
    process may use; ``host`` is the IP of the VM.
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


class BadSettingsError(LentilrunError):
    """The settings file is unreadable or invalid."""

    code = Code.INVALID_FILE


_S_PER_MS = 1e-3


def _parse_bounds(table: dict[str, Any]) -> Bounds:
    return Bounds(
        drain=table['drain-ms'] * _S_PER_MS,
        shutdown_grace=float(table['grace-s']),
        configuration_limit=table['config-ms'] * _S_PER_MS,
        retry_ratio=float(table['retry-budget-ratio']),
        retry_slack=float(table['budget-slack']),
        retry_window=float(table['budget-window-s']),
        quota_window=float(table['quota-window-s']),
        quota_overage=float(table['quota-overage']),
        quota_slack=float(table['quota-slack']),
        lease_gap=table['lease-ms'] * _S_PER_MS,
        stale_weights_limit=table['version-ms'] * _S_PER_MS,
        exposure_share=float(
            table.get('exposure-share', _DEFAULT_EXPOSURE_SHARE)
        ),
        exposure_slack=float(
            table.get('exposure-slack', _DEFAULT_EXPOSURE_SLACK)
        ),
    )


def parse(text: str) -> NodeSettings:
    """Parse the text of the settings; raises ``BadSettingsError``."""
    try:
        document = tomllib.loads(text)
        return NodeSettings(
            name=document['node'],
            host=document['ip'],
            data_centre=document['zone'],
            power=document['limits']['cpu-share']
            * document['limits']['cores'],
            entry=parse_address(document['listen']['front']),
            readiness=parse_address(document['listen']['readiness']),
            peer_port=int(document['internal-ports'][0]),
            store=parse_address(document['platform']['address']),
            bounds=_parse_bounds(document['bounds']),
            memory_bytes=_BYTES_PER_MB
            * int(document['limits'].get('memory-mb', _DEFAULT_MEMORY_MB)),
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
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
