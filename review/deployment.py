"""A small deployment: the store, plain servers, routers, and a record."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import time
from types import TracebackType
from typing import Any
from typing import Awaitable
from typing import Callable

from .proxy import Proxy
from .replica import Replica
from .router import Router
from .store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'gudang.example'
SAFE_PREFIX = '/stock/'
UNSAFE_PREFIX = '/reserve/'
KEY = 'key-of-toko'
TENANT = 'toko'
_SERVICE = 'gudang-app'
_TIME_LIMIT_S = 110.0


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._since = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line with its time in seconds since the start."""
        now = time.monotonic() if at is None else at
        self._file.write(f'{now - self._since:8.3f} {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line here and on standard output."""
        self.write(text)
        print(text, flush=True)


def make_configuration(version: int, timeout_ms: int) -> dict[str, Any]:
    """Return a configuration with a safe and an unsafe route."""
    kinds = {'safe': SAFE_PREFIX, 'unsafe': UNSAFE_PREFIX}
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{kind}',
                'host': HOST,
                'prefix': prefix,
                'kind': kind,
                'service': _SERVICE,
                'timeout-ms': timeout_ms,
                'target-latency-ms': 125,
                'priority': 2,
                'max-attempts': 2 if kind == 'safe' else 1,
            }
            for kind, prefix in kinds.items()
        ],
        'services': [
            {
                'name': _SERVICE,
                'health-path': '/health',
                'max-connections': 110,
            }
        ],
        'limits': {
            'max-header-bytes': 65536,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 5000,
            'idle-timeout-ms': 30000,
        },
        'tenants': [
            {
                'name': TENANT,
                'api-keys': [KEY],
                'plain-tokens': 200,
                'rate-per-s': 0,
                'burst': 0,
                'isolated': False,
            }
        ],
    }


class Deployment:
    """Owns the stand-ins and the processes; ends all of them on exit."""

    def __init__(
        self,
        names: list[str],
        replicas: int = 3,
        timeout_ms: int = 800,
        work_s: float = 0.0225,
        memory_mb: int = 150,
    ) -> None:
        """Start a router for each name, as ``front-ZONE-NUMBER``."""
        self._stack = contextlib.AsyncExitStack()
        self._timeout_ms = timeout_ms
        self._memory_mb = memory_mb
        self.store = Store()
        zones = ('solo', 'jepara', 'garut')
        self.replicas = [
            Replica(self.store, _SERVICE, zones[n % 3], work_s, 6)
            for n in range(replicas)
        ]
        self._names = names
        self.routers: dict[str, Router] = {}
        self.store_proxies: dict[str, Proxy] = {}

    async def __aenter__(self) -> Deployment:
        folder = pathlib.Path(
            self._stack.enter_context(
                tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
            )
        )
        await self.store.server.start()
        self._stack.callback(self.store.server.stop)
        configuration = make_configuration(1, self._timeout_ms)
        self.store.put('op', 'config', configuration)
        for replica in self.replicas:
            await replica.start()
            self._stack.callback(replica.server.stop)
        for name in self._names:
            proxy = Proxy(self.store.server.port)
            await proxy.start()
            self._stack.callback(proxy.stop)
            self.store_proxies[name] = proxy
            zone = name.split('-')[1]
            router = Router(name, zone, proxy.port, folder, self._memory_mb)
            self.routers[name] = router
            await router.start()
            self._stack.push_async_callback(router.kill)
        for router in self.routers.values():
            if not await router.wait_until_ready():
                log = router.log_path.read_text()[-2000:]
                raise CannotRun(f'{router.name} is not ready: {log}')
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for router in self.routers.values():
                target = pathlib.Path(keep) / f'{router.name}.log'
                target.write_bytes(router.log_path.read_bytes())
        await self._stack.aclose()


def run(
    folder: pathlib.Path,
    play: Callable[[Record, bool], Awaitable[bool]],
) -> None:
    """Play a case and exit with 1 if the rule was broken, and 0 if not.

    ``play`` gets the record, and whether there is trouble; it returns
    whether the rule held.
    """
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play_in_time() -> bool:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(_TIME_LIMIT_S):
            return await play(record, has_trouble)

    try:
        held = asyncio.run(play_in_time())
    except (
        CannotRun,
        OSError,
        TimeoutError,
        asyncio.CancelledError,
    ) as error:
        record.say(f'the case could not run: {error!r}')
        sys.exit(NOT_RUN)
    record.say('the rule held' if held else 'the rule was broken')
    sys.exit(HELD if held else BROKEN)
