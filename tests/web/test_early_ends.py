"""Responses whose connection ends while the request is being sent."""

from __future__ import annotations

import asyncio

from earlytargets import EarlyTarget
from earlytargets import Ending
from lentilrun.web.client import Client
from lentilrun.web.client import InterruptedExchangeError
from lentilrun.web.client import Request
from lentilrun.web.client import Response
import pytest

_TIMEOUT_S = 3.0
_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
_OLD_HEAD = b'HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n'
_FRAMED_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n'
_PACKETS = {
    'no body': (_HEAD,),
    'part': (_HEAD, b'a part'),
    'part in the same packet': (_HEAD + b'a part',),
    'HTTP/1.0': (_OLD_HEAD, b'a part'),
    'an event': (
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n',
        b'id: 1\ndata: x\n\n',
    ),
    'failure': (b'HTTP/1.1 500 Error\r\n\r\n', b'a part'),
    'after 100': (b'HTTP/1.1 100 Continue\r\n\r\n', _HEAD, b'a part'),
}
# A server that ends its side, and then reads the rest, has not broken off.
_CUTS = [e for e in Ending if e not in (Ending.OPEN, Ending.FIN_THEN_READ)]
_ENDINGS = [e for e in Ending if e is not Ending.OPEN]
# Larger than the buffers of a kernel for both sides, and smaller.
_SIZES = (100_000, 300_000, 1_000_000, 8_000_000)


async def _fetch(
    client: Client, target: EarlyTarget, size: int, method: str = 'POST'
) -> Response:
    request = Request(method, '/', {}, b'x' * size, _TIMEOUT_S)
    return await client.fetch(target.address, request)


def _exchange_early(
    packets: tuple[bytes, ...], ending: Ending, size: int
) -> None:
    async def body() -> None:
        async with EarlyTarget(packets, ending) as target:
            with Client() as client:
                with pytest.raises(InterruptedExchangeError):
                    await _fetch(client, target, size)
            assert target.requests == 1

    asyncio.run(body())


@pytest.mark.parametrize('ending', _CUTS)
@pytest.mark.parametrize('name', _PACKETS)
def test_end_before_the_upload_is_no_end(name: str, ending: Ending) -> None:
    """A part of a response passed for the whole, as its upload was cut."""
    _exchange_early(_PACKETS[name], ending, _SIZES[1])


@pytest.mark.parametrize('ending', _CUTS)
@pytest.mark.parametrize('size', _SIZES)
def test_end_before_an_upload_of_any_size(size: int, ending: Ending) -> None:
    """Kernels held what the server had not taken, so it seemed sent."""
    _exchange_early(_PACKETS['part'], ending, size)


@pytest.mark.parametrize('ending', _CUTS)
def test_end_on_a_kept_connection(ending: Ending) -> None:
    """The same passed for a whole response on a connection that was kept."""

    async def body() -> None:
        sound = (_FRAMED_HEAD + b'\r\nsound.',)
        target = EarlyTarget(_PACKETS['part'], ending, 1, sound)
        async with target:
            with Client(responds_once=True) as client:
                first = await _fetch(client, target, _SIZES[1])
                assert first.body == b'sound.'
                with pytest.raises(InterruptedExchangeError):
                    await _fetch(client, target, _SIZES[1])
            assert (target.connections, target.requests) == (1, 2)

    asyncio.run(body())


@pytest.mark.parametrize('ending', [Ending.FIN, Ending.FIN_THEN_READ])
@pytest.mark.parametrize('size', [0, *_SIZES])
def test_end_after_the_upload_is_one(size: int, ending: Ending) -> None:
    """A check of the upload must not refuse a target that has read it."""

    async def body() -> None:
        target = EarlyTarget(_PACKETS['part'], ending, reads_body=True)
        async with target:
            with Client() as client:
                for _ in range(3):
                    response = await _fetch(client, target, size)
                    assert response.body == b'a part'

    asyncio.run(body())


@pytest.mark.parametrize(
    'ending', [Ending.FIN_THEN_READ, Ending.FIN_THEN_SILENT, Ending.OPEN]
)
@pytest.mark.parametrize('size', _SIZES)
def test_early_response_with_a_length(size: int, ending: Ending) -> None:
    """A check of the upload must not refuse a response that is whole.

    A server may answer before it has read a body; a length tells the end.
    """

    async def body() -> None:
        packets = (_FRAMED_HEAD + b'\r\n', b'whole.')
        async with EarlyTarget(packets, ending) as target:
            with Client() as client:
                response = await _fetch(client, target, size)
                assert response.body == b'whole.'

    asyncio.run(body())


_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_CUT = {
    'within a length': (_FRAMED_HEAD + b'\r\n', b'a par'),
    'no chunk': (_CHUNKED,),
    'within a chunk size': (_CHUNKED, b'6\r\na part\r\n6'),
    'within a chunk': (_CHUNKED, b'6\r\na par'),
    'after a chunk': (_CHUNKED, b'6\r\na part\r\n'),
    'before the last line end': (_CHUNKED, b'6\r\na part\r\n0\r\n'),
    'within the last line end': (_CHUNKED, b'6\r\na part\r\n0\r\n\r'),
    'within the head': (b'HTTP/1.1 200 OK\r\nX: y\r\n',),
    'after 100': (b'HTTP/1.1 100 Continue\r\n\r\n',),
}


@pytest.mark.parametrize('reads_body', [False, True])
@pytest.mark.parametrize('ending', _ENDINGS)
@pytest.mark.parametrize('name', _CUT)
def test_framed_response_that_is_cut(
    name: str, ending: Ending, reads_body: bool
) -> None:
    """A length or chunks that break off are no whole response."""

    async def body() -> None:
        target = EarlyTarget(_CUT[name], ending, reads_body=reads_body)
        async with target:
            with Client() as client:
                with pytest.raises(InterruptedExchangeError):
                    await _fetch(client, target, _SIZES[0])

    asyncio.run(body())
