"""What must hold again once nothing goes wrong any more."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import MODEL
from lentilrun.standins.configuration import ONE_RUN_PATH
from lentilrun.standins.configuration import PLAIN_PATH
from lentilrun.standins.configuration import STREAM_PATH
from lentilrun.standins.configuration import UNSAFE_PATH

from .promises import Broken
from .promises import check_cuts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .callers import Callers
    from .site import Site

# The bounds that the users set for this deployment, in seconds.
_RECOVERY_S = 12.0
_VERSION_S = 8.0
_CONFIG_S = 2.0
_DRAIN_S = 2.0
# A change binds a VM that has been in touch for so long.
_STABLE_S = 3.0
_LOOK_S = 0.1
_OTHER_KEY = 'key-2'
_OK = 200
_UNAUTHORIZED = 401
_WATCHED_S = 0.5


def _make_tenants(*keys: str) -> list[dict[str, object]]:
    return [
        {
            'name': 'workspace',
            'api-keys': list(keys),
            'plain-tokens': 200,
            'rate-per-s': 200000,
            'burst': 200000,
        }
    ]


async def _check_recovery(site: Site, callers: Callers) -> list[Broken]:
    """Every VM serves every kind of request within the bound."""
    loop = asyncio.get_running_loop()
    until = loop.time() + _RECOVERY_S
    broken = []
    for vm in site.vms:
        with callers.make_caller(vm) as caller:
            for path in (
                PLAIN_PATH,
                UNSAFE_PATH,
                STREAM_PATH,
                ONE_RUN_PATH,
            ):
                record = await caller.ask(path)
                while record.status != _OK and loop.time() < until:
                    await asyncio.sleep(_LOOK_S)
                    record = await caller.ask(path)
                if record.status != _OK:
                    broken.append(
                        Broken('recovery', vm.name, f'{path} {record.status}')
                    )
    return broken


async def _check_weights(site: Site) -> list[Broken]:
    """All engines have the newest weights within the bound."""
    loop = asyncio.get_running_loop()
    until = loop.time() + _VERSION_S
    site.name_weights()
    while loop.time() < until:
        if not list(_find_old(site)):
            return []
        await asyncio.sleep(_LOOK_S)
    return list(_find_old(site))


def _find_old(site: Site) -> Iterator[Broken]:
    for name, state in site.replicas.items():
        version = state.versions.get(MODEL, site.weights)
        if version != site.weights:
            yield Broken('newest weights', name, str(version))


async def _check_keys(site: Site, callers: Callers) -> list[Broken]:
    """A key works once it was added, and no more once withdrawn."""
    broken = []
    for keys, status in (
        ((KEY, _OTHER_KEY), _OK),
        ((KEY,), _UNAUTHORIZED),
    ):
        site.configure(tenants=_make_tenants(*keys))
        await asyncio.sleep(_CONFIG_S)
        for vm in site.vms:
            with callers.make_caller(vm) as caller:
                record = await caller.ask(PLAIN_PATH, _OTHER_KEY)
            if record.status != status:
                broken.append(
                    Broken('configuration', vm.name, str(record.status))
                )
    return broken


async def _check_drain(site: Site) -> list[Broken]:
    """A leaving target gets nothing new after the bound."""
    site.register('a1', 'draining')
    await asyncio.sleep(_DRAIN_S)
    before = len(site.replicas['a1'].runs)
    await asyncio.sleep(_WATCHED_S)
    after = site.replicas['a1'].runs[before:]
    site.register('a1')
    return [Broken('drain', 'a1', r.request_id) for r in after]


async def _check_shutdown(site: Site, callers: Callers) -> list[Broken]:
    """A graceful shutdown cuts no request and ends with code 0."""
    vm = site.vms[0]
    began = asyncio.get_running_loop().time()
    await vm.end(signal.SIGTERM)
    broken = list(check_cuts(callers.records, site.runs(), vm.name, began))
    assert vm.process is not None
    if vm.process.returncode != 0:
        code = str(vm.process.returncode)
        broken.append(Broken('graceful shutdown', vm.name, f'exit {code}'))
    await vm.start()
    return broken


async def check_calm(site: Site, callers: Callers) -> list[Broken]:
    """Return what does not hold although nothing goes wrong any more."""
    for state in site.replicas.values():
        state.plan.fault = ''
        state.plan.late_orders = 0
    site.configure(tenants=_make_tenants(KEY))
    broken = await _check_recovery(site, callers)
    await asyncio.sleep(_STABLE_S)
    broken += await _check_weights(site)
    broken += await _check_keys(site, callers)
    broken += await _check_drain(site)
    broken += await _check_shutdown(site, callers)
    return broken


__all__ = ['check_calm']
