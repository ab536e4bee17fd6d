"""A small configuration, as the platform's operators write it."""

from __future__ import annotations

from typing import Any

MODEL = 'model'
KEY = 'key-1'
HOST = 'example'
PLAIN_PATH = '/plain/x'
UNSAFE_PATH = '/once/x'
STREAM_PATH = '/talk/x'
ONE_RUN_PATH = '/chat/x'


def _make_route(prefix: str, kind: str, service: str, **more: Any) -> Any:
    return {
        'name': prefix.strip('/'),
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout-ms': 3000,
        'target-latency-ms': 500,
        'service': service,
        'max-attempts': 2,
        **more,
    }


def make_configuration(version: int, **more: Any) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    engine = {'slots': 8, 'kv-capacity': 60000, 'models': [{'name': MODEL}]}
    found: dict[str, Any] = {
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
    found.update(more)
    return found


__all__ = [
    'HOST',
    'KEY',
    'make_configuration',
    'MODEL',
    'ONE_RUN_PATH',
    'PLAIN_PATH',
    'STREAM_PATH',
    'UNSAFE_PATH',
]
