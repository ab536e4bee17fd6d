"""Callers of streams that read slowly, leave, or go on at another VM."""

from __future__ import annotations

import asyncio
import enum
import random
import socket
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import KEY

from .callers import encode_request
from .callers import parse_head
from .callers import RequestOutcome
from .callers import RequestRecord
from .proxy import LOOPBACK
from .replicaprocesses import NON_RESUMABLE_PREFIX
from .replicaprocesses import PROCESS_MODEL
from .replicaprocesses import RESUMABLE_PREFIX
from .streamcheck import parse_events

if TYPE_CHECKING:
    from types import TracebackType

    from .callers import CallerPool
    from .deployment import Deployment
    from .deployment import VmProcess

_TIMEOUT_S = 4.0
_CONNECT_TIMEOUT_S = 1.0
_REQUEST_INTERVAL_S = 0.03
_RETRY_INTERVAL_S = 0.1
_MAX_ATTEMPTS = 4
_LENGTHS = (1, 2, 3, 5, 8, 13, 20, 40)
_READ_BYTES = 64 * 1024
_SLOW_READ_BYTES = 300
_SLOW_PAUSE_S = 0.02
_SMALL_BUFFER_BYTES = 2048
_LEAVE_AFTER_BYTES = (0, 300, 3000)


class Manner(enum.StrEnum):
    """How a caller reads a response."""

    ALL = 'all'
    SLOWLY = 'slowly'
    LEAVE = 'leave'


_MANNERS = (Manner.ALL, Manner.ALL, Manner.ALL, Manner.SLOWLY, Manner.LEAVE)


class _Connection(NamedTuple):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class _Reply(NamedTuple):
    """What was received of a response so far."""

    status: int
    response_id: str
    body: bytes
    is_complete: bool
    is_kept: bool


def parse_reply(received: bytes) -> _Reply:
    """Return what was received of a response, without its framing."""
    head, end, rest = received.partition(b'\r\n\r\n')
    if not end:
        return _Reply(0, '', b'', False, False)
    status, headers = parse_head(head)
    body, is_complete = rest, False
    if headers.get('transfer-encoding') == 'chunked':
        body, is_complete = _decode_chunks(rest)
    elif 'content-length' in headers:
        is_complete = len(rest) >= int(headers['content-length'])
    return _Reply(
        status,
        headers.get('x-request-id', ''),
        body,
        is_complete,
        is_complete and headers.get('connection', '').lower() != 'close',
    )


