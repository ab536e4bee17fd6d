"""HTTP interface of a stand-in target: model engine and plain service."""

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

_MAX_KEPT_STREAMS = 1000
_DEFAULT_OUTPUT_TOKENS = 16
_SERVICE_TIME_S = 0.001


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

    def set_identity_headers(self) -> None:
        for name in ('X-Request-Id', 'X-Attempt-Id'):
            value = self.request.headers.get(name)
            if value:
                self.set_header(name, value)
        self.set_header('X-Incarnation', self.engine.incarnation)
        self.set_header('X-Version', self.engine.version)

    def append_to_ledger(self, prompt: int, cached: int, output: int) -> None:
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


def _encode_event(number: int, word: str) -> bytes:
    data = {'choices': [{'index': 0, 'delta': {'content': word}}]}
    return b'id: %d\ndata: %s\n\n' % (number, msgspec.json.encode(data))


def _encode_last_events(number: int, usage: dict[str, object]) -> list[bytes]:
    body = msgspec.json.encode({'choices': [], 'usage': usage})
    return [
        b'id: %d\ndata: %s\n\n' % (number, body),
        b'id: %d\ndata: [DONE]\n\n' % (number + 1),
    ]


class _GenerationHandler(_Handler):
    """Generates output, streamed or not; its first word is the request id."""

    async def post(self) -> None:
        body = self.request.body
        if self.engine.settings.poison.encode() in body:
            self.executor.crash()
            return
        if self.engine.is_leaving:
            self.set_status(503)
            return
        model_request = prefix.parse_request(body)
        self.set_identity_headers()
        await self.executor.acquire_slot()
        try:
            await self._generate(model_request)
        except StreamClosedError:
            pass
        finally:
            self.executor.release_slot()

    async def _prefill(self, text: bytes) -> tuple[int, int]:
        settings = self.engine.settings
        salt = self.request.headers.get('X-Cache-Salt', '')
        hashes = self.engine.hash_prompt(text, salt)
        cached = self.engine.cache.count_cached(hashes)
        tokens = int(len(text) / settings.bytes_per_token)
        block = settings.block_bytes / settings.bytes_per_token
        cached_tokens = min(tokens, int(cached * block))
        await self.executor.simulate_work(
            (tokens - cached_tokens) / settings.prefill_tokens_per_s,
            self.request.path,
        )
        stored, evicted = self.engine.cache.insert(hashes)
        if stored or evicted:
            self.executor.publisher.publish(stored, evicted)
        return tokens, cached_tokens

    async def _generate(self, model_request: prefix.ModelRequest) -> None:
        tokens, cached = await self._prefill(model_request.prompt)
        if self.executor.should_fail(self.request.path):
            self.set_status(500)
            return
        count = min(
            model_request.max_output_tokens or _DEFAULT_OUTPUT_TOKENS, 100_000
        )
        self.append_to_ledger(tokens, cached, count)
        request_id = self.request.headers.get('X-Request-Id', '')
        usage: dict[str, object] = {
            'prompt_tokens': tokens,
            'completion_tokens': count,
            'prompt_tokens_details': {'cached_tokens': cached},
        }
        if model_request.streams:
            await self._stream(count, request_id, usage)
            return
        await self.executor.simulate_work(
            count * self.engine.settings.token_time_s, self.request.path
        )
        content = ' '.join([request_id] + [f'w{i}' for i in range(1, count)])
        message = {'role': 'assistant', 'content': content}
        choices = [{'index': 0, 'message': message}]
        self.finish({'choices': choices, 'usage': usage})

    async def _stream(
        self, count: int, request_id: str, usage: dict[str, object]
    ) -> None:
        stream = GenerationStream([])
        attempt = self.request.headers.get('X-Attempt-Id', '')
        streams = self.engine.streams
        streams[attempt] = stream
        while len(streams) > _MAX_KEPT_STREAMS:
            streams.popitem(last=False)
        self.set_header('Content-Type', 'text/event-stream')
        is_connected = True
        for number in range(1, count + 1):
            await self.executor.simulate_work(
                self.engine.settings.token_time_s, self.request.path
            )
            if stream.is_cancelled:
                return
            word = request_id if number == 1 else f'w{number - 1}'
            stream.events.append(_encode_event(number, f'{word} '))
            is_connected = await self._send_event(
                stream.events[-1], is_connected
            )
        for event in _encode_last_events(count + 1, usage):
            stream.events.append(event)
            is_connected = await self._send_event(event, is_connected)
        stream.is_done = True

    async def _send_event(self, event: bytes, is_connected: bool) -> bool:
        if not is_connected:
            return False
        self.write(event)
        try:
            await self.flush()
        except StreamClosedError:
            return False
        return True


