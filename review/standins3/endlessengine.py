"""An engine in trouble: the body of its answers never ends.

It answers its report and its health check. While a file exists, each request
gets a head and then bytes without end, until the caller closes; otherwise a
short stream. The bytes are comments of an event stream and hold no event.
"""

from __future__ import annotations

import json
import pathlib
import socket
import sys
import threading

_BLOCK = b': \n\n' * 65536


def _read_head(connection: socket.socket) -> tuple[str, dict[str, str]] | None:
    data = b''
    while b'\r\n\r\n' not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    lines = data.partition(b'\r\n\r\n')[0].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    return lines[0], headers


class Engine:
    """Serves one port; writes a line for each run."""

    def __init__(self, name: str, version: int, trouble: pathlib.Path) -> None:
        self._name = name
        self._version = version
        self._trouble = trouble

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of one connection."""
        with connection:
            try:
                while (head := _read_head(connection)) is not None:
                    if not self._answer(connection, *head):
                        return
            except OSError:
                return

    def _answer(
        self, connection: socket.socket, line: str, headers: dict[str, str]
    ) -> bool:
        if '/lentilrun/report' in line:
            report = {
                'stage': 'unified',
                'models': [
                    {'name': 'model', 'version': self._version, 'adapters': []}
                ],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'active': 0,
                'kv-used': 0,
                'kv-total': 60000,
                'handles': 0,
            }
            body = json.dumps(report).encode()
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n' % len(body) + body
            )
            return True
        request_id = headers.get('x-request-id', '')
        expected = headers.get('x-expected-instance', self._name)
        if expected != self._name:
            connection.sendall(
                f'HTTP/1.1 421 Misdirected\r\nX-Request-Id: {request_id}\r\n'
                'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return True
        print('run', request_id, flush=True)
        connection.sendall(
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'X-Request-Id: {request_id}\r\n'
            f'X-Instance-Id: {self._name}\r\n'
            f'X-Weight-Versions: {self._version}\r\n'
            'X-Response-Signature: s\r\n\r\n'.encode()
        )
        if not self._trouble.exists():
            first = int(headers.get('last-event-id', '0')) + 1
            for number in range(first, 7):
                connection.sendall(b'id: %d\ndata: x\n\n' % number)
            return False
        sent = 0
        try:
            while True:
                connection.sendall(_BLOCK)
                sent += len(_BLOCK)
        finally:
            print('sent', request_id, sent, flush=True)


def main() -> None:
    """Serve until killed: NAME PORT VERSION TROUBLE_FILE."""
    name, port, version, trouble = sys.argv[1:]
    engine = Engine(name, int(version), pathlib.Path(trouble))
    with socket.create_server(('127.0.0.1', int(port))) as listener:
        print('listening', flush=True)
        while True:
            connection, _ = listener.accept()
            thread = threading.Thread(target=engine.serve, args=(connection,))
            thread.daemon = True
            thread.start()


if __name__ == '__main__':
    main()
