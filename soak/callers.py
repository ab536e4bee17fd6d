"""Callers that keep their connections, and what they were told."""

from __future__ import annotations

import asyncio
import enum
import itertools
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import HOST
from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import MODEL
from lentilrun.standins.configuration import ONE_RUN_PATH
from lentilrun.standins.configuration import PLAIN_PATH
from lentilrun.standins.configuration import STREAM_PATH
from lentilrun.standins.configuration import UNSAFE_PATH

from .proxy import LOOPBACK

if TYPE_CHECKING:
    from types import TracebackType

    from .deployment import Deployment
    from .deployment import VmProcess

_DEADLINE_S = 2.5
# Callers wait somewhat longer than they say.
_PATIENCE_S = 4.0
_CONNECT_S = 1.0
_PAUSE_S = 0.05
_RETRY_S = 0.1
_TOKENS = '1000,200'
_PARTS = 'aa:500,bb:300,cc:200'


class RequestOutcome(enum.StrEnum):
    """How a request ended at its caller."""

    ANSWERED = 'answered'
    CONNECTION_CLOSED = 'broken'
    NOT_CONNECTED = 'not_connected'
    TIMED_OUT = 'silent'


class RequestRecord(NamedTuple):
    """One request; times by the event loop's clock, in seconds.

    ``is_whole`` tells that the answer ended as complete.
    """

    request_id: str
    path: str
    vm: str
    key: str
    sent_at: float
    ended_at: float
    outcome: RequestOutcome
    status: int = 0
    response_id: str = ''
    body: bytes = b''
    is_complete: bool = False


class _Answer(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class Caller:
    """Owns one connection to a VM; opens another when it is closed."""

    def __init__(
        self,
        vm: VmProcess,
        ids: itertools.count[int],
        records: list[RequestRecord],
    ) -> None:
        self._vm = vm
        self._ids = ids
        self._records = records
        self._stream: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    def __enter__(self) -> Caller:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._close()

    def _close(self) -> None:
        if self._stream is not None:
            self._stream[1].close()
        self._stream = None

    async def send_request(self, path: str, key: str = KEY) -> RequestRecord:
        """Send one request and note how it ended."""
        request_id = f'request-{next(self._ids)}'
        loop = asyncio.get_running_loop()
        sent = loop.time()
        answer = None
        try:
            async with asyncio.timeout(_PATIENCE_S):
                reader, writer = await self._connect()
                writer.write(_make_request(request_id, path, key))
                answer = await _read_answer(reader)
            outcome = RequestOutcome.ANSWERED
        except TimeoutError:
            outcome = RequestOutcome.TIMED_OUT
        except ConnectionRefusedError:
            outcome = RequestOutcome.NOT_CONNECTED
        except (OSError, asyncio.IncompleteReadError):
            outcome = RequestOutcome.CONNECTION_CLOSED
        record = RequestRecord(
            request_id,
            path,
            self._vm.name,
            key,
            sent,
            loop.time(),
            outcome,
        )
        if answer is not None:
            record = record._replace(
                status=answer.status,
                response_id=answer.headers.get('x-request-id', ''),
                body=answer.body,
                is_complete=answer.is_complete,
            )
        if not _may_keep(answer):
            self._close()
        self._records.append(record)
        return record

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._stream is None:
            async with asyncio.timeout(_CONNECT_S):
                self._stream = await asyncio.open_connection(
                    LOOPBACK, self._vm.entry_port
                )
        return self._stream


def _may_keep(answer: _Answer | None) -> bool:
    if answer is None or not answer.is_complete:
        return False
    return answer.headers.get('connection', '').lower() != 'close'


def _make_request(request_id: str, path: str, key: str) -> bytes:
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {int(_DEADLINE_S * 1e3)}',
        f'Api-Key: {key}',
        'X-Tenant-Id: forged',
        f'Content-Length: {len(request_id)}',
    ]
    if path in (STREAM_PATH, ONE_RUN_PATH):
        lines.append(f'X-Model: {MODEL}')
        lines.append(f'X-Token-Usage: {_TOKENS}')
        lines.append(f'X-Prefix-Hash: {_PARTS}')
    return ('\r\n'.join(lines) + '\r\n\r\n' + request_id).encode()


async def _read_answer(reader: asyncio.StreamReader) -> _Answer:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *fields = head.strip().split('\r\n')
    headers = {}
    for field in fields:
        name, _, value = field.partition(':')
        headers[name.lower()] = value.strip()
    status = int(line.split()[1])
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
        return _Answer(status, headers, body, True)
    body, is_complete = await _read_chunks(reader)
    return _Answer(status, headers, body, is_complete)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a body in chunks, and whether its end came."""
    body = b''
    while True:
        try:
            size = int(await reader.readuntil(b'\r\n'), 16)
            chunk = await reader.readexactly(size + 2)
        except (OSError, asyncio.IncompleteReadError):
            return body, False
        if not size:
            return body, True
        body += chunk[:-2]


class CallerPool:
    """Owns the callers of all VMs; they ask until the end."""

    def __init__(
        self, deployment: Deployment, rng: random.Random, per_vm: int
    ) -> None:
        """Let ``each`` callers keep asking every VM."""
        self._deployment = deployment
        self._rng = rng
        self._each = per_vm
        self._tasks: list[asyncio.Task[None]] = []
        self.ids = itertools.count(1)
        self.records: list[RequestRecord] = []

    async def __aenter__(self) -> CallerPool:
        for vm in self._deployment.vms:
            for _ in range(self._each):
                self._tasks.append(asyncio.ensure_future(self._press(vm)))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def make_caller(self, vm: VmProcess) -> Caller:
        """Return another caller, whose requests are noted too."""
        return Caller(vm, self.ids, self.records)

    async def _press(self, vm: VmProcess) -> None:
        paths = (PLAIN_PATH, UNSAFE_PATH, STREAM_PATH, ONE_RUN_PATH)
        with self.make_caller(vm) as caller:
            while True:
                record = await caller.send_request(self._rng.choice(paths))
                is_done = record.outcome is RequestOutcome.ANSWERED
                await asyncio.sleep(_PAUSE_S if is_done else _RETRY_S)


__all__ = ['Caller', 'CallerPool', 'RequestOutcome', 'RequestRecord']
