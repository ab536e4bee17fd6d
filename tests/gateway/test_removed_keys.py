"""API keys are required as long as the configuration has workspaces."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import NamedTuple

from deployments import Deployment
from deployments import make_configuration
from deployments import wait_until
from lentilrun.gateway.node import Node
import msgspec
import pytest

_KEYS = ('key-1', 'key-2')
_NEVER_HELD_KEY = 'key-3'
_UNAUTHORIZED = 401
_OK = 200


class _RemovalCase(NamedTuple):
    """The workspaces after a change, and what callers with any key get.

    Without ``tenants``, the field is not in the configuration.
    """

    tenants: list[dict[str, Any]] | None
    expected_status: int


_CASES = {
    'all_keys': _RemovalCase(
        [{'name': 'north', 'api-keys': []}, {'name': 'south', 'api-keys': []}],
        _UNAUTHORIZED,
    ),
    'all_key_lists': _RemovalCase([{'name': 'north'}], _UNAUTHORIZED),
    'all_workspaces': _RemovalCase([], _UNAUTHORIZED),
    'not_used': _RemovalCase(None, _OK),
}


def _make_changed(version: int, case: _RemovalCase) -> dict[str, Any]:
    configuration = make_configuration(version, tenants=case.tenants)
    if case.tenants is None:
        del configuration['tenants']
    for route in configuration['routes']:
        route['auth-exempt'] = route['prefix'] == '/talk/'
    return configuration


async def _change(deployment: Deployment, case: _RemovalCase) -> None:
    """Write workspaces with keys, then those of a case."""
    tenants = [
        {'name': n, 'api-keys': [k]}
        for n, k in zip(('north', 'south'), _KEYS, strict=True)
    ]
    await deployment.put_in_force(make_configuration(2, tenants=tenants))
    await deployment.put_in_force(_make_changed(3, case))


@pytest.mark.parametrize('case', _CASES.values(), ids=_CASES)
def test_no_key_is_left(case: _RemovalCase) -> None:
    """Guards against running requests with any key once none is left."""

    async def body() -> None:
        async with Deployment() as deployment:
            app = deployment.add_replica('a1', 'app')
            deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            await _change(deployment, case)
            for key in (*_KEYS, _NEVER_HELD_KEY, ''):
                response = await deployment.ask(
                    node, '/once/x', b'x', Api_Key=key
                )
                assert response.status == case.expected_status
            expected_runs = 4 if case.expected_status == _OK else 0
            assert len(app.runs) == expected_runs
            exempt = await deployment.ask(
                node, '/talk/x', b'{}', '100,5', Api_Key=_NEVER_HELD_KEY
            )
            assert exempt.status == _OK

    asyncio.run(body())


def test_forwarded_call_without_a_valid_key() -> None:
    """Guards against a helper that runs a call once no key is left."""

    async def body() -> None:
        async with Deployment() as deployment:
            app = deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            helper = await deployment.start_node('vm2')
            await wait_until(lambda: bool(node.peers.list_responsive()))
            await _change(deployment, _CASES['all_keys'])
            # The helper's port for other VMs takes what a VM stated there.
            headers = {
                'Lentilrun-Forwarded': msgspec.json.encode(
                    ['vm1', 3, 0.0, False]
                ).decode(),
                'Api-Key': _NEVER_HELD_KEY,
            }
            request = deployment.make_request('/once/x', b'x', '', headers)
            status = await _ask_peer_port(helper, request)
            assert status == _UNAUTHORIZED
            assert not app.runs

    asyncio.run(body())


async def _ask_peer_port(node: Node, request: bytes) -> int:
    """Return the status of a request to the port for other VMs."""
    reader, writer = await asyncio.open_connection(
        node.settings.host, node.settings.peer_port
    )
    try:
        writer.write(request)
        line = await reader.readline()
        return int(line.split()[1])
    finally:
        writer.close()
