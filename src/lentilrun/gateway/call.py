"""One caller's request, and the way back to the caller."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING

from ..decisions.facts import RouteKind

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from ..decisions.facts import Prompt
    from ..decisions.facts import Route
    from ..decisions.facts import Workspace


# A workspace's urgency goes before that of a route.
_PER_WORKSPACE = 3


class IncomingRequest(NamedTuple):
    """A request as it came; ``uri`` is the path with its query.

    ``arrived_at`` is by the clock, in seconds.
    """

    method: str
    uri: str
    headers: HTTPHeaders
    body: bytes
    arrived_at: float


class Call(NamedTuple):
    """A request that was let in; times by the clock, in seconds."""

    request_id: str
    incoming: IncomingRequest
    route: Route
    workspace: Workspace | None
    prompt: Prompt | None
    last_event_id: int
    deadline: float
    charged_tokens: float
    fingerprint: bytes

    def urgency(self) -> int:
        """Return its rank: 0 is the most urgent."""
        if self.workspace is None:
            return self.route.urgency
        return _PER_WORKSPACE * self.workspace.urgency + self.route.urgency

    def may_cancel(self) -> bool:
        """Return whether it ends once its caller is gone."""
        return self.route.kind is not RouteKind.UNSAFE


class Reason(enum.StrEnum):
    """Why the router answered a request itself."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    NOT_CONFIGURED = 'not_configured'
    UNKNOWN_ROUTE = 'unknown_route'
    KEY_REFUSED = 'key_refused'
    QUOTA = 'quota'
    NO_TARGET = 'no_target'
    OVERLOADED = 'overloaded'
    QUARANTINED = 'quarantined'
    RETRIES_SPENT = 'retries_spent'
    LEAVING = 'leaving'
    DEADLINE = 'deadline'
    TARGET_FAILED = 'target_failed'
    INTERNAL = 'internal'


class Refusal(Exception):
    """An answer of the router's own; ``retry_after`` in seconds."""

    def __init__(
        self, status: int, reason: Reason, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class ResponseWriter(Protocol):
    """The way back to a caller; raises ``StreamClosedError`` if it left."""

    async def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Send a piece of a stream."""

    async def finish(self) -> None:
        """End a stream as complete."""

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a whole answer."""

    def abort(self) -> None:
        """Break off, so that nothing looks complete."""


__all__ = ['Call', 'IncomingRequest', 'Reason', 'Refusal', 'ResponseWriter']
