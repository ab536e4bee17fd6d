"""Rows of a small deployment: configuration, weights and targets."""

from __future__ import annotations

from typing import Any

import msgspec

MODEL = 'model'
KEY = 'key-1'
HOST = 'example'
SAFE_PATH = '/plain/x'
UNSAFE_PATH = '/once/x'
RESUMABLE_PATH = '/talk/x'
NON_RESUMABLE_PATH = '/chat/x'
_SLOTS = 8


def _make_route(prefix: str, kind: str, service: str, **overrides: Any) -> Any:
    return {
        'name': prefix.strip('/'),
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout-ms': 3000,
        'target-latency-ms': 500,
        'service': service,
        'max-attempts': 2,
        **overrides,
    }


def make_configuration(version: int, **overrides: Any) -> dict[str, Any]:
    """Return a configuration; ``overrides`` replace its top-level keys."""
    engine = {
        'slots': _SLOTS,
        'kv-capacity': 60000,
        'models': [{'name': MODEL}],
    }
    configuration: dict[str, Any] = {
        'version': version,
        'routes': [
            _make_route('/plain/', 'safe', 'app'),
            _make_route('/once/', 'unsafe', 'app'),
            _make_route('/talk/', 'streaming', 'llm', resumable=True),
            _make_route('/chat/', 'streaming', 'llm'),
        ],
        'services': [
            {'name': 'llm', 'max-connections': 100, 'engine': engine},
            {'name': 'app', 'max-connections': 100},
        ],
        'limits': {'max-body-bytes': 1 << 20},
        'tenants': [
            {
                'name': 'workspace',
                'api-keys': [KEY],
                'plain-tokens': 200,
                'rate-per-s': 50000,
                'burst': 50000,
            }
        ],
    }
    configuration.update(overrides)
    return configuration


def make_weights_announcement(version: int) -> bytes:
    """Return the row that announces a version of the model's weights."""
    return msgspec.json.encode({'model': MODEL, 'version': version})


def make_rollout_order(service: str, version: str, seconds: float) -> bytes:
    """Return the row that orders the roll-out of a software version."""
    return msgspec.json.encode(
        {'service': service, 'to': version, 'duration-s': seconds}
    )


def make_evacuation_key(data_centre: str) -> str:
    """Return the key of the row that evacuates a data centre."""
    return f'evacuate/{data_centre}'


def make_target_row(
    service: str,
    address: str,
    versions: dict[str, int],
    state: str,
    born: int = 0,
    software_version: str = 'v1',
    data_centre: str = 'a',
    cold_remaining_ms: float = 0.0,
) -> bytes:
    """Return the row with which a replica registers itself.

    ``versions`` holds the weights version of each model, ``born`` the
    replica's start time in milliseconds. The replica is cold for
    ``cold_remaining_ms`` milliseconds.
    """
    return msgspec.json.encode(
        {
            'service': service,
            'address': address,
            'zone': data_centre,
            'version': software_version,
            'slots': _SLOTS,
            'state': state,
            'born': born,
            'cold-remaining-ms': cold_remaining_ms,
            'models': [{'name': n, 'version': v} for n, v in versions.items()],
        }
    )


__all__ = [
    'HOST',
    'KEY',
    'make_configuration',
    'make_evacuation_key',
    'make_rollout_order',
    'make_target_row',
    'make_weights_announcement',
    'MODEL',
    'NON_RESUMABLE_PATH',
    'RESUMABLE_PATH',
    'SAFE_PATH',
    'UNSAFE_PATH',
]
