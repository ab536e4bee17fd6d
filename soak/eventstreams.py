"""Event streams of a replica process: drawn forms, and drawn faults.

Each event names its number, its request and its run.
"""

from __future__ import annotations

import asyncio
import enum
import os
import random
import signal
import socket
import struct
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.standins.rawresponse import RawResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from lentilrun.standins.replica import ReplicaState
    from tornado.iostream import IOStream
    from tornado.web import RequestHandler

_OK = 200
# Makes the kernel send RST for the connection of a process that ends.
_LINGER_OFF = struct.pack('ii', 1, 0)
_STREAM_S = (0.0, 0.1, 0.6, 1.2)
_PADDINGS = (0, 0, 20, 200, 4000)
_MAX_BYTEWISE_PADDING = 20
# Each packet takes more than a millisecond; a stream ends in time.
_MAX_PACKETS = 400
_EVENT_BYTES = 80
_EVENTS_PER_WRITE = (1, 1, 1, 2, 5, 1000)
_PACKET_BYTES = (0, 0, 0, 1, 7, 60)
_LINE_ENDS = ('\n', '\n', '\n', '\n', '\n', '\n', '\r\n', '\r')
_BLANKS = (' ', ' ', ' ', ' ', '', '  ')
_FAULT_SHARE = 0.25
_REJECTIONS = (400, 409, 500)
# A caller reads what was sent, before the process ends.
_KILL_DELAYS_S = (0.0, 0.0, 0.02)


class StreamFault(enum.StrEnum):
    """What goes wrong with a stream.

    The first four need no fault of the program. The rest are wrong answers;
    from ``ANEW`` on, those to a request that is to go on after an event.
    """

    NONE = ''
    KILLED = 'killed'
    KILLED_WITHIN_EVENT = 'killed_within_event'
    KILLED_WITH_RESET = 'killed_with_reset'
    TORN = 'torn'
    GAP = 'gap'
    BACK = 'back'
    TWICE = 'twice'
    ANEW = 'anew'
    ANEW_WITH_GAP = 'anew_with_gap'
    AHEAD = 'ahead'
    REJECTED = 'rejected'
    EMPTY_AND_KILLED = 'empty_and_killed'


_KILLS = (
    StreamFault.KILLED,
    StreamFault.KILLED_WITHIN_EVENT,
    StreamFault.KILLED_WITH_RESET,
    StreamFault.TORN,
)
_WRONG_NUMBERS = (StreamFault.GAP, StreamFault.BACK, StreamFault.TWICE)
_WRONG_RESUMPTIONS = (
    StreamFault.ANEW,
    StreamFault.ANEW_WITH_GAP,
    StreamFault.AHEAD,
    StreamFault.REJECTED,
)


class FaultLevel(enum.StrEnum):
    """Which faults are drawn: none, those of processes, or wrong answers."""

    NONE = 'none'
    PROCESSES = 'processes'
    ANSWERS = 'answers'


class StreamForm(NamedTuple):
    """How one run sends its events; ``fault_after`` counts its events."""

    run: str
    first: int
    last: int
    is_framed: bool
    line_end: str
    blanks: str
    events_per_write: int
    packet_bytes: int
    pause_s: float
    padding: int
    fault: StreamFault
    fault_after: int


