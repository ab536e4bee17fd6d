"""Checks that must pass after the injected faults have stopped."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import MODEL
from lentilrun.standins.configuration import NON_RESUMABLE_PATH
from lentilrun.standins.configuration import RESUMABLE_PATH
from lentilrun.standins.configuration import SAFE_PATH
from lentilrun.standins.configuration import UNSAFE_PATH

from .invariants import check_aborted_requests
from .invariants import Violation
from .replicaprocesses import NON_RESUMABLE_PREFIX
from .replicaprocesses import RESUMABLE_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .callers import CallerPool
    from .deployment import Deployment

# Bounds that the users of this deployment require.
_RECOVERY_TIMEOUT_S = 12.0
_WEIGHTS_TIMEOUT_S = 8.0
_CONFIGURATION_TIMEOUT_S = 2.0
_DRAIN_TIMEOUT_S = 2.0
# A change is binding only for a VM that has been in contact this long.
_MIN_CONTACT_S = 3.0
_POLL_INTERVAL_S = 0.1
_SECOND_KEY = 'key-2'
_OK = 200
_UNAUTHORIZED = 401
_OBSERVATION_S = 0.5
_PATHS = (SAFE_PATH, UNSAFE_PATH, RESUMABLE_PATH, NON_RESUMABLE_PATH)
# Streams of three events.
_PROCESS_PATHS = (f'{RESUMABLE_PREFIX}0-3', f'{NON_RESUMABLE_PREFIX}0-3')


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
    """Check that every VM serves every kind of route within the bound."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + _RECOVERY_TIMEOUT_S
    violations = []
    paths = _PATHS + (_PROCESS_PATHS if deployment.processes else ())
    for vm in deployment.vms:
        with callers.make_caller(vm) as caller:
            for path in paths:
                record = await caller.send_request(path)
                while record.status != _OK and loop.time() < give_up_at:
                    await asyncio.sleep(_POLL_INTERVAL_S)
                    record = await caller.send_request(path)
                if record.status != _OK:
                    violations.append(
                        Violation(
                            'recovery', vm.name, f'{path} {record.status}'
                        )
                    )
    return violations


async def _check_weights(deployment: Deployment) -> list[Violation]:
    """Check that all engines load announced weights within the bound."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + _WEIGHTS_TIMEOUT_S
    deployment.announce_weights()
    while loop.time() < give_up_at:
        if not list(_find_outdated_engines(deployment)):
            return []
        await asyncio.sleep(_POLL_INTERVAL_S)
    return list(_find_outdated_engines(deployment))


def _find_outdated_engines(deployment: Deployment) -> Iterator[Violation]:
    for name, state in deployment.replicas.items():
        version = state.versions.get(MODEL, deployment.weights_version)
        if version != deployment.weights_version:
            yield Violation('newest weights', name, str(version))


async def _check_keys(
    deployment: Deployment, callers: CallerPool
) -> list[Violation]:
    """Check that an added key is accepted and a withdrawn one rejected."""
    violations = []
    for keys, status in (
        ((KEY, _SECOND_KEY), _OK),
        ((KEY,), _UNAUTHORIZED),
    ):
        deployment.configure(tenants=_make_tenants(*keys))
        await asyncio.sleep(_CONFIGURATION_TIMEOUT_S)
        for vm in deployment.vms:
            with callers.make_caller(vm) as caller:
                record = await caller.send_request(SAFE_PATH, _SECOND_KEY)
            if record.status != status:
                violations.append(
                    Violation('configuration', vm.name, str(record.status))
                )
    return violations


async def _check_drain(deployment: Deployment) -> list[Violation]:
    """Check that a draining target gets no requests after the bound."""
    deployment.register('a1', 'draining')
    await asyncio.sleep(_DRAIN_TIMEOUT_S)
    runs_before = len(deployment.replicas['a1'].runs)
    await asyncio.sleep(_OBSERVATION_S)
    late_runs = deployment.replicas['a1'].runs[runs_before:]
    deployment.register('a1')
    return [Violation('drain', 'a1', r.request_id) for r in late_runs]


async def _check_shutdown(
    deployment: Deployment, callers: CallerPool
) -> list[Violation]:
    """Check that a graceful shutdown aborts no request and exits with 0."""
    vm = deployment.vms[0]
    stopped_at = asyncio.get_running_loop().time()
    await vm.stop(signal.SIGTERM)
    violations = list(
        check_aborted_requests(
            callers.records, deployment.runs(), vm.name, stopped_at
        )
    )
    assert vm.process is not None
    if vm.process.returncode != 0:
        code = str(vm.process.returncode)
        violations.append(
            Violation('graceful shutdown', vm.name, f'exit {code}')
        )
    await vm.start()
    return violations


async def check_recovery(
    deployment: Deployment, callers: CallerPool
) -> list[Violation]:
    """Clear the replicas' faults and return what fails without faults."""
    for state in deployment.replicas.values():
        state.plan.fault = ''
        state.plan.delayed_orders = 0
    deployment.configure(tenants=_make_tenants(KEY))
    violations = await _check_service(deployment, callers)
    await asyncio.sleep(_MIN_CONTACT_S)
    violations += await _check_weights(deployment)
    violations += await _check_keys(deployment, callers)
    violations += await _check_drain(deployment)
    violations += await _check_shutdown(deployment, callers)
    return violations


__all__ = ['check_recovery']
