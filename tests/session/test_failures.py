"""Commands end with a message and an exit code, never with a traceback."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
import json
import pathlib
import threading

from lentilrun.session.cmd.commands.apply import apply
from lentilrun.session.cmd.queries.check import check
from lentilrun.session.cmd.queries.explain import explain
from lentilrun.session.cmd.queries.status import status
from lentilrun.session.exits import Exit
import pytest

_REFUSED = json.dumps(
    {'error': {'code': 'operator_refused', 'message': 'no valid token'}}
).encode()


@contextlib.contextmanager
def _serve(response_status: int, body: bytes) -> Iterator[str]:
    """Respond to every request the same; yield the address."""

    class _Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def do_GET(self) -> None:
            size = int(self.headers.get('Content-Length', '0'))
            self.rfile.read(size)
            self.send_response(response_status)
            self.send_header('Content-Length', str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_POST = do_GET

        def log_message(self, format: str, *args: object) -> None:
            return

    server = ThreadingHTTPServer(('127.0.0.1', 0), _Handler)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f'127.0.0.1:{server.server_address[1]}'
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def _write_file(folder: pathlib.Path) -> str:
    path = folder / 'file.ini'
    path.write_text('[x]\n', encoding='utf-8')
    return str(path)


def test_refused_token(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A refused token is named as the reason."""
    with _serve(403, _REFUSED) as operator:
        path = _write_file(tmp_path)
        assert apply(path, operator=operator) == Exit.REFUSED
        assert status(operator=operator) == Exit.REFUSED
    assert capsys.readouterr().err.count('operator_refused') == 2


@pytest.mark.parametrize(
    'operator', ['localhost:1', 'x', '127.0.0.1:0', '127.0.0.1:²', '']
)
def test_address_that_is_none(
    operator: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """An operator's address is an IP address with a port."""
    path = _write_file(tmp_path)
    assert apply(path, operator=operator) == Exit.UNREACHABLE
    assert status(operator=operator) == Exit.UNREACHABLE
    assert 'IP:PORT' in capsys.readouterr().err


@pytest.mark.parametrize('body', [b'', b'<html>', b'[]', b'7', b'"\xff"'])
@pytest.mark.parametrize('response_status', [200, 404])
def test_response_of_another_program(
    response_status: int, body: bytes, tmp_path: pathlib.Path
) -> None:
    """What answers at the address may be no daemon."""
    with _serve(response_status, body) as operator:
        path = _write_file(tmp_path)
        assert apply(path, operator=operator, expect=1) == Exit.UNKNOWN
        assert status(operator=operator) == Exit.UNKNOWN


def test_file_that_is_no_text(tmp_path: pathlib.Path) -> None:
    """A file that is not UTF-8 is invalid, wherever it is read."""
    path = tmp_path / 'file'
    path.write_bytes(b'[a]\nb = \xff\n')
    assert check(str(path)) == Exit.INVALID_FILE
    assert explain('id', str(path)) == Exit.INVALID_FILE


def test_file_name_beyond_latin(tmp_path: pathlib.Path) -> None:
    """The name of a file may have any characters."""
    path = tmp_path / 'Zürich \u20ac.ini'
    path.write_text('[x]\n', encoding='utf-8')
    with _serve(403, _REFUSED) as operator:
        code = apply(str(path), operator=operator, expect=1)
    assert code == Exit.REFUSED
