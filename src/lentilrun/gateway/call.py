"""A caller's request, and the interface for the response to it."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from ..decisions.facts import RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from ..decisions.facts import Prompt
    from ..decisions.facts import Route
    from ..decisions.facts import Workspace
    from ..web.body import Body


# Weight of a workspace's urgency, so that it takes precedence over the
# urgency of the route.
_WORKSPACE_URGENCY_WEIGHT = 3


class IncomingRequest(NamedTuple):
    """A request as received; ``uri`` is the path with its query.

    ``arrived_at`` is by the clock, in seconds. The body is empty once it was
    released, as no further attempt can need it.
    """

    method: str
    uri: str
    headers: HTTPHeaders
    body: bytes | Body
    arrived_at: float


class Call(NamedTuple):
    """An admitted request; ``deadline`` is by the clock, in seconds.

    ``fingerprint`` is the same for repetitions of a request. A call that
    ``is_forwarded`` was admitted by another VM, which alone may repeat it; it
    ``is_continued`` if its caller has received events of the stream there.
    """

    request_id: str
    incoming: IncomingRequest
    route: Route
    workspace: Workspace | None
    prompt: Prompt | None
    last_event_id: int
    deadline: float
    charged_tokens: float
    fingerprint: bytes
    is_forwarded: bool = False
    is_continued: bool = False

    def patience_end(self) -> float:
        """Return until when the caller waits for a stream's first event."""
        return self.incoming.arrived_at + self.route.abandon_timeout()

    def urgency(self) -> int:
        """Return the urgency of the call; 0 is the most urgent."""
        if self.workspace is None:
            return self.route.urgency
        return (
            _WORKSPACE_URGENCY_WEIGHT * self.workspace.urgency
            + self.route.urgency
        )

    def may_cancel_sent(self) -> bool:
        """Return whether the call may be cancelled after it was sent."""
        return self.route.kind is not RouteKind.UNSAFE


class Cancellation:
    """Cancels a call whose caller disconnects, unless it is forbidden.

    It is forbidden while a call runs that must be completed.
    """

    def __init__(self) -> None:
        # Called if the call is to end while it waits.
        self.cancel: Callable[[], object] = lambda: None
        self._is_forbidden = False
        self._is_requested = False

    def request(self) -> None:
        """Record that the caller has disconnected."""
        self._is_requested = True
        if not self._is_forbidden:
            self.cancel()

    def forbid(self) -> None:
        """Complete the call from now on, even if the caller disconnects."""
        self._is_forbidden = True

    def permit(self) -> None:
        """Permit the cancellation, as the call has not run.

        Raises ``StreamClosedError`` if the caller has disconnected.
        """
        self._is_forbidden = False
        if self._is_requested:
            raise StreamClosedError


class Reason(enum.StrEnum):
    """Why the router itself responded to a request."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_STALLED = 'body_stalled'
    NO_MEMORY = 'no_memory'
    NO_CONNECTION = 'no_connection'
    NOT_CONFIGURED = 'not_configured'
    UNKNOWN_ROUTE = 'unknown_route'
    KEY_REFUSED = 'key_refused'
    QUOTA = 'quota'
    NO_TARGET = 'no_target'
    NO_PATH = 'no_path'
    BUSY = 'busy'
    OLD_CONFIGURATION = 'old_configuration'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    QUARANTINED = 'quarantined'
    RETRIES_SPENT = 'retries_spent'
    LEAVING = 'leaving'
    DEADLINE = 'deadline'
    TARGET_FAILED = 'target_failed'
    OLD_WEIGHTS = 'old_weights'
    INTERNAL = 'internal'


class Refusal(Exception):
    """An error response of the router; ``retry_after`` in seconds."""

    def __init__(
        self, status: int, reason: Reason, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class ResponseWriter(Protocol):
    """Sends a response to the caller.

    Raises ``StreamClosedError`` if the caller has disconnected.
    """

    async def begin(
        self, status: int, headers: HTTPHeaders, data: bytes
    ) -> None:
        """Send the head of a streamed response and its first data.

        All of it counts as sent, even if the caller is slow to take it and
        the wait for that is cancelled.
        """

    async def write(self, data: bytes) -> None:
        """Send data of a streamed response."""

    async def finish(self) -> None:
        """Complete a streamed response."""

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes | bytearray
    ) -> None:
        """Send a whole response; a ``bytearray`` is not changed later."""

    def abort(self) -> None:
        """Close the connection, so that the response looks incomplete."""


__all__ = [
    'Call',
    'Cancellation',
    'IncomingRequest',
    'Reason',
    'Refusal',
    'ResponseWriter',
]
