"""One engine's answer never ends; callers of other services wait."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile

from lentilrun.standins import replica
from tornado.httpserver import HTTPServer

from review.standins3.client import Outcome
from review.standins3.client import request
from review.standins3.fleet import LOOPBACK
from review.standins3.fleet import pick_port
from review.standins3.fleet import Record
from review.standins3.fleet import ROOT
from review.standins3.fleet import Router
from review.standins3.fleet import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
_FOLDER = pathlib.Path(__file__).parent
_VERSION = 2
# The routes' ``timeout-ms``, in seconds, and the rule's half second.
_TIMEOUT_S = 3.0
_SLACK_S = 0.5
# Clients give up only after the rule's time is over.
_PATIENCE_S = 5.0
_BEFORE_S = 5.0
_DURING_S = 20.0
_PAUSE_S = 0.1
_ENGINES = ('e1', 'e2', 'e3')
# The client has the first two events of a stream that was cut.
_STREAM_HEADERS = {
    'X-Model': 'model',
    'X-Token-Usage': '100,6',
    'X-Prefix-Hash': '5c1e07a2:60,91bd3f06:40',
    'Last-Event-Id': '2',
}


class Case:
    """Runs the deployment and its callers."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self._folder = folder
        self._record = record
        self._trouble_file = folder / 'trouble'
        self._store = Store()
        self._router = Router('front-a-1', folder, self._store.port)
        self._engines: list[asyncio.subprocess.Process] = []
        self._asked: list[tuple[Outcome, bool]] = []
        self._ready: list[bool] = []

    async def __aenter__(self) -> Case:
        self._store.configure(3)
        self._store.name_weights(_VERSION)
        for name in ('a1', 'a2'):
            state = replica.ReplicaState(name, {})
            state.plan.echoes_request_id = True
            port = pick_port()
            HTTPServer(replica.make_application(state)).listen(port, LOOPBACK)
            self._store.register(name, 'app', port, {})
        for name in _ENGINES:
            await self._start_engine(name)
        await self._router.start()
        return self

    async def _start_engine(self, name: str) -> None:
        port = pick_port()
        with open(self._folder / f'{name}.log', 'wb') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / 'review' / 'standins3' / 'endlessengine.py'),
                name,
                str(port),
                str(_VERSION),
                # Only one of them is in trouble.
                str(self._trouble_file if name == 'e1' else '/nonexistent'),
                stdout=log,
                stderr=log,
            )
        self._engines.append(process)
        self._store.register(name, 'llm', port, {'model': _VERSION})

    async def __aexit__(self, *_: object) -> None:
        await self._router.kill()
        for process in self._engines:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        for name in _ENGINES:
            text = (self._folder / f'{name}.log').read_text()
            for line in text.splitlines():
                self._record.write(f'engine {name}: {line}')
        self._store.close()

    async def _ask(self, path: str, headers: dict[str, str] | None) -> None:
        prefix = 's' if headers else 'p'
        outcome = await request(
            self._router.entry,
            path,
            prefix,
            _PATIENCE_S,
            int(_PATIENCE_S * 1e3),
            headers,
            'POST' if headers else 'GET',
        )
        self._record.write(
            f'{path} {outcome.request_id} status {outcome.status} whole '
            f'{outcome.complete} after {outcome.seconds:.3f} s'
        )
        self._asked.append((outcome, headers is None))

    async def _send(self, seconds: float) -> None:
        """Send plain requests and streams for some time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        tasks = []
        while loop.time() < until:
            tasks.append(asyncio.create_task(self._ask('/plain/x', None)))
            tasks.append(
                asyncio.create_task(self._ask('/talk/x', _STREAM_HEADERS))
            )
            await asyncio.sleep(_PAUSE_S)
        await asyncio.gather(*tasks)

    async def _probe(self) -> None:
        """Ask for readiness each second, as the platform does."""
        while True:
            is_ready = await self._router.is_ready()
            self._ready.append(is_ready)
            self._record.write(f'ready {is_ready}')
            await asyncio.sleep(1.0)

    async def run(self, has_trouble: bool) -> int:
        """Return the exit code."""
        await self._router.wait_until_ready()
        await self._send(_BEFORE_S)
        plain = [o for o, is_plain in self._asked if is_plain]
        if sum(o.status == 200 for o in plain) < len(plain) * 0.9:
            self._record.write('the deployment does not serve')
            return NOT_RUN
        self._asked.clear()
        if has_trouble:
            self._trouble_file.touch()
            self._record.write('e1 sends bytes without end from now on')
        probe = asyncio.create_task(self._probe())
        await self._send(_DURING_S)
        probe.cancel()
        return self._judge()

    def _judge(self) -> int:
        """Judge the requests that lasted longer than ``timeout-ms``."""
        plain = [o for o, is_plain in self._asked if is_plain]
        lasting = [
            o for o, _ in self._asked if o.seconds > _TIMEOUT_S or not o.status
        ]
        unanswered = [
            o
            for o in lasting
            if not o.complete and o.seconds > _TIMEOUT_S + _SLACK_S
        ]
        lost = [o for o in plain if not o.status]
        self._record.write(
            f'{len(self._asked)} requests; {len(lasting)} lasted longer than '
            f'timeout-ms, {len(unanswered)} of them had no final answer '
            f'{_SLACK_S} s later; of {len(plain)} plain requests, to another '
            f'service, {len(lost)} got no answer at all; readiness failed '
            f'{self._ready.count(False)} of {len(self._ready)} times'
        )
        is_broken = len(unanswered) >= 8 and len(unanswered) > len(lasting) / 4
        self._record.write('CONFIG is broken' if is_broken else 'CONFIG holds')
        return BROKEN if is_broken else HELD


async def _main() -> int:
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(_FOLDER / 'record.txt')
    try:
        with tempfile.TemporaryDirectory() as folder:
            async with Case(pathlib.Path(folder), record) as case:
                return await case.run(has_trouble)
    except (OSError, TimeoutError) as error:
        record.write(f'not run: {error!r}')
        return NOT_RUN
    finally:
        record.close()


if __name__ == '__main__':
    sys.exit(asyncio.run(_main()))
