"""A stand-in target over HTTP: a model engine and a plain service."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.web import RequestHandler

from ..routing import prefix
from .engine import BadVersion
from .engine import GenerationStream
from .engine import LedgerEntry

if TYPE_CHECKING:
    from .executor import EngineExecutor

_MAX_STREAMS = 1000
_DEFAULT_OUTPUT = 16
_SERVICE_TIME = 0.001


class _Order(TypedDict, total=False):
    version: str
    fence: int


class _Attempt(TypedDict, total=False):
    attempt: str


class _Handler(RequestHandler):
    def initialize(self, executor: EngineExecutor) -> None:
        self.executor = executor
        self.engine = executor.engine

    def set_default_headers(self) -> None:
        self.clear_header('Server')

    def echo(self) -> None:
        for name in ('X-Request-Id', 'X-Attempt-Id'):
            value = self.request.headers.get(name)
            if value:
                self.set_header(name, value)
        self.set_header('X-Incarnation', self.engine.incarnation)
        self.set_header('X-Version', self.engine.version)

    def record(self, prompt: int, cached: int, output: int) -> None:
        headers = self.request.headers
        self.engine.ledger.append(
            LedgerEntry(
                headers.get('X-Attempt-Id', ''),
                headers.get('X-Request-Id', ''),
                headers.get('X-Workspace', ''),
                self.request.path,
                self.engine.version,
                headers.get('Idempotency-Key', ''),
                prompt,
                cached,
                output,
            )
        )
        self.engine.served_requests[self.engine.version] += 1


def _event(number: int, word: str) -> bytes:
    data = {'choices': [{'index': 0, 'delta': {'content': word}}]}
    return b'id: %d\ndata: %s\n\n' % (number, msgspec.json.encode(data))


def _last_events(number: int, usage: dict[str, object]) -> list[bytes]:
    body = msgspec.json.encode({'choices': [], 'usage': usage})
    return [
        b'id: %d\ndata: %s\n\n' % (number, body),
        b'id: %d\ndata: [DONE]\n\n' % (number + 1),
    ]


class _Generation(_Handler):
    """Generates, streaming or not; the output echoes the request."""

    async def post(self) -> None:
        body = self.request.body
        if self.engine.settings.poison.encode() in body:
            self.executor.crash()
            return
        if self.engine.leaving:
            self.set_status(503)
            return
        asked = prefix.parse_request(body)
        self.echo()
        await self.executor.acquire_slot()
        try:
            await self._generate(asked)
        except StreamClosedError:
            pass
        finally:
            self.executor.release_slot()

    async def _prefill(self, text: bytes) -> tuple[int, int]:
        settings = self.engine.settings
        salt = self.request.headers.get('X-Cache-Salt', '')
        hashes = self.engine.hash_prompt(text, salt)
        cached = self.engine.cache.match(hashes)
        tokens = int(len(text) / settings.bytes_per_token)
        block = settings.block_bytes / settings.bytes_per_token
        known = min(tokens, int(cached * block))
        await self.executor.work(
            (tokens - known) / settings.prefill_tokens_per_s, self.request.path
        )
        added, evicted = self.engine.cache.store(hashes)
        if added or evicted:
            self.executor.publisher.publish(added, evicted)
        return tokens, known

    async def _generate(self, asked: prefix.ModelRequest) -> None:
        tokens, cached = await self._prefill(asked.text)
        if self.executor.should_fail(self.request.path):
            self.set_status(500)
            return
        count = min(asked.limit or _DEFAULT_OUTPUT, 100_000)
        self.record(tokens, cached, count)
        mark = self.request.headers.get('X-Request-Id', '')
        usage: dict[str, object] = {
            'prompt_tokens': tokens,
            'completion_tokens': count,
            'prompt_tokens_details': {'cached_tokens': cached},
        }
        if asked.streams:
            await self._stream(count, mark, usage)
            return
        await self.executor.work(
            count * self.engine.settings.token_time_s, self.request.path
        )
        words = ' '.join([mark] + [f'w{i}' for i in range(1, count)])
        message = {'role': 'assistant', 'content': words}
        choices = [{'index': 0, 'message': message}]
        self.finish({'choices': choices, 'usage': usage})

    async def _stream(
        self, count: int, mark: str, usage: dict[str, object]
    ) -> None:
        stream = GenerationStream([])
        attempt = self.request.headers.get('X-Attempt-Id', '')
        streams = self.engine.streams
        streams[attempt] = stream
        while len(streams) > _MAX_STREAMS:
            streams.popitem(last=False)
        self.set_header('Content-Type', 'text/event-stream')
        open_ended = True
        for number in range(1, count + 1):
            await self.executor.work(
                self.engine.settings.token_time_s, self.request.path
            )
            if stream.cancelled:
                return
            word = mark if number == 1 else f'w{number - 1}'
            stream.events.append(_event(number, f'{word} '))
            open_ended = await self._push(stream.events[-1], open_ended)
        for event in _last_events(count + 1, usage):
            stream.events.append(event)
            open_ended = await self._push(event, open_ended)
        stream.done = True

    async def _push(self, event: bytes, still_open: bool) -> bool:
        if not still_open:
            return False
        self.write(event)
        try:
            await self.flush()
        except StreamClosedError:
            return False
        return True


class _Resumption(_Handler):
    """Sends the events of a generation again, from the last id on."""

    async def get(self, attempt: str) -> None:
        stream = self.engine.streams.get(attempt)
        if stream is None:
            self.set_status(404)
            return
        last = self.request.headers.get('Last-Event-ID', '0')
        sent = int(last) if last.isdigit() else 0
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('X-Attempt-Id', attempt)
        self.set_header('X-Incarnation', self.engine.incarnation)
        try:
            await self._follow(stream, sent)
        except StreamClosedError:
            pass

    async def _follow(self, stream: GenerationStream, sent: int) -> None:
        while not stream.cancelled:
            while sent < len(stream.events):
                self.write(stream.events[sent])
                sent += 1
                await self.flush()
            if stream.done:
                return
            await asyncio.sleep(self.engine.settings.token_time_s)


class _Cancellation(_Handler):
    async def post(self) -> None:
        asked = msgspec.json.decode(self.request.body, type=_Attempt)
        stream = self.engine.streams.get(asked.get('attempt', ''))
        if stream is not None:
            stream.cancelled = True


class _Load(_Handler):
    async def get(self) -> None:
        engine = self.engine
        self.finish(
            {
                'incarnation': engine.incarnation,
                'version': engine.version,
                'running': engine.running,
                'waiting': engine.waiting,
                'cached_blocks': len(engine.cache),
                'leaving': engine.leaving,
                'loading': engine.loading,
            }
        )


class _Orders(_Handler):
    async def post(self) -> None:
        order = msgspec.json.decode(self.request.body, type=_Order)
        if not self.engine.accept_fence(order.get('fence', 0)):
            self.set_status(409)
            return
        self.engine.loading = True
        try:
            await self.executor.work(self.engine.settings.weights_load_s, '')
        finally:
            self.engine.loading = False
        self.engine.switch_version(order.get('version', self.engine.version))
        self.executor.publisher.publish([], [])


class _Cached(_Handler):
    """Exports and imports blocks of the cache, by hash."""

    async def post(self, verb: str) -> None:
        asked = msgspec.json.decode(self.request.body, type=list[int])
        if verb == 'export':
            known = [h for h in asked if self.engine.cache.match((h,))]
            self.finish(msgspec.json.encode(known))
            return
        added, evicted = self.engine.cache.store(tuple(asked))
        self.executor.publisher.publish(added, evicted)
        self.finish(b'[]')


class _Ledger(_Handler):
    async def get(self) -> None:
        self.finish(msgspec.json.encode(list(self.engine.ledger)))


class _Faults(_Handler):
    """Orders for tests: crash, pause, resume, leave, bad."""

    async def post(self, kind: str) -> None:
        if kind == 'crash':
            self.executor.crash()
        elif kind == 'pause':
            self.executor.pause()
        elif kind == 'resume':
            self.executor.resume()
        elif kind == 'leave':
            self.engine.leaving = True
        elif kind == 'bad':
            bad = msgspec.json.decode(self.request.body, type=BadVersion)
            self.engine.bad_versions[bad.version] = bad


class _Service(_Handler):
    """A plain service: runs a call and says what ran."""

    async def _serve(self) -> None:
        if self.engine.settings.poison.encode() in self.request.body:
            self.executor.crash()
            return
        self.echo()
        await self.executor.acquire_slot()
        try:
            self.record(0, 0, 0)
            await self.executor.work(_SERVICE_TIME, self.request.path)
        finally:
            self.executor.release_slot()
        if self.executor.should_fail(self.request.path):
            self.set_status(500)
        echoed = self.request.body.decode(errors='replace')
        seen = {k.lower(): v for k, v in self.request.headers.get_all()}
        self.finish(
            {'path': self.request.path, 'body': echoed, 'headers': seen}
        )

    async def get(self) -> None:
        await self._serve()

    async def post(self) -> None:
        await self._serve()

    async def put(self) -> None:
        await self._serve()

    async def delete(self) -> None:
        await self._serve()


def exit_process() -> None:
    """Die at once, as a crash does."""
    os._exit(1)


def make_application(executor: EngineExecutor) -> Application:
    """Return the web application of a stand-in target."""
    given = {'executor': executor}
    return Application(
        [
            (r'/v1/(?:chat/)?completions', _Generation, given),
            (r'/v1/streams/([^/]+)', _Resumption, given),
            (r'/v1/cancel', _Cancellation, given),
            (r'/load', _Load, given),
            (r'/orders/load', _Orders, given),
            (r'/kv/(export|import)', _Cached, given),
            (r'/ledger', _Ledger, given),
            (r'/faults/(.+)', _Faults, given),
            (r'/.*', _Service, given),
        ],
        log_function=lambda handler: None,
    )


__all__ = ['exit_process', 'make_application']
