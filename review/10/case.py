"""A request that crashes servers, and all router processes are killed twice.

The request comes every five seconds, at one machine or the other. Once it has
crashed three servers it is to be sent on no more than three times.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import secrets
import signal
import time

from enginebackend import EngineBackend
import fleet
from fleet import Fleet
from fleet import Record
import messages

_MODEL = 'daka510000'
_KEY = 'wu3fexd9dnn2ctnfzs98'
_SERVERS = 6
_CRASHES = 3
_MAX_RETRIES = 3
_STABLE_WINDOW_S = 3.0
# A crashed server is back after this time.
_DOWN_S = 3.0
_PREFILL_S = 0.05
_POISON = f'{"c" * 8}:400'
_POISON_INTERVAL_S = 5.0
_POISONS_BEFORE = 3
_KILLS = 2
_POISONS_AFTER = 3
# Between the last of these requests and a kill.
_KILL_DELAY_S = 0.5
_RESTART_S = 0.3
_RATE_PER_S = 15.0
_EVENTS = 30
_EVENT_PAUSE_S = 0.04


class CrashingEngine(EngineBackend):
    """A model server that the poisonous request crashes."""

    def __init__(self, name: str) -> None:
        super().__init__(name, 'llm', _MODEL)
        self.event_count = _EVENTS
        self.event_pause_s = _EVENT_PAUSE_S
        # When the poisonous request arrived and when it crashed the server.
        self.poisons: list[float] = []
        self.crashes: list[float] = []
        self._connections: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    async def handle(
        self, request: messages.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, unless it crashes the server."""
        self._connections.add(writer)
        await super().handle(request, writer)

    async def run(
        self, request: messages.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request."""
        if _POISON not in request.headers.get('x-prefix-hash', ''):
            await super().run(request, writer)
            return
        self.poisons.append(time.monotonic())
        self.record(request)
        await asyncio.sleep(_PREFILL_S)
        self.crash()

    def crash(self) -> None:
        """Break off all connections and refuse others for some seconds."""
        self.crashes.append(time.monotonic())
        assert self._server is not None
        self._server.close()
        for connection in self._connections:
            connection.transport.abort()
        self._connections.clear()
        for task in list(self._tasks):
            task.cancel()
        self._restart = asyncio.ensure_future(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(_DOWN_S)
        self.born = int(time.time() * 1e3)
        self.makers.clear()
        self._slots = asyncio.Semaphore(self.slots)
        self._waiting = 0
        await self.__aenter__()


def _configure(system: Fleet) -> None:
    routes = [
        fleet.make_route(
            'vet',
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
    tenants = [fleet.make_tenant('t', [_KEY])]
    system.configure(routes=routes, services=services, tenants=tenants)


async def _send(
    system: Fleet, record: Record, number: int, parts: str, body: bytes
) -> None:
    router = system.routers[number % len(system.routers)]
    request_id = secrets.token_hex(8)
    headers = {
        'Host': fleet.HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '5000',
        'X-Model': _MODEL,
        'X-Token-Usage': f'826,{_EVENTS}',
        'X-Prefix-Hash': parts,
        'Api-Key': _KEY,
    }
    response = await messages.send(
        router.ip, router.front, 'POST', '/lepu270/2f', headers, body, 6.0
    )
    record.write(
        'sent',
        id=request_id,
        crashes=_POISON in parts,
        router=router.name,
        status=response.status,
        is_whole=response.body.count(b'\n\n') == _EVENTS,
    )


async def _load(system: Fleet, record: Record) -> None:
    """Send sound requests, whose prompts share nothing with the other."""
    tasks: set[asyncio.Task[None]] = set()
    try:
        while True:
            parts = f'5c1e07a2:198,{secrets.token_hex(4)}:628'
            number = random.randrange(len(system.routers))
            task = asyncio.ensure_future(
                _send(system, record, number, parts, b'{}')
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1.0 / _RATE_PER_S)
    finally:
        await asyncio.gather(*tasks)


async def _send_poison(system: Fleet, record: Record, count: int) -> None:
    """Send the request some times, at each machine in turn."""
    for number in range(count):
        await asyncio.sleep(_POISON_INTERVAL_S)
        parts = f'{_POISON},{"d" * 8}:426'
        await _send(system, record, number, parts, b'{"crash":1}')


async def _kill_all(system: Fleet, record: Record) -> None:
    await asyncio.sleep(_KILL_DELAY_S)
    for router in system.routers:
        router.signal(signal.SIGKILL)
    record.write('killed', routers=len(system.routers))
    for router in system.routers:
        assert router.process is not None
        await router.process.wait()
    await asyncio.sleep(_RESTART_S)
    for router in system.routers:
        await router.start()
    for router in system.routers:
        await router.wait_until_ready()
    record.write('ready')


async def _case(record: Record, is_calm: bool) -> bool:
    engines = [CrashingEngine(f'i-{n}') for n in range(_SERVERS)]
    async with Fleet(2, list(engines)) as system:
        _configure(system)
        system.write_operator_row(
            f'version/{_MODEL}', {'model': _MODEL, 'version': 1}
        )
        await system.start()
        load = asyncio.ensure_future(_load(system, record))
        ready_at = [time.monotonic()]
        await _send_poison(system, record, _POISONS_BEFORE)
        for _ in range(_KILLS):
            if not is_calm:
                await _kill_all(system, record)
                ready_at.append(time.monotonic())
            await _send_poison(system, record, _POISONS_AFTER)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        return _judge(record, engines, ready_at)


def _judge(
    record: Record, engines: list[CrashingEngine], ready_at: list[float]
) -> bool:
    """Return whether the request reached servers in too many retries.

    Those count that machines in touch sent later than the stable window
    after the third crash.
    """
    crashes = sorted(at for e in engines for at in e.crashes)
    for engine in engines:
        for run in engine.runs:
            record.write('run', id=run.request_id, server=run.server)
        record.write('server', name=engine.name, crashes=len(engine.crashes))
    retries = []
    for at in sorted(at for e in engines for at in e.poisons):
        is_late = (
            len(crashes) >= _CRASHES
            and at > crashes[_CRASHES - 1] + _STABLE_WINDOW_S
        )
        started = max(r for r in ready_at if r <= at)
        is_in_touch = at > started + _STABLE_WINDOW_S
        record.write('arrival', late=is_late, in_touch=is_in_touch)
        if is_late and is_in_touch:
            retries.append(at)
    sound = [
        line
        for line in record.lines
        if line['event'] == 'sent' and not line['crashes']
    ]
    record.write(
        'verdict',
        crashes=len(crashes),
        retries_that_count=len(retries),
        sound_requests=len(sound),
        sound_not_whole=sum(not line['is_whole'] for line in sound),
    )
    return len(retries) > _MAX_RETRIES


if __name__ == '__main__':
    raise SystemExit(
        fleet.main(_case, pathlib.Path(__file__).parent, 110.0)
    )
