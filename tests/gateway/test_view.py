"""VMs apply rows of the store, and keep the newest versions."""

from __future__ import annotations

import asyncio

from deployments import Deployment
from deployments import make_configuration
from deployments import wait_until
import msgspec
import pytest


def test_configuration_is_in_force_and_stays() -> None:
    """A newer version comes into force, an older one does not."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            deployment.configure(make_configuration(5, tenants=[]))
            view = node.view
            await wait_until(lambda: view.configuration.version == 5)
            deployment.configure(make_configuration(3))
            deployment.configure(make_configuration(6))
            await wait_until(lambda: view.configuration.version == 6)

    asyncio.run(body())


def test_withdrawn_key_is_refused() -> None:
    """A key that the configuration no longer has gets 401."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            assert (await deployment.ask(node, '/plain/x')).status == 200
            other = [{'name': 'workspace', 'api-keys': ['key-2']}]
            deployment.configure(make_configuration(2, tenants=other))
            await wait_until(lambda: node.view.configuration.version == 2)
            assert (await deployment.ask(node, '/plain/x')).status == 401

    asyncio.run(body())


@pytest.mark.parametrize('is_compacted', [False, True])
def test_deleted_target_is_removed(is_compacted: bool) -> None:
    """A deleted row removes its target, even if the history is lost."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            deployment.add_replica('a2', 'app')
            node = await deployment.start_node('vm1')
            assert set(node.targets.states) == {'a1', 'a2'}
            deployment.store.put('servers', 'a2', None)
            if is_compacted:
                deployment.store.compact()
            await wait_until(lambda: set(node.targets.states) == {'a1'})

    asyncio.run(body())


@pytest.mark.parametrize(
    'value',
    [
        b'\xff',
        b'{}',
        b'{"service":"app","address":7}',
        b'{"service":"app","address":"127.0.0.1:1","state":"odd"}',
    ],
)
def test_malformed_rows_add_no_target(value: bytes) -> None:
    """A malformed row is skipped; the others are applied."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.store.put('servers', 'ghost', value)
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            assert set(node.targets.states) == {'a1'}

    asyncio.run(body())


def test_expired_rows_outlive_an_outage() -> None:
    """Targets whose rows expired in a store outage may register again."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            rows = node.target_rows
            deployment.store.faults.is_down = True
            await wait_until(rows.has_lost_store)
            deletion = deployment.store.put('servers', 'a1', None)
            deployment.store.faults.is_down = False
            await wait_until(lambda: rows.newest_row_version >= deletion)
            assert (await deployment.ask(node, '/plain/x')).status == 200
            deployment.register('a1', 'app')
            await asyncio.sleep(2.5)
            assert set(node.targets.states) == {'a1'}

    asyncio.run(body())


def test_malformed_configuration_leaves_the_last_in_force() -> None:
    """A row that can't be decoded changes nothing."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            node = await deployment.start_node('vm1')
            deployment.store.put('op', 'config', b'{"version":')
            deployment.store.put(
                'op', 'version/model', msgspec.json.encode({'model': 3})
            )
            await asyncio.sleep(0.1)
            assert (await deployment.ask(node, '/plain/x')).status == 200

    asyncio.run(body())
