"""A tenant becomes isolated; what its requests left in caches stays shared.

Two tenants send prompts with the same first part. Then a configuration sets
``isolated`` for the tenant whose requests made that part, and the other
tenant goes on.
"""

from __future__ import annotations

import asyncio
import pathlib
import secrets

from enginebackend import EngineBackend
import fleet
from fleet import Fleet
from fleet import Record
import messages

_MODEL = 'daka510000'
_KEYS = {'north': 'wu3fexd9dnn2ctnfzs98', 'south': '9anu6wsjnbanfqasnmgk'}
_SHARED_PARTS = ('5c1e07a2:2520', '91bd3f06:3780')
_REQUESTS = 8
_PAUSE_S = 0.1
# Three times config-ms.
_SETTLE_S = 3.0 * fleet.CONFIG_S


def _configure(system: Fleet, isolated: tuple[str, ...]) -> None:
    routes = [
        fleet.make_route(
            'chat',
            '/lepu270/',
            'streaming',
            'llm',
            **{
                'timeout-ms': 5000,
                'target-latency-ms': 1000,
                'max-attempts': 2,
                'sticky-sessions': True,
                'resumable': True,
                'gap-target-ms': 500,
            },
        )
    ]
    engine = {
        'slots': 48,
        'kv-capacity': 69174,
        'kv-token-bytes': 131072,
        'link-mbps': 1100000.0,
        'moves': True,
        'backups': True,
        'stride': 5,
        'max-in-flight': 12,
        'pin-ms': 4000.0,
        'hold-ms': 2000.0,
        'handle_s': 5.0,
        'models': [{'name': _MODEL}],
    }
    services = [
        {
            'name': 'llm',
            'health-path': '/health',
            'max-connections': 300,
            'protocol': 'h1',
            'tls': False,
            'engine': engine,
        }
    ]
    tenants = [
        fleet.make_tenant(n, [k], isolated=n in isolated)
        for n, k in _KEYS.items()
    ]
    system.configure(routes=routes, services=services, tenants=tenants)


async def _send(system: Fleet, record: Record, tenant: str) -> None:
    for _ in range(_REQUESTS):
        for router in system.routers:
            request_id = secrets.token_hex(8)
            own = f'{secrets.token_hex(4)}:100'
            headers = {
                'Host': fleet.HOST,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '5000',
                'X-Model': _MODEL,
                'X-Token-Usage': '6400,10',
                'X-Prefix-Hash': ','.join((*_SHARED_PARTS, own)),
                'Api-Key': _KEYS[tenant],
            }
            response = await messages.send(
                router.ip, router.front, 'POST', '/lepu270/2f', headers, b'{}'
            )
            record.write(
                'sent',
                id=request_id,
                tenant=tenant,
                router=router.name,
                status=response.status,
            )
            await asyncio.sleep(_PAUSE_S)


async def _case(record: Record, is_calm: bool) -> bool:
    engines = [EngineBackend(f'i-{n}', 'llm', _MODEL) for n in range(2)]
    async with Fleet(2, list(engines)) as system:
        _configure(system, ())
        system.write_operator_row(
            f'version/{_MODEL}', {'model': _MODEL, 'version': 1}
        )
        await system.start()
        await _send(system, record, 'north')
        isolated = () if is_calm else ('north',)
        _configure(system, isolated)
        record.write('configured', isolated=isolated)
        await asyncio.sleep(_SETTLE_S)
        counts = [len(e.uses) for e in engines]
        await _send(system, record, 'south')
        await _send(system, record, 'north')
        late = [
            u
            for engine, count in zip(engines, counts, strict=True)
            for u in engine.uses[count:]
        ]
        return _judge(record, late, isolated)


def _judge(record: Record, late: list, isolated: tuple[str, ...]) -> bool:
    """Return whether a request used another tenant's part behind the wall."""
    broken = []
    for use in late:
        record.write('use', **use._asdict())
        tenants = {use.tenant, use.made_by}
        if len(tenants) > 1 and tenants & set(isolated):
            broken.append(use.request_id)
    record.write('verdict', used_parts_of_an_isolated_tenant=broken)
    return bool(broken)


if __name__ == '__main__':
    raise SystemExit(
        fleet.main(_case, pathlib.Path(__file__).parent, 100.0)
    )
