"""Keys are taken away until no tenant has one; who may then send requests?

Two tenants with a key each. The operator takes away one key, then the
other. Afterwards requests come with the keys that were taken away, and with
one that no configuration ever held.
"""

from __future__ import annotations

import asyncio
import pathlib
import secrets

import fleet
from backend import Backend
from fleet import Fleet
from fleet import Record
import messages

_KEYS = {'north': 'wu3fexd9dnn2ctnfzs98', 'south': '9anu6wsjnbanfqasnmgk'}
_UNKNOWN_KEY = 'this-key-was-never-set'
_GAP_S = 1.5
# Of the pages: revoke-ms; longer than config-ms.
_REVOKE_S = 5.0
_REQUESTS = 5


def _configure(system: Fleet, keys: dict[str, list[str]]) -> None:
    routes = [
        fleet.make_route('post', '/fiti832/', 'unsafe', 'app'),
        fleet.make_route('look', '/filo73/', 'safe', 'app'),
    ]
    services = [
        {
            'name': 'app',
            'health-path': '/health',
            'max-connections': 110,
            'protocol': 'h1',
            'tls': False,
        }
    ]
    tenants = [fleet.make_tenant(n, keys[n]) for n in _KEYS]
    system.configure(routes=routes, services=services, tenants=tenants)


async def _send(system: Fleet, record: Record, key: str) -> None:
    for router in system.routers:
        request_id = secrets.token_hex(8)
        headers = {
            'Host': fleet.HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '1500',
            'Api-Key': key,
        }
        response = await messages.send(
            router.ip, router.front, 'POST', '/fiti832/2f', headers, b'{}'
        )
        record.write(
            'sent',
            id=request_id,
            key=key,
            router=router.name,
            status=response.status,
        )


async def _case(record: Record, is_calm: bool) -> bool:
    backends = [Backend(f'i-{n}', 'app') for n in range(2)]
    async with Fleet(2, backends) as system:
        _configure(system, {n: [k] for n, k in _KEYS.items()})
        await system.start()
        held = {n: [k] for n, k in _KEYS.items()}
        for key in (*_KEYS.values(), _UNKNOWN_KEY):
            await _send(system, record, key)
        if not is_calm:
            for name in _KEYS:
                held[name] = []
                _configure(system, held)
                record.write('key_taken_away', tenant=name)
                await asyncio.sleep(_GAP_S)
        await asyncio.sleep(_REVOKE_S)
        since = asyncio.get_running_loop().time()
        for _ in range(_REQUESTS):
            for key in (*_KEYS.values(), _UNKNOWN_KEY):
                await _send(system, record, key)
        return _judge(system, record, since)


def _judge(system: Fleet, record: Record, since: float) -> bool:
    """Return whether a request ran whose key no configuration ever held."""
    for run in system.list_runs():
        record.write(
            'run',
            id=run.request_id,
            server=run.server,
            tenant=run.headers.get('x-tenant-id'),
            late=run.at >= since,
        )
    sent = {
        line['id']: line['key']
        for line in record.lines
        if line['event'] == 'sent'
    }
    unknown = [
        r.request_id
        for r in system.list_runs()
        if sent.get(r.request_id) == _UNKNOWN_KEY
    ]
    record.write('verdict', ran_with_a_key_never_held=unknown)
    return bool(unknown)


if __name__ == '__main__':
    raise SystemExit(
        fleet.main(_case, pathlib.Path(__file__).parent, 100.0)
    )
