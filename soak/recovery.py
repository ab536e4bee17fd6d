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

from .invariants import check_aborted_requests
from .invariants import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .callers import CallerPool
    from .deployment import Deployment

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


async def _check_service(
    deployment: Deployment, callers: CallerPool
) -> list[Violation]:
    """Every VM serves every kind of request within the bound."""
    loop = asyncio.get_running_loop()
    until = loop.time() + _RECOVERY_S
    broken = []
    for vm in deployment.vms:
        with callers.make_caller(vm) as caller:
            for path in (
                PLAIN_PATH,
                UNSAFE_PATH,
                STREAM_PATH,
                ONE_RUN_PATH,
            ):
                record = await caller.send_request(path)
                while record.status != _OK and loop.time() < until:
                    await asyncio.sleep(_LOOK_S)
                    record = await caller.send_request(path)
                if record.status != _OK:
                    broken.append(
                        Violation(
                            'recovery', vm.name, f'{path} {record.status}'
                        )
                    )
    return broken


async def _check_weights(deployment: Deployment) -> list[Violation]:
    """All engines have the newest weights within the bound."""
    loop = asyncio.get_running_loop()
    until = loop.time() + _VERSION_S
    deployment.announce_weights()
    while loop.time() < until:
        if not list(_find_old(deployment)):
            return []
        await asyncio.sleep(_LOOK_S)
    return list(_find_old(deployment))


def _find_old(deployment: Deployment) -> Iterator[Violation]:
    for name, state in deployment.replicas.items():
        version = state.versions.get(MODEL, deployment.weights_version)
        if version != deployment.weights_version:
            yield Violation('newest weights', name, str(version))


async def _check_keys(
    deployment: Deployment, callers: CallerPool
) -> list[Violation]:
    """A key works once it was added, and no more once withdrawn."""
    broken = []
    for keys, status in (
        ((KEY, _OTHER_KEY), _OK),
        ((KEY,), _UNAUTHORIZED),
    ):
        deployment.configure(tenants=_make_tenants(*keys))
        await asyncio.sleep(_CONFIG_S)
        for vm in deployment.vms:
            with callers.make_caller(vm) as caller:
                record = await caller.send_request(PLAIN_PATH, _OTHER_KEY)
            if record.status != status:
                broken.append(
                    Violation('configuration', vm.name, str(record.status))
                )
    return broken


async def _check_drain(deployment: Deployment) -> list[Violation]:
    """A leaving target gets nothing new after the bound."""
    deployment.register('a1', 'draining')
    await asyncio.sleep(_DRAIN_S)
    before = len(deployment.replicas['a1'].runs)
    await asyncio.sleep(_WATCHED_S)
    after = deployment.replicas['a1'].runs[before:]
    deployment.register('a1')
    return [Violation('drain', 'a1', r.request_id) for r in after]


async def _check_shutdown(
    deployment: Deployment, callers: CallerPool
) -> list[Violation]:
    """A graceful shutdown cuts no request and ends with code 0."""
    vm = deployment.vms[0]
    began = asyncio.get_running_loop().time()
    await vm.stop(signal.SIGTERM)
    broken = list(
        check_aborted_requests(
            callers.records, deployment.runs(), vm.name, began
        )
    )
    assert vm.process is not None
    if vm.process.returncode != 0:
        code = str(vm.process.returncode)
        broken.append(Violation('graceful shutdown', vm.name, f'exit {code}'))
    await vm.start()
    return broken


async def check_recovery(
    deployment: Deployment, callers: CallerPool
) -> list[Violation]:
    """Return what does not hold although nothing goes wrong any more."""
    for state in deployment.replicas.values():
        state.plan.fault = ''
        state.plan.late_orders = 0
    deployment.configure(tenants=_make_tenants(KEY))
    broken = await _check_service(deployment, callers)
    await asyncio.sleep(_STABLE_S)
    broken += await _check_weights(deployment)
    broken += await _check_keys(deployment, callers)
    broken += await _check_drain(deployment)
    broken += await _check_shutdown(deployment, callers)
    return broken


__all__ = ['check_recovery']