def _decode_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return the data of chunks, and whether the last one was received."""
    parts: list[bytes] = []
    start = 0
    while True:
        end = data.find(b'\r\n', start)
        if end < 0:
            return b''.join(parts), False
        size = int(data[start:end], 16)
        start = end + 2
        if not size:
            return b''.join(parts), data.startswith(b'\r\n', start)
        parts.append(data[start : start + size])
        start += size + 2


async def _connect(vm: VmProcess, manner: Manner) -> _Connection:
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setblocking(False)
    limit = _READ_BYTES
    if manner is Manner.SLOWLY:
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
        )
        limit = _SMALL_BUFFER_BYTES
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await loop.sock_connect(raw, (LOOPBACK, vm.entry_port))
    except (OSError, TimeoutError):
        raw.close()
        raise
    return _Connection(*await asyncio.open_connection(sock=raw, limit=limit))


class StreamCaller:
    """Sends one stream's requests after another to one VM, or others.

    A connection is kept until a response is incomplete or its caller leaves.
    """

    def __init__(
        self,
        vm: VmProcess,
        deployment: Deployment,
        callers: CallerPool,
        rng: random.Random,
    ) -> None:
        self._vm = vm
        self._vms = deployment.vms
        self._ids = callers.ids
        self._records = callers.records
        self._rng = rng
        self._kept: _Connection | None = None
        self._received = b''
        self.is_patient = False

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                record = await self._receive_stream()
                is_served = record.is_complete and record.status == 200
                await asyncio.sleep(
                    _REQUEST_INTERVAL_S if is_served else _RETRY_INTERVAL_S
                )
        finally:
            self._close()

    def _close(self) -> None:
        if self._kept is not None:
            self._kept.writer.close()
        self._kept = None

    async def _receive_stream(self) -> RequestRecord:
        """Request a stream; go on elsewhere as often as it breaks off."""
        prefix = self._rng.choice((RESUMABLE_PREFIX, NON_RESUMABLE_PREFIX))
        length = self._rng.choice(_LENGTHS)
        path = f'{prefix}{self._rng.getrandbits(32):x}-{length}'
        record = await self._send(self._vm, path, 0)
        for _ in range(_MAX_ATTEMPTS - 1):
            if prefix != RESUMABLE_PREFIX or not _is_broken(record):
                break
            numbers = parse_events(record.body).numbers()
            last = numbers[-1] if numbers else record.first_event - 1
            self._close()
            record = await self._send(self._rng.choice(self._vms), path, last)
        return record

    async def _send(
        self, vm: VmProcess, path: str, last_event: int
    ) -> RequestRecord:
        """Send one request; record what was received, however it ended."""
        request_id = f'stream-{next(self._ids)}'
        manner = self._rng.choice(_MANNERS)
        if self.is_patient:
            manner = Manner.ALL
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self._received = b''
        request = _encode_request(request_id, path, last_event)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                outcome = await self._exchange(vm, manner, request)
        except TimeoutError:
            outcome = RequestOutcome.TIMED_OUT
            if manner is Manner.SLOWLY:
                outcome = RequestOutcome.ABANDONED
        except ConnectionRefusedError:
            outcome = RequestOutcome.NOT_CONNECTED
        except OSError:
            outcome = RequestOutcome.CONNECTION_CLOSED
        reply = parse_reply(self._received)
        if not reply.is_kept or vm is not self._vm:
            self._close()
        record = RequestRecord(
            request_id,
            path,
            vm.name,
            KEY,
            sent_at,
            loop.time(),
            outcome,
            reply.status,
            reply.response_id,
            reply.body,
            reply.is_complete,
            last_event + 1,
        )
        self._records.append(record)
        return record

    async def _exchange(
        self, vm: VmProcess, manner: Manner, request: bytes
    ) -> RequestOutcome:
        if self._kept is None or manner is not Manner.ALL:
            self._close()
            self._kept = await _connect(vm, manner)
        reader, writer = self._kept
        writer.write(request)
        is_slow = manner is Manner.SLOWLY
        size = _SLOW_READ_BYTES if is_slow else _READ_BYTES
        leave_after = self._rng.choice(_LEAVE_AFTER_BYTES)
        while not parse_reply(self._received).is_complete:
            data = await reader.read(size)
            if not data:
                return _judge_end(self._received)
            self._received += data
            if manner is Manner.LEAVE and len(self._received) > leave_after:
                return RequestOutcome.ABANDONED
            if is_slow:
                await asyncio.sleep(_SLOW_PAUSE_S)
        return RequestOutcome.ANSWERED


def _judge_end(received: bytes) -> RequestOutcome:
    if parse_reply(received).status:
        return RequestOutcome.ANSWERED
    return RequestOutcome.CONNECTION_CLOSED


def _is_broken(record: RequestRecord) -> bool:
    return not record.is_complete and record.outcome in (
        RequestOutcome.ANSWERED,
        RequestOutcome.CONNECTION_CLOSED,
        RequestOutcome.NOT_CONNECTED,
    )


def _encode_request(request_id: str, path: str, last_event: int) -> bytes:
    segment = path.rpartition('/')[2].partition('-')[0]
    fields = [
        f'X-Model: {PROCESS_MODEL}',
        'X-Token-Usage: 100,60',
        f'X-Prefix-Hash: {segment}:100',
    ]
    if last_event:
        fields.append(f'Last-Event-Id: {last_event}')
    return encode_request(request_id, path, KEY, fields)


class StreamCallerPool:
    """Owns the callers of streams; they send requests until exit."""

    def __init__(
        self,
        deployment: Deployment,
        callers: CallerPool,
        rng: random.Random,
        per_vm: int,
    ) -> None:
        """Record requests with those of ``callers``."""
        self._callers = [
            StreamCaller(vm, deployment, callers, rng)
            for vm in deployment.vms
            for _ in range(per_vm)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> StreamCallerPool:
        self._tasks += [asyncio.ensure_future(c.run()) for c in self._callers]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    def be_patient(self) -> None:
        """Read all responses to their end from now on."""
        for caller in self._callers:
            caller.is_patient = True


__all__ = ['parse_reply', 'StreamCaller', 'StreamCallerPool']
