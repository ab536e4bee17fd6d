"""A daemon's process, and clients that do not respect its limits."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import itertools
import os
import pathlib
import signal
import sys
from typing import NamedTuple

import deployments
from deployments import CallerResponse
from deployments import Deployment
from lentilrun.standins.configuration import HOST
from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import UNSAFE_PATH
from lentilrun.standins.ports import ReservedPorts
from lentilrun.standins.process import SETTINGS_TEMPLATE

MEMORY_MB = 80
MAX_FDS = 400
# Descriptors that stay free for files.
RESERVED_FDS = 200
MAX_BODY_BYTES = 4_194_304
_BYTES_PER_MB = 1_000_000
_PROGRAM = pathlib.Path(__file__).parents[2] / 'src' / 'lentilrund.py'
_LOOPBACK = '127.0.0.1'
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_SAMPLE_INTERVAL_S = 0.005
_START_TIMEOUT_S = 20.0
# Clients that the daemon does not read from give up after this time.
_LOAD_TIMEOUT_S = 40.0
# What was sent may wait in the sockets for a busy process. It has handled all
# once it uses less than this share of a processor for an interval.
_BUSY_SHARE = 0.2
_SETTLE_INTERVAL_S = 0.5
_MAX_SETTLE_INTERVALS = 120
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_MAX_TRIES = 60
_TRY_INTERVAL_S = 0.25
_TRY_TIMEOUT_S = 5.0
_PIECE_BYTES = 65_536

_numbers = itertools.count(1)


class Body(NamedTuple):
    """How a client sends a body.

    ``declared`` is its length, nothing if it comes in chunks. ``pieces``
    are sent one after the other, ``count`` times.
    """

    declared: int | None
    piece: bytes
    count: int


def make_whole_body(size: int) -> Body:
    """Return a body that is sent at once, with its length declared."""
    return Body(size, b'x' * size, 1)


def make_stalled_body(size: int) -> Body:
    """Return a body in pieces, of which the last one is never sent."""
    return Body(size, b'x' * _PIECE_BYTES, (size - 1) // _PIECE_BYTES)


def make_chunked_body(size: int, chunk: int) -> Body:
    """Return a body in chunks, of which the last one is never sent.

    Several chunks are sent at a time if they are small.
    """
    framed = b'%x\r\n%b\r\n' % (chunk, b'x' * chunk)
    times = max(1, _PIECE_BYTES // len(framed))
    return Body(None, framed * times, (size - 1) // (chunk * times))


def make_head(declared: int | None) -> bytes:
    """Return the head of a request with a body."""
    length = (
        'Transfer-Encoding: chunked'
        if declared is None
        else f'Content-Length: {declared}'
    )
    return (
        f'POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Request-Id: flood-{next(_numbers)}\r\nX-Deadline-Ms: 2500\r\n'
        f'Api-Key: {KEY}\r\n{length}\r\n\r\n'
    ).encode()


class Usage(NamedTuple):
    """The most that a process used: bytes of memory and descriptors."""

    memory: int
    descriptors: int


class Daemon:
    """Owns a daemon's process, in front of the stand-ins of a deployment."""

    def __init__(self, deployment: Deployment, folder: pathlib.Path) -> None:
        self._deployment = deployment
        self._folder = folder
        self._stack = contextlib.AsyncExitStack()
        self._peak = Usage(0, 0)
        self.log_path = folder / 'daemon.log'

    async def __aenter__(self) -> Daemon:
        reserved = self._stack.enter_context(ReservedPorts())
        names = ('peers', 'entry', 'readiness')
        self.ports = {n: reserved.reserve() for n in names}
        settings = SETTINGS_TEMPLATE.format(
            name='vm1',
            store=self._deployment._store_address.port,
            **self.ports,
        ).replace(
            'memory-mb = 128', f'memory-mb = {MEMORY_MB}\nmax-fds = {MAX_FDS}'
        )
        path = self._folder / 'node.toml'
        path.write_text(settings, encoding='utf-8')
        with self.log_path.open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(_PROGRAM),
                env={**os.environ, 'LENTILRUN_CONFIG': str(path)},
                stdout=log,
                stderr=log,
            )
        self._stack.push_async_callback(self._kill)
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(_TRY_INTERVAL_S)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._stack.aclose()

    async def _kill(self) -> None:
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def _is_ready(self) -> bool:
        request = b'GET /lentilrun/ready HTTP/1.1\r\nHost: x\r\n\r\n'
        with contextlib.suppress(OSError, EOFError):
            reader, writer = await asyncio.open_connection(
                _LOOPBACK, self.ports['readiness']
            )
            with contextlib.closing(writer):
                writer.write(request)
                response = await deployments.read_response(reader)
                return response.status == 200
        return False

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.returncode is None

    def measure(self) -> Usage:
        """Return the resident memory and the open descriptors now."""
        folder = pathlib.Path(f'/proc/{self.process.pid}')
        try:
            pages = int((folder / 'statm').read_text().split()[1])
            return Usage(pages * _PAGE_BYTES, len(os.listdir(folder / 'fd')))
        except (OSError, IndexError):
            return Usage(0, 0)

    def _measure_cpu(self) -> float:
        """Return the processor time used up to now, in seconds."""
        path = pathlib.Path(f'/proc/{self.process.pid}/stat')
        try:
            fields = path.read_text().rpartition(')')[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    async def settle(self) -> None:
        """Wait until the process has handled what it was sent."""
        before = self._measure_cpu()
        for _ in range(_MAX_SETTLE_INTERVALS):
            await asyncio.sleep(_SETTLE_INTERVAL_S)
            now = self._measure_cpu()
            if now - before < _BUSY_SHARE * _SETTLE_INTERVAL_S:
                return
            before = now

    async def _watch(self) -> None:
        while True:
            now = self.measure()
            self._peak = Usage(*map(max, self._peak, now))
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    @contextlib.asynccontextmanager
    async def watch(self) -> AsyncIterator[None]:
        """Record the peak usage until the end of the block."""
        task = asyncio.create_task(self._watch())
        try:
            yield
        finally:
            task.cancel()

    def peak(self) -> Usage:
        """Return the most that was measured."""
        return self._peak

    async def ask(self) -> CallerResponse | None:
        """Send an ordinary request until it is answered with success."""
        response = None
        for _ in range(_MAX_TRIES):
            with contextlib.suppress(OSError, EOFError, ValueError):
                async with asyncio.timeout(_TRY_TIMEOUT_S):
                    response = await self._ask_once()
                if response.status == 200:
                    return response
            await asyncio.sleep(_TRY_INTERVAL_S)
        return response

    async def _ask_once(self) -> CallerResponse:
        reader, writer = await asyncio.open_connection(
            _LOOPBACK, self.ports['entry']
        )
        with contextlib.closing(writer):
            writer.write(make_head(5) + b'hello')
            return await deployments.read_response(reader)


class Client:
    """A client's connection; it stays open until the client is closed."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._writer: asyncio.StreamWriter | None = None
        self._drain: asyncio.Task[bytes] | None = None

    async def send(self, head: bytes, body: Body | None) -> None:
        """Send as much as the daemon takes; ignore what it responds."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_LOAD_TIMEOUT_S):
                reader, self._writer = await asyncio.open_connection(
                    _LOOPBACK, self._port
                )
                self._drain = asyncio.create_task(reader.read())
                self._writer.write(head)
                await self._writer.drain()
                if body is not None:
                    await self._send_body(self._writer, body)

    async def _send_body(
        self, writer: asyncio.StreamWriter, body: Body
    ) -> None:
        for _ in range(body.count):
            if writer.is_closing():
                return
            writer.write(body.piece)
            await writer.drain()

    def close(self) -> None:
        """Close the connection."""
        if self._drain is not None:
            self._drain.cancel()
        if self._writer is not None:
            self._writer.transport.abort()


async def flood(
    daemon: Daemon, requests: list[tuple[bytes, Body | None]]
) -> CallerResponse | None:
    """Send requests at once; return the response to an ordinary one after.

    The clients keep their connections until then.
    """
    clients = [Client(daemon.ports['entry']) for _ in requests]
    async with daemon.watch():
        try:
            await asyncio.gather(
                *(c.send(*r) for c, r in zip(clients, requests, strict=True))
            )
            await daemon.settle()
            return await daemon.ask()
        finally:
            for client in clients:
                client.close()


def make_limited_configuration() -> dict[str, object]:
    """Return a configuration with the limits of the known deployment."""
    limits = {
        'max-header-bytes': 16_384,
        'max-body-bytes': MAX_BODY_BYTES,
        'header-timeout-ms': 3_000,
        'idle-timeout-ms': 15_000,
    }
    return make_configuration(2, limits=limits)


def memory_bound() -> int:
    """Return the memory that the settings allow, in bytes."""
    return MEMORY_MB * _BYTES_PER_MB


__all__ = [
    'Body',
    'Daemon',
    'flood',
    'make_chunked_body',
    'make_head',
    'make_limited_configuration',
    'make_stalled_body',
    'make_whole_body',
    'MAX_BODY_BYTES',
    'MAX_FDS',
    'memory_bound',
    'RESERVED_FDS',
    'Usage',
]
