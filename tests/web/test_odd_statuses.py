"""Responses with a status that no response has."""

from __future__ import annotations

import asyncio

from earlytargets import EarlyTarget
from earlytargets import Ending
from lentilrun.web.client import Client
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import Request
from lentilrun.web.client import ResponseHandler
import pytest

_TIMEOUT_S = 3.0


class _Recorder(ResponseHandler):
    """Records what it is told of a response."""

    def __init__(self) -> None:
        super().__init__()
        self.statuses: list[int] = []

    def receive_head(self, status: int, headers: object) -> None:
        self.statuses.append(status)

    def receive_chunk(self, chunk: bytes) -> None:
        raise AssertionError(chunk)


_STATUSES = ('000', '001', '099', '101', '600', '700', '999', '20', '2000')
_FRAMES = {
    'length': b'Content-Length: 6\r\n\r\na part',
    'chunks': b'Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n0\r\n\r\n',
    'none': b'\r\na part',
    'no body': b'Content-Length: 0\r\n\r\n',
    'nothing': b'\r\n',
}
_SOUND_AFTER = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond'


@pytest.mark.parametrize('after', [b'', _SOUND_AFTER])
@pytest.mark.parametrize('frame', _FRAMES)
@pytest.mark.parametrize('status', _STATUSES)
def test_status_that_is_none(status: str, frame: str, after: bytes) -> None:
    """A target in trouble sent a status of 000; callers got it as one.

    Nothing behind it is the response either.
    """

    async def body() -> None:
        packet = b'HTTP/1.1 %s Odd\r\n%s' % (status.encode(), _FRAMES[frame])
        target = EarlyTarget((packet + after,), Ending.FIN, reads_body=True)
        handler = _Recorder()
        async with target:
            with Client() as client:
                request = Request('POST', '/', {}, b'x', _TIMEOUT_S)
                with pytest.raises(InterruptedExchangeError):
                    await client.exchange(target.address, request, handler)
        assert not handler.statuses

    asyncio.run(body())
