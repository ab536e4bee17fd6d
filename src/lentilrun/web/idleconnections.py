"""Connections that are kept open, and which requests they may carry."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .client import Request
    from .responsereading import ResponseDelegate
    from .sockets import RequestStream


class IdleConnection(NamedTuple):
    """An open connection, usable until ``expires_at`` in monotonic seconds.

    ``identity`` is that of its last request. A copy of a rejection may follow
    if it ``may_have_copy``.
    """

    stream: RequestStream
    expires_at: float
    identity: str
    may_have_copy: bool = False

    def may_carry(self, request: Request) -> bool:
        """Return whether a request may be sent over the connection."""
        if self.may_have_copy and not request.idempotent:
            return False
        return not request.identity or self.identity != request.identity


class KeptConnection(NamedTuple):
    """How to keep a connection after an exchange.

    The server keeps it for ``idle_timeout`` seconds; 0 means that it can't be
    used again.
    """

    idle_timeout: float
    may_have_copy: bool = False


NOT_KEPT = KeptConnection(0.0)


def plan_reuse(
    request: Request,
    delegate: ResponseDelegate,
    idle: IdleConnection | None,
) -> KeptConnection:
    """Return how to keep a connection after a response to a request.

    ``idle`` is how it was kept before, nothing if it is new. After a rejection
    that may have been a copy itself, the response is still to come.
    """
    had_copy = idle is not None and idle.may_have_copy
    if not delegate.keep_alive:
        return NOT_KEPT
    if delegate.is_copyable and (had_copy or not request.idempotent):
        return NOT_KEPT
    return KeptConnection(
        delegate.idle_timeout, had_copy or delegate.is_copyable
    )


__all__ = ['IdleConnection', 'KeptConnection', 'NOT_KEPT', 'plan_reuse']
