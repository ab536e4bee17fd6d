"""The operators' interface rejects malformed headers and files."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from lentilrun.operator import commands
from lentilrun.operator.handlers import make_application
import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

_TOKEN = 'Gehe\u00ef m'


def _make_node(token: str) -> Any:
    secrets = SimpleNamespace(operator_token=token)
    return SimpleNamespace(settings=SimpleNamespace(secrets=secrets))


def _post(token: str, headers: dict[str, bytes], body: bytes) -> bytes:
    """Send a file to /apply; return the response."""

    async def run() -> bytes:
        application = make_application(_make_node(token))
        listener, port = bind_unused_port()
        server = HTTPServer(application)
        server.add_socket(listener)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        lines = [b'POST /apply HTTP/1.1', b'Host: x', b'Connection: close']
        lines += [n.encode() + b': ' + v for n, v in headers.items()]
        lines += [b'Content-Length: %d' % len(body), b'', body]
        writer.write(b'\r\n'.join(lines))
        response = await reader.read()
        writer.close()
        server.stop()
        return response

    return asyncio.run(run())


@pytest.mark.parametrize(
    'authorization',
    [b'', b'Bearer x', b'Bearer \xff\xe9', 'Bearer \u20ac'.encode()],
)
def test_authorization_of_any_bytes(authorization: bytes) -> None:
    """A wrong token is refused, also if it isn't ASCII."""
    response = _post('token', {'Authorization': authorization}, b'')
    assert response.startswith(b'HTTP/1.1 403 ')
    assert b'operator_refused' in response


@pytest.mark.parametrize(
    'generation', [b'\xb2', b'9' * 5000, b'-1', b'x', b'1e3']
)
def test_generation_of_any_bytes(
    generation: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A generation that is no number counts as not stated."""
    requests = []

    async def apply(node: object, request: commands.ApplyRequest) -> object:
        requests.append(request)
        return {'generation': 1}

    monkeypatch.setattr(commands, 'apply', apply)
    headers = {'X-Expected-Generation': generation}
    assert _post('', headers, b'').startswith(b'HTTP/1.1 200 ')
    assert [r.expected_generation for r in requests] == [None]


def test_file_that_is_no_text() -> None:
    """A file that is not UTF-8 is the operator's mistake."""
    response = _post('', {}, b'[a]\nb = \xff\n')
    assert b'invalid_file' in response
    assert response.startswith(b'HTTP/1.1 422 ')
