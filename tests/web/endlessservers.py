"""A server in threads of its own whose responses never end."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

from lentilrun.config.ini import Address

if TYPE_CHECKING:
    from types import TracebackType

_ACCEPT_TIMEOUT_S = 0.1
_MAX_REQUEST_BYTES = 65536
_LOOPBACK = '127.0.0.1'


class EndlessServer:
    """A context manager that serves a head, and then data without end."""

    def __init__(self, head: bytes, data: bytes) -> None:
        self._head = head
        self._data = data
        self._listener = socket.create_server((_LOOPBACK, 0))
        self._listener.settimeout(_ACCEPT_TIMEOUT_S)
        self._connections: list[socket.socket] = []
        self._accepting = threading.Thread(target=self._accept)
        self._threads: list[threading.Thread] = []
        self._is_closed = threading.Event()
        self.address = Address(*self._listener.getsockname()[:2])

    def __enter__(self) -> EndlessServer:
        self._accepting.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._is_closed.set()
        self._accepting.join()
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join()
        self._listener.close()

    def _accept(self) -> None:
        while not self._is_closed.is_set():
            with contextlib.suppress(TimeoutError):
                connection, _ = self._listener.accept()
                connection.settimeout(None)
                self._connections.append(connection)
                thread = threading.Thread(
                    target=self._serve, args=(connection,)
                )
                self._threads.append(thread)
                thread.start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(_MAX_REQUEST_BYTES)
            connection.sendall(self._head)
            while True:
                connection.sendall(self._data)


__all__ = ['EndlessServer']
