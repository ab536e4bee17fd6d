"""Workspaces that become isolated share no cached segments any more."""

from __future__ import annotations

import asyncio
from typing import Any

from deployments import Deployment
from deployments import make_configuration
from lentilrun.gateway.node import Node
from lentilrun.standins.configuration import MODEL
import pytest

_TOKENS = '1000,20'
_KEYS = {'north': 'key-1', 'south': 'key-2'}
_STORE = '127.0.0.1:9'


def _make_isolating(version: int, *isolated: str) -> dict[str, Any]:
    tenants = [
        {'name': n, 'api-keys': [k], 'isolated': n in isolated}
        for n, k in _KEYS.items()
    ]
    configuration = make_configuration(version, tenants=tenants)
    store = {'name': 'kv', 'zone': 'a', 'kv-store-addr': _STORE}
    configuration['services'].append(store)
    return configuration


async def _list_salts(
    deployment: Deployment, node: Node, workspace: str
) -> set[str]:
    """Return the salts of a workspace's requests, with those it saves."""
    engine = deployment.replicas['e1']
    engine.runs.clear()
    for _ in range(2):
        response = await deployment.ask(
            node, '/talk/x', b'{}', _TOKENS, Api_Key=_KEYS[workspace]
        )
        assert response.status == 200
    return {r.headers['X-Cache-Salt'] for r in engine.runs}


@pytest.mark.parametrize('isolated', ['north', 'south'])
def test_cache_from_before_is_not_used(isolated: str) -> None:
    """Guards against segments of a workspace that others still find."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            await deployment.put_in_force(_make_isolating(2))
            before = await _list_salts(deployment, node, 'north')
            assert before == await _list_salts(deployment, node, 'south')
            await deployment.put_in_force(_make_isolating(3, isolated))
            # This VM has not seen the configurations before.
            late_node = await deployment.start_node('vm2')
            salts = {
                n: await _list_salts(deployment, node, n)
                | await _list_salts(deployment, late_node, n)
                for n in _KEYS
            }
            assert all(len(s) == 1 for s in salts.values())
            assert not before & (salts['north'] | salts['south'])
            assert salts['north'] != salts['south']
            await deployment.put_in_force(_make_isolating(4))
            released = await _list_salts(deployment, node, 'north')
            assert released == await _list_salts(deployment, node, 'south')
            assert not released & (salts['north'] | salts['south'])

    asyncio.run(body())


@pytest.mark.parametrize('isolated', [(), ('north',), ('north', 'south')])
def test_prompt_without_stated_tokens(isolated: tuple[str, ...]) -> None:
    """Guards against a call without a salt: one cache is shared by all."""

    async def body() -> None:
        async with Deployment() as deployment:
            for name in ('e1', 'e2'):
                deployment.add_replica(name, 'llm')
            node = await deployment.start_node('vm1')
            await deployment.put_in_force(_make_isolating(2, *isolated))
            salts: dict[str, set[str]] = {n: set() for n in _KEYS}
            for workspace in [*_KEYS] * 6:
                response = await deployment.ask(
                    node,
                    '/talk/x',
                    b'{}',
                    Api_Key=_KEYS[workspace],
                    X_Model=MODEL,
                    X_Prefix_Hash='aa:500,bb:300,cc:200',
                )
                assert response.status == 200
            for name, engine in deployment.replicas.items():
                assert engine.runs, name
                for run in engine.runs:
                    salt = run.headers['X-Cache-Salt']
                    salts[run.headers['X-Tenant-Id']].add(f'{name}:{salt}')
                    assert salt
            if isolated:
                assert not salts['north'] & salts['south']
            texts = [s.partition(':')[2] for s in salts['south']]
            # The version is not known, so each engine has its own segments.
            assert len(texts) == len(set(texts)) == 2

    asyncio.run(body())
