"""Streams are relayed event by event, whatever their lines end in."""

from __future__ import annotations

import asyncio

from lentilrun.entry.relay import ResponseReceiver
from lentilrun.entry.relay import StreamState
import pytest
from tornado.httputil import HTTPHeaders

_HEADERS = {'Content-Type': 'text/event-stream'}


class _Writer:
    def __init__(self) -> None:
        self.data = b''

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        assert status == 200

    async def write(self, data: bytes) -> None:
        self.data += data


def _receive(packets: list[bytes]) -> tuple[ResponseReceiver, bytes]:
    async def body() -> tuple[ResponseReceiver, bytes]:
        writer = _Writer()
        receiver = ResponseReceiver(StreamState('mine'), writer)
        receiver.receive_head(200, HTTPHeaders(_HEADERS))
        for packet in packets:
            handling = receiver.receive_chunk(packet)
            if handling is not None:
                await handling
        return receiver, writer.data

    return asyncio.run(body())


def _make_stream(line_end: str) -> bytes:
    events = [f'id: {n}{line_end}data: piece {n}' for n in (1, 2, 3)]
    events.append('id: 4' + line_end + 'data: [DONE]')
    return ''.join(e + 2 * line_end for e in events).encode()


@pytest.mark.parametrize('packet_bytes', [1, 7, 1000])
@pytest.mark.parametrize('line_end', ['\n', '\r\n'])
def test_whole_stream(line_end: str, packet_bytes: int) -> None:
    """All events are relayed as they were sent, and the last one is seen."""
    data = _make_stream(line_end)
    starts = range(0, len(data), packet_bytes)
    receiver, relayed = _receive([data[i : i + packet_bytes] for i in starts])
    assert relayed == data
    assert receiver.stream.is_done
    assert receiver.stream.event_count == 4


@pytest.mark.parametrize('line_end', ['\n', '\r\n'])
def test_end_within_an_event(line_end: str) -> None:
    """A stream whose last event is not complete is not done."""
    data = _make_stream(line_end)
    receiver, relayed = _receive([data[:-1]])
    assert not receiver.stream.is_done
    assert receiver.stream.last_event_id == 3
    assert data.startswith(relayed)


@pytest.mark.parametrize('line_end', ['\n', '\r\n'])
def test_events_are_relayed_once(line_end: str) -> None:
    """Events that come again after a resumption are left out."""
    data = _make_stream(line_end)
    first_size = len(data) // 2
    end = data.rfind(b'id', 0, first_size)
    _, relayed = _receive([data[:end], data])
    assert relayed == data