class _ResumeHandler(_Handler):
    """Resumes a generation's stream after the last received event."""

    async def get(self, attempt: str) -> None:
        stream = self.engine.streams.get(attempt)
        if stream is None:
            self.set_status(404)
            return
        last = self.request.headers.get('Last-Event-ID', '0')
        event_count = int(last) if last.isdigit() else 0
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('X-Attempt-Id', attempt)
        self.set_header('X-Incarnation', self.engine.incarnation)
        try:
            await self._send_events(stream, event_count)
        except StreamClosedError:
            pass

    async def _send_events(
        self, stream: GenerationStream, event_count: int
    ) -> None:
        while not stream.is_cancelled:
            while event_count < len(stream.events):
                self.write(stream.events[event_count])
                event_count += 1
                await self.flush()
            if stream.is_done:
                return
            await asyncio.sleep(self.engine.settings.token_time_s)


class _CancelHandler(_Handler):
    async def post(self) -> None:
        cancellation = msgspec.json.decode(self.request.body, type=_Attempt)
        stream = self.engine.streams.get(cancellation.get('attempt', ''))
        if stream is not None:
            stream.is_cancelled = True


class _LoadHandler(_Handler):
    async def get(self) -> None:
        engine = self.engine
        self.finish(
            {
                'incarnation': engine.incarnation,
                'version': engine.version,
                'running': engine.running,
                'waiting': engine.waiting,
                'cached_blocks': len(engine.cache),
                'leaving': engine.is_leaving,
                'loading': engine.is_loading,
            }
        )


class _OrderHandler(_Handler):
    async def post(self) -> None:
        order = msgspec.json.decode(self.request.body, type=_Order)
        if not self.engine.accept_fence(order.get('fence', 0)):
            self.set_status(409)
            return
        self.engine.is_loading = True
        try:
            await self.executor.simulate_work(
                self.engine.settings.weights_load_s, ''
            )
        finally:
            self.engine.is_loading = False
        self.engine.switch_version(order.get('version', self.engine.version))
        self.executor.publisher.publish([], [])


class _CacheHandler(_Handler):
    """Exports and imports cached blocks by their hashes."""

    async def post(self, verb: str) -> None:
        hashes = msgspec.json.decode(self.request.body, type=list[int])
        if verb == 'export':
            cached = [
                h for h in hashes if self.engine.cache.count_cached((h,))
            ]
            self.finish(msgspec.json.encode(cached))
            return
        stored, evicted = self.engine.cache.insert(tuple(hashes))
        self.executor.publisher.publish(stored, evicted)
        self.finish(b'[]')


class _LedgerHandler(_Handler):
    async def get(self) -> None:
        self.finish(msgspec.json.encode(list(self.engine.ledger)))


class _FaultHandler(_Handler):
    """Injects faults: crash, pause, resume, leave, bad."""

    async def post(self, kind: str) -> None:
        if kind == 'crash':
            self.executor.crash()
        elif kind == 'pause':
            self.executor.pause()
        elif kind == 'resume':
            self.executor.resume()
        elif kind == 'leave':
            self.engine.is_leaving = True
        elif kind == 'bad':
            bad_version = msgspec.json.decode(
                self.request.body, type=BadVersion
            )
            self.engine.bad_versions[bad_version.version] = bad_version


class _ServiceHandler(_Handler):
    """A plain service that responds with the request it received."""

    async def _serve(self) -> None:
        if self.engine.settings.poison.encode() in self.request.body:
            self.executor.crash()
            return
        self.set_identity_headers()
        await self.executor.acquire_slot()
        try:
            self.append_to_ledger(0, 0, 0)
            await self.executor.simulate_work(
                _SERVICE_TIME_S, self.request.path
            )
        finally:
            self.executor.release_slot()
        if self.executor.should_fail(self.request.path):
            self.set_status(500)
        echoed = self.request.body.decode(errors='replace')
        headers = {k.lower(): v for k, v in self.request.headers.get_all()}
        self.finish(
            {'path': self.request.path, 'body': echoed, 'headers': headers}
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
    """Exit immediately, without cleanup, as in a crash."""
    os._exit(1)


def make_application(executor: EngineExecutor) -> Application:
    """Return the web application of a stand-in target."""
    arguments = {'executor': executor}
    return Application(
        [
            (r'/v1/(?:chat/)?completions', _GenerationHandler, arguments),
            (r'/v1/streams/([^/]+)', _ResumeHandler, arguments),
            (r'/v1/cancel', _CancelHandler, arguments),
            (r'/load', _LoadHandler, arguments),
            (r'/orders/load', _OrderHandler, arguments),
            (r'/kv/(export|import)', _CacheHandler, arguments),
            (r'/ledger', _LedgerHandler, arguments),
            (r'/faults/(.+)', _FaultHandler, arguments),
            (r'/.*', _ServiceHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


__all__ = ['exit_process', 'make_application']
