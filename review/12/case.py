"""A copy of the 421 to a report makes an unsafe request run twice."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import os
import pathlib
import sys
import tempfile

from lentilrun.standins import replica
from tornado.httpserver import HTTPServer

from review.standins3.client import request
from review.standins3.copyreplica import CopyReplica
from review.standins3.fleet import LOOPBACK
from review.standins3.fleet import pick_port
from review.standins3.fleet import Record
from review.standins3.fleet import ROOT
from review.standins3.fleet import Router
from review.standins3.fleet import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
_FOLDER = pathlib.Path(__file__).parent
# Largest share of a replica's answers that are spoiled so: ``x`` of
# garble (extra late).
_MAX_COPIED_SHARE = 0.03
_MAX_COPIES = 3
# ``reuse-after-s``, and three intervals of ``heartbeat-ms``.
_REUSE_AFTER_S = 2.0
_LAPSE_S = 3.6
_BEFORE_S = 5.0
_AFTER_S = 40.0
_PAUSE_S = 0.01
_PATIENCE_S = 1.5


class Case:
    """Runs the deployment and its callers."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self._folder = folder
        self._record = record
        self._store = Store()
        self._router = Router('front-a-1', folder, self._store.port)
        self._engine_port = pick_port()
        self._engine: asyncio.subprocess.Process | None = None
        self._replicas = [
            CopyReplica(name, pick_port(), record.write)
            for name in ('w1', 'w2')
        ]
        self._answers: collections.Counter[int] = collections.Counter()

    async def __aenter__(self) -> Case:
        self._store.configure(3)
        self._store.name_weights(1)
        for plain in self._replicas:
            await plain.start()
            self._store.register(plain._name, 'app', plain._port, {})
        await self._start_engines()
        await self._router.start()
        return self

    async def _start_engines(self) -> None:
        with open(self._folder / 'e1.log', 'wb') as log:
            self._engine = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / 'review' / 'standins3' / 'endlessengine.py'),
                'e1',
                str(self._engine_port),
                '1',
                '/nonexistent',
                stdout=log,
                stderr=log,
            )
        self._store.register('e1', 'llm', self._engine_port, {'model': 1})
        state = replica.ReplicaState('e2', {'model': 1})
        port = pick_port()
        HTTPServer(replica.make_application(state)).listen(port, LOOPBACK)
        self._store.register('e2', 'llm', port, {'model': 1})

    async def __aexit__(self, *_: object) -> None:
        await self._router.kill()
        if self._engine is not None:
            with contextlib.suppress(ProcessLookupError):
                self._engine.kill()
            await self._engine.wait()
        for plain in self._replicas:
            plain.close()
        self._store.close()

    async def _ask(self) -> None:
        outcome = await request(
            self._router.entry,
            '/once/x',
            'u',
            _PATIENCE_S,
            int(_PATIENCE_S * 1e3),
            method='POST',
        )
        self._answers[outcome.status] += 1
        self._record.write(
            f'{outcome.request_id} status {outcome.status} '
            f'after {outcome.seconds:.3f} s'
        )

    async def _send(self, seconds: float) -> None:
        """Send unsafe requests for some time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        tasks = []
        while loop.time() < until:
            tasks.append(asyncio.create_task(self._ask()))
            await asyncio.sleep(_PAUSE_S)
        await asyncio.gather(*tasks)

    async def _reuse_address(self, has_copies: bool) -> None:
        """Lose an engine; its address goes to a plain replica."""
        assert self._engine is not None
        self._engine.kill()
        await self._engine.wait()
        self._record.write('e1 has crashed')
        await asyncio.sleep(_REUSE_AFTER_S + 0.1)
        plain = CopyReplica(
            'w9',
            self._engine_port,
            self._record.write,
            _MAX_COPIES if has_copies else 0,
        )
        await plain.start()
        self._replicas.append(plain)
        self._store.register('w9', 'app', self._engine_port, {})
        self._store.name_weights(2)
        self._record.write('w9 has its address; new weights are named')
        await asyncio.sleep(_LAPSE_S - _REUSE_AFTER_S - 0.1)
        self._store.state.put('servers', 'e1', None)
        self._record.write('the entry of e1 has lapsed')

    async def run(self, has_copies: bool) -> int:
        """Return the exit code."""
        await self._router.wait_until_ready()
        await self._send(_BEFORE_S)
        reuse = asyncio.create_task(self._reuse_address(has_copies))
        await self._send(_AFTER_S)
        await reuse
        return self._judge()

    def _judge(self) -> int:
        runs = collections.Counter(
            request_id for r in self._replicas for request_id in r.runs
        )
        twice = sorted(n for n, count in runs.items() if count > 1)
        spoiler = self._replicas[-1]
        share = spoiler.copies / max(1, spoiler.answers)
        self._record.write(
            f'answers by status: {dict(self._answers)}; {len(runs)} unsafe '
            f'requests ran, {len(twice)} of them more than once: {twice}; '
            f'w9 repeated {spoiler.copies} of {spoiler.answers} answers'
        )
        if share > _MAX_COPIED_SHARE or self._answers[200] < 100:
            return NOT_RUN
        return BROKEN if twice else HELD


async def _main() -> int:
    has_copies = os.environ.get('TROUBLE', '1') != '0'
    record = Record(_FOLDER / 'record.txt')
    try:
        with tempfile.TemporaryDirectory() as folder:
            async with Case(pathlib.Path(folder), record) as case:
                return await case.run(has_copies)
    except (OSError, TimeoutError) as error:
        record.write(f'not run: {error!r}')
        return NOT_RUN
    finally:
        record.close()


if __name__ == '__main__':
    sys.exit(asyncio.run(_main()))
