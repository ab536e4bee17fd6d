"""Requests of any bytes: none is changed on its way, none ends a VM."""

from __future__ import annotations

import asyncio
import os
import pathlib

import deployments
from deployments import Deployment
from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
import pytest

_METHODS = st.sampled_from(
    [b'GET', b'POST', b'HEAD', b'get', b'', b'\xff', b'PUT', b'CONNECT']
)
_PATHS = st.sampled_from(
    [
        *(b'/plain/x', b'/plain/x?a=b', b'/plain/\xe9', b'*', b'', b'/'),
        *(b'http://example/plain/x', b'/plain/%zz', b'/plain/\x01', b'/none'),
        *(b'//example/plain/x', b'/once/x', b'/talk/x', b'/plain/' + b'y' * 9),
    ]
)
_VERSIONS = st.sampled_from(
    [b'HTTP/1.1', b'HTTP/1.0', b'HTTP/2', b'', b'HTTP/1.9', b'HTTP/11']
)
_FIELDS = st.sampled_from(
    [
        b'Host: example',
        b'Host: other',
        b'X-Request-Id: r1',
        b'X-Request-Id: \xff',
        b'Api-Key: key-1',
        b'Api-Key: \xe9',
        b'X-Deadline-Ms: 300',
        b'X-Deadline-Ms: ' + b'9' * 5000,
        b'X-Token-Usage: 10,5',
        b'X-Token-Usage: ' + b'9' * 30,
        b'X-Model: \xff',
        b'X-Prefix-Hash: a:1,,b:x,c',
        b'Last-Event-Id: -1',
        b'Connection: close, X-Request-Id',
        b'Expect: 100-continue',
        b'Content-Length: 2',
        b'Content-Length: 9999999999999',
        b'Content-Length: \xb2',
        b'Transfer-Encoding: chunked',
        b'Upgrade: websocket',
        b'Name\x00: x',
        b' folded',
        b'no colon',
        b': no name',
    ]
)
_BODIES = st.sampled_from(
    [b'', b'ab', b'2\r\nab\r\n0\r\n\r\n', b'zz\r\n', b'GET / HTTP/1.1\r\n\r\n']
)


# Its empty segment once crashed the stand-in of a target.
_EMPTY_SEGMENT = (
    b'GET /plain/x HTTP/1.1\r\nHost: example\r\nX-Request-Id: r1\r\n'
    b'Api-Key: key-1\r\nX-Prefix-Hash: a:1,,b:x,c\r\n\r\nab'
)

# Its ID once was not passed on, so that no response seemed to belong to it.
_LISTED_REQUEST_ID = (
    b'GET /plain/x HTTP/1.1\r\nHost: example\r\nX-Request-Id: r1\r\n'
    b'Api-Key: key-1\r\nConnection: close, X-Request-Id\r\n\r\n'
)


@st.composite
def _draw_request(draw: st.DrawFn) -> bytes:
    line = b' '.join([draw(_METHODS), draw(_PATHS), draw(_VERSIONS)])
    valid = [b'Host: example', b'X-Request-Id: r1', b'Api-Key: key-1']
    fields = valid if draw(st.booleans()) else []
    fields += draw(st.lists(_FIELDS, max_size=4))
    return b'\r\n'.join([line, *fields, b'', draw(_BODIES)])


async def _send(deployment: Deployment, data: bytes) -> bytes:
    """Send bytes and the end of the connection; return the response."""
    node = deployment.nodes['vm1']
    reader, writer = await asyncio.open_connection(*node.settings.entry)
    writer.write(data)
    writer.write_eof()
    try:
        async with asyncio.timeout(3.0):
            return await reader.read()
    except ConnectionError:
        return b''
    finally:
        writer.close()


async def _start(deployment: Deployment) -> None:
    deployment.add_replica('a1', 'app')
    deployment.add_replica('e1', 'llm')
    await deployment.start_node('vm1')


@settings(
    deadline=None,
    max_examples=25,
    suppress_health_check=[
        HealthCheck.function_scoped_fixture,
        HealthCheck.too_slow,
    ],
)
@given(st.lists(_draw_request(), min_size=8, max_size=16))
@example([_EMPTY_SEGMENT])
@example([_LISTED_REQUEST_ID])
def test_any_request(tmp_path: pathlib.Path, requests: list[bytes]) -> None:
    """Each request gets a response or a closed connection."""
    log = tmp_path / 'log'

    async def body() -> None:
        descriptor = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        async with Deployment(descriptor) as deployment:
            await _start(deployment)
            for request in requests:
                response = await _send(deployment, request)
                assert not response or response.startswith(b'HTTP/1.1 ')
            node = deployment.nodes['vm1']
            assert (await deployment.ask(node, '/plain/x')).status == 200

    asyncio.run(body())
    text = log.read_text(encoding='utf-8')
    assert 'request_error' not in text
    assert 'job_failed' not in text


@pytest.mark.parametrize(
    'path',
    [b'/plain/\xe9', b'/plain/\xc3\xa9?\xff', b'/plain/%C3%A9', b'/plain/a+b'],
)
def test_path_is_forwarded_byte_by_byte(path: bytes) -> None:
    """A path is never encoded anew; it may be refused as malformed."""

    async def body() -> None:
        async with Deployment() as deployment:
            await _start(deployment)
            node = deployment.nodes['vm1']
            request = deployment.make_request('/plain/x', b'', '', {})
            data = request.replace(b'/plain/x', path, 1)
            try:
                response = await deployments.ask(node.settings.entry, data)
                status = response.status
            except (asyncio.IncompleteReadError, ConnectionError):
                status = 400
            runs = deployment.replicas['a1'].runs
            received = [r.uri.encode('latin-1') for r in runs]
            assert received == ([path] if status == 200 else [])
            assert status in (200, 400)

    asyncio.run(body())
