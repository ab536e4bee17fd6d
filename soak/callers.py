"""HTTP callers with persistent connections, and records of requests."""

from __future__ import annotations

import asyncio
import enum
import itertools
import random
import socket
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.standins.configuration import HOST
from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import MODEL
from lentilrun.standins.configuration import NON_RESUMABLE_PATH
from lentilrun.standins.configuration import RESUMABLE_PATH
from lentilrun.standins.configuration import SAFE_PATH
from lentilrun.standins.configuration import UNSAFE_PATH

from .proxy import LOOPBACK
from .replicaprocesses import NON_RESUMABLE_PREFIX
from .replicaprocesses import PROCESS_MODEL
from .replicaprocesses import RESUMABLE_PREFIX

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import TracebackType

    from .deployment import Deployment
    from .deployment import VmProcess

DEADLINE_S = 2.5
# Added to the deadline that a request states.
_CLIENT_PATIENCE_S = 1.5
# Time in which a reset after the end of a connection arrives.
_RESET_S = 0.01
# The state of a connection that its peer alone has closed (Linux).
_TCP_CLOSE_WAIT = 8
_CONNECT_TIMEOUT_S = 1.0
_REQUEST_INTERVAL_S = 0.05
_RETRY_INTERVAL_S = 0.1
_TOKEN_USAGE = '1000,200'
_PREFIX_HASHES = 'aa:500,bb:300,cc:200'


class RequestOutcome(enum.StrEnum):
    """The outcome of a request as its caller saw it."""

    ANSWERED = 'answered'
    CONNECTION_CLOSED = 'broken'
    NOT_CONNECTED = 'not_connected'
    TIMED_OUT = 'silent'
    ABANDONED = 'left'


class RequestRecord(NamedTuple):
    """One request; times are in seconds of the event loop's clock.

    ``is_complete`` is set if the response was received to its end. A stream
    begins with ``first_event``; what was received of one that its caller
    abandoned is kept too. The last byte of the request was sent at
    ``written_at`` (0: never, or not recorded); ``was_read`` is set if the VM
    had read all of it when it closed the connection.
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
    first_event: int = 1
    written_at: float = 0.0
    was_read: bool = False


class Head(NamedTuple):
    """The head of a response; the names of ``headers`` are in lower case."""

    status: int
    headers: dict[str, str]


class _Response(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


async def check_read(raw: socket.socket) -> bool:
    """Return whether a peer that closed a connection had read everything.

    The kernel answers bytes that were not read, or that arrive afterwards,
    with a reset, which ends the state CLOSE_WAIT.
    """
    await asyncio.sleep(_RESET_S)
    try:
        state = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return state[0] == _TCP_CLOSE_WAIT


class Caller:
    """Owns one connection to a VM and reconnects after it was closed."""

    def __init__(
        self,
        vm: VmProcess,
        ids: itertools.count[int],
        records: list[RequestRecord],
        deadline_s: float = DEADLINE_S,
    ) -> None:
        self._vm = vm
        self._deadline_s = deadline_s
        self._ids = ids
        self._records = records
        self._connection: (
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
        self.close()

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None

    async def send_request(self, path: str, key: str = KEY) -> RequestRecord:
        """Send one request and record its outcome."""
        request_id = f'request-{next(self._ids)}'
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        written_at = 0.0
        response = None
        request = encode_request(
            request_id, path, key, _list_fields(path), self._deadline_s
        )
        try:
            async with asyncio.timeout(self._deadline_s + _CLIENT_PATIENCE_S):
                reader, writer = await self._connect()
                writer.write(request)
                written_at = loop.time()
                response = await _read_response(reader)
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
            sent_at,
            loop.time(),
            outcome,
            written_at=written_at,
        )
        if response is not None:
            record = record._replace(
                status=response.status,
                response_id=response.headers.get('x-request-id', ''),
                body=response.body,
                is_complete=response.is_complete,
            )
        if written_at and not record.is_complete:
            raw = writer.get_extra_info('socket')
            record = record._replace(was_read=await check_read(raw))
        if not _is_reusable(response):
            self.close()
        self._records.append(record)
        return record

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._connection is not None and self._connection[0].at_eof():
            self.close()
        if self._connection is None:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                self._connection = await asyncio.open_connection(
                    LOOPBACK, self._vm.entry_port
                )
        return self._connection


def _is_reusable(response: _Response | None) -> bool:
    if response is None or not response.is_complete:
        return False
    return response.headers.get('connection', '').lower() != 'close'


def encode_request(
    request_id: str,
    path: str,
    key: str,
    fields: Sequence[str],
    deadline_s: float = DEADLINE_S,
) -> bytes:
    """Return a request with further header fields; its ID is its body."""
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {int(deadline_s * 1e3)}',
        f'Api-Key: {key}',
        f'Content-Length: {len(request_id)}',
        *fields,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n' + request_id).encode()


def parse_head(head: bytes) -> Head:
    """Return the status and headers of a response."""
    line, *lines = head.decode('latin-1').strip().split('\r\n')
    headers = {}
    for text in lines:
        name, _, value = text.partition(':')
        headers[name.lower()] = value.strip()
    return Head(int(line.split()[1]), headers)


def _list_fields(path: str) -> list[str]:
    """Return the header fields of a request beside those of all."""
    fields = ['X-Tenant-Id: forged']
    is_far = path.startswith((RESUMABLE_PREFIX, NON_RESUMABLE_PREFIX))
    if is_far or path in (RESUMABLE_PATH, NON_RESUMABLE_PATH):
        fields.append(f'X-Model: {PROCESS_MODEL if is_far else MODEL}')
        fields.append(f'X-Token-Usage: {_TOKEN_USAGE}')
        fields.append(f'X-Prefix-Hash: {_PREFIX_HASHES}')
    return fields


async def _read_response(reader: asyncio.StreamReader) -> _Response:
    status, headers = parse_head(await reader.readuntil(b'\r\n\r\n'))
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
        return _Response(status, headers, body, True)
    body, is_complete = await _read_chunks(reader)
    return _Response(status, headers, body, is_complete)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a chunked body, and whether its last chunk was received."""
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
    """Owns the callers of all VMs; they send requests until exit."""

    def __init__(
        self, deployment: Deployment, rng: random.Random, per_vm: int
    ) -> None:
        """Run ``per_vm`` callers against every VM."""
        self._deployment = deployment
        self._rng = rng
        self._per_vm = per_vm
        self._tasks: list[asyncio.Task[None]] = []
        self.ids = itertools.count(1)
        self.records: list[RequestRecord] = []

    async def __aenter__(self) -> CallerPool:
        for vm in self._deployment.vms:
            for _ in range(self._per_vm):
                self._tasks.append(
                    asyncio.ensure_future(self._send_continuously(vm))
                )
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
        """Return another caller, whose requests are recorded too."""
        return Caller(vm, self.ids, self.records)

    async def _send_continuously(self, vm: VmProcess) -> None:
        paths = (SAFE_PATH, UNSAFE_PATH, RESUMABLE_PATH, NON_RESUMABLE_PATH)
        with self.make_caller(vm) as caller:
            while True:
                record = await caller.send_request(self._rng.choice(paths))
                is_answered = record.outcome is RequestOutcome.ANSWERED
                await asyncio.sleep(
                    _REQUEST_INTERVAL_S if is_answered else _RETRY_INTERVAL_S
                )


__all__ = [
    'Caller',
    'CallerPool',
    'check_read',
    'DEADLINE_S',
    'encode_request',
    'Head',
    'parse_head',
    'RequestOutcome',
    'RequestRecord',
]
