"""Whether a server's connections have requests that were not answered.

A request that has arrived may lie in the system's buffer, in that of the
stream, or in a task that has not run yet. The state of a parser tells only of
the requests that it has seen.
"""

from __future__ import annotations

import socket
from typing import Any
from typing import TYPE_CHECKING

from .sockets import count_unread_bytes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from tornado.iostream import IOStream


def has_arrivals(stream: IOStream) -> bool:
    """Return whether bytes have arrived that no task has handled.

    A head that was read leaves no trace in the buffer until the task that
    parses it has run; no read is pending then.
    """
    return not stream.reading() or count_unread_bytes(stream.socket) > 0


def is_active(stream: IOStream) -> bool:
    """Return whether a response is sent, or bytes are to be handled."""
    if stream.closed():
        return False
    return stream.writing() or has_arrivals(stream)


def is_quiet(stream: IOStream) -> bool:
    """Return whether a close loses nothing of a request or a response.

    This doesn't tell whether the head of a request was read before.
    """
    return not is_active(stream) and not stream._read_buffer_size


def accept_waiting(
    listeners: Iterable[socket.socket],
    handle_connection: Callable[[socket.socket, Any], None],
    is_paused: Callable[[], bool] = lambda: False,
) -> None:
    """Accept the connections that were made by now, unless it is paused.

    The system resets those that are in its queue as a listener is closed.
    """
    for listener in listeners:
        while not is_paused():
            try:
                connection, address = listener.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                # There is none, or the system has no room for one. The
                # requests of other connections are to be answered.
                break
            handle_connection(connection, address)


__all__ = ['accept_waiting', 'has_arrivals', 'is_active', 'is_quiet']