def draw_form(
    rng: random.Random, run: str, first: int, last: int, level: FaultLevel
) -> StreamForm:
    """Draw how the events ``first`` to ``last`` are sent."""
    packet_bytes = rng.choice(_PACKET_BYTES)
    padding = rng.choice(_PADDINGS)
    if packet_bytes:
        padding = min(padding, _MAX_BYTEWISE_PADDING)
    count = max(1, last + 1 - first)
    if packet_bytes:
        packet_bytes = max(packet_bytes, count * _EVENT_BYTES // _MAX_PACKETS)
    fault = _draw_fault(rng, level, first > 1)
    is_framed = rng.random() < 0.5
    return StreamForm(
        run,
        first,
        last,
        is_framed and fault is not StreamFault.EMPTY_AND_KILLED,
        rng.choice(_LINE_ENDS),
        rng.choice(_BLANKS),
        rng.choice(_EVENTS_PER_WRITE),
        packet_bytes,
        rng.choice(_STREAM_S) / count,
        padding,
        fault,
        rng.randint(0, count),
    )


def _draw_fault(
    rng: random.Random, level: FaultLevel, is_resumed: bool
) -> StreamFault:
    draw = rng.random()
    faults = list(_KILLS)
    if is_resumed:
        faults.append(StreamFault.EMPTY_AND_KILLED)
    if level is FaultLevel.ANSWERS:
        faults += _WRONG_RESUMPTIONS if is_resumed else _WRONG_NUMBERS
    fault = rng.choice(faults)
    if level is FaultLevel.NONE or draw > _FAULT_SHARE:
        return StreamFault.NONE
    return fault


def _leave_out(numbers: list[int], at: int) -> list[int]:
    """Leave an event out, but not the last: no later one would show it."""
    if at + 1 >= len(numbers):
        return numbers
    return numbers[:at] + numbers[at + 1 :]


def list_numbers(form: StreamForm) -> list[int]:
    """Return the numbers of the events that a run sends, in their order."""
    first = 1 if form.fault.startswith(StreamFault.ANEW) else form.first
    numbers = list(range(first, form.last + 1))
    at = form.fault_after
    if form.fault is StreamFault.AHEAD:
        return _leave_out(numbers, 0)
    if form.fault in (StreamFault.GAP, StreamFault.ANEW_WITH_GAP):
        return _leave_out(numbers, at)
    if form.fault is StreamFault.TWICE:
        return numbers[:at] + numbers[max(0, at - 1) :]
    if form.fault is StreamFault.BACK:
        return numbers[:at] + numbers[at // 2 :]
    return numbers


class _EventWriter:
    """Sends parts of a stream, in chunks or without."""

    def __init__(self, handler: RequestHandler, form: StreamForm) -> None:
        self._handler = handler
        self._packet_bytes = form.packet_bytes
        connection = handler.request.connection
        self.stream: IOStream = connection.stream  # type: ignore[union-attr]
        self._raw: RawResponse | None = None
        if not form.is_framed:
            self._raw = RawResponse(self.stream, form.packet_bytes)
            headers = dict(handler._headers.get_all())
            self._raw.begin(_OK, headers)

    async def write(self, data: bytes) -> None:
        """Send a part; without data, the head."""
        if self._raw is not None:
            await self._raw.write(data)
            return
        size = self._packet_bytes or max(1, len(data))
        if not data:
            await self._handler.flush()
        for start in range(0, len(data), size):
            self._handler.write(data[start : start + size])
            await self._handler.flush()
            if self._packet_bytes:
                await asyncio.sleep(0.001)

    async def write_torn(self, data: bytes) -> None:
        """Send a part that belongs to a longer chunk."""
        if self._raw is None:
            data = b'%x\r\n%s' % (len(data) + 10, data)
        await self.stream.write(data)

    def finish(self) -> None:
        """End the stream as complete."""
        if self._raw is None:
            self._handler.finish()
        else:
            self._raw.finish()

    async def kill(self, delay_s: float, with_reset: bool) -> None:
        """End this process, as the kernel does it."""
        await asyncio.sleep(delay_s)
        if with_reset and not self.stream.closed():
            self.stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF
            )
        os.kill(os.getpid(), signal.SIGKILL)


class EventStreams:
    """Answers the streams of one process; paths end in their length."""

    def __init__(
        self,
        state: ReplicaState,
        rng: random.Random,
        level: FaultLevel,
        record_form: Callable[[str, dict[str, object]], None],
    ) -> None:
        """Call ``record_form`` with a request's ID and what is done to it."""
        self.level = level
        self._state = state
        self._rng = rng
        self._record_form = record_form
        self._count = 0

    async def respond(self, handler: RequestHandler) -> None:
        """Send the events of a request's stream."""
        self._count += 1
        headers = handler.request.headers
        form = draw_form(
            self._rng,
            f'{self._state.incarnation}.{self._state.born}.{self._count}',
            int(headers.get('Last-Event-Id', '0')) + 1,
            read_length(handler.request.path),
            self.level,
        )
        request_id = headers.get('X-Request-Id', '')
        self._record_form(request_id, form._asdict())
        if form.fault is StreamFault.REJECTED:
            handler.clear_header('Content-Type')
            handler.set_status(self._rng.choice(_REJECTIONS))
            handler.finish('rejected')
            return
        await self._send(_EventWriter(handler, form), form, request_id)

    async def _send(
        self, writer: _EventWriter, form: StreamForm, request_id: str
    ) -> None:
        await writer.write(b'')
        events = [_make_event(form, n, request_id) for n in list_numbers(form)]
        is_broken = form.fault in (*_KILLS, StreamFault.EMPTY_AND_KILLED)
        whole = events[: form.fault_after] if is_broken else events
        if form.fault is StreamFault.EMPTY_AND_KILLED:
            whole = []
        for start in range(0, len(whole), form.events_per_write):
            part = whole[start : start + form.events_per_write]
            await writer.write(b''.join(part))
            await asyncio.sleep(form.pause_s * len(part))
        if is_broken:
            self._record_form(
                request_id, {'run': form.run, 'broken': form.fault}
            )
            await self._break(writer, form, events[len(whole) :])
        else:
            writer.finish()

    async def _break(
        self, writer: _EventWriter, form: StreamForm, rest: list[bytes]
    ) -> None:
        within = (StreamFault.KILLED_WITHIN_EVENT, StreamFault.TORN)
        if form.fault in within and rest:
            size = self._rng.randint(1, len(rest[0]) - 1)
            await writer.write_torn(rest[0][:size])
        if form.fault is StreamFault.TORN and rest:
            writer.stream.close()
            return
        is_reset = form.fault is StreamFault.KILLED_WITH_RESET
        await writer.kill(self._rng.choice(_KILL_DELAYS_S), is_reset)


def _make_event(form: StreamForm, number: int, request_id: str) -> bytes:
    text = f'piece {number} of {request_id} in {form.run} '
    text += '.' * form.padding
    lines = (f'id:{form.blanks}{number}', f'data: {text.strip()}', '', '')
    return form.line_end.join(lines).encode()


def read_length(path: str) -> int:
    """Return the number of events of the stream at a path."""
    return int(path.rpartition('-')[2])


__all__ = [
    'draw_form',
    'EventStreams',
    'FaultLevel',
    'list_numbers',
    'read_length',
    'StreamFault',
    'StreamForm',
]
