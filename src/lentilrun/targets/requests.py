"""Requests to targets: calls, resumed streams and cancellations."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import LentilrunError
from ..web.client import Request

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from ..config.ini import Address
    from ..web.client import Client
    from ..web.client import ResponseHandler

ATTEMPT_HEADER = 'X-Attempt-Id'
INCARNATION_HEADER = 'X-Incarnation'
VERSION_HEADER = 'X-Version'
_CANCEL_TIMEOUT = 1.0


class ForwardedHeaders(NamedTuple):
    """What a target is told of a request beside the request itself.

    ``urgency`` counts from 0, the most urgent; ``timeout`` in seconds.
    """

    request_id: str
    attempt_id: str
    workspace: str
    salt: str
    urgency: int
    timeout: float

    def make_headers(self) -> dict[str, str]:
        """Return the headers that carry it."""
        return {
            'X-Request-Id': self.request_id,
            ATTEMPT_HEADER: self.attempt_id,
            'X-Workspace': self.workspace,
            'X-Cache-Salt': self.salt,
            'X-Priority': str(self.urgency),
            'X-Timeout': f'{self.timeout:.3f}',
        }


class OutgoingRequest(NamedTuple):
    """A caller's request as it goes to a target, without its key."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def send(
    client: Client,
    address: Address,
    outgoing: OutgoingRequest,
    trace: ForwardedHeaders,
    receiver: ResponseHandler,
    reuse: bool,
) -> None:
    """Send a request to a target once; errors as in ``web.client``."""
    headers = {**outgoing.headers, **trace.make_headers()}
    request = Request(
        outgoing.method, outgoing.path, headers, outgoing.body, trace.timeout
    )
    await client.exchange(address, request, receiver, reuse)


async def resume(
    client: Client,
    address: Address,
    attempt: str,
    last: int,
    timeout: float,
    receiver: ResponseHandler,
) -> None:
    """Ask for the events of a stream after the event ``last``."""
    headers = {'Last-Event-ID': str(last), ATTEMPT_HEADER: attempt}
    path = f'/v1/streams/{attempt}'
    request = Request('GET', path, headers, b'', timeout)
    await client.exchange(address, request, receiver, reuse=False)


async def cancel(client: Client, address: Address, attempt: str) -> None:
    """Tell a target to stop a request; best effort."""
    body = msgspec.json.encode({'attempt': attempt})
    request = Request('POST', '/v1/cancel', {}, body, _CANCEL_TIMEOUT)
    try:
        await client.fetch(address, request)
    except LentilrunError:
        pass


def is_response_to(headers: HTTPHeaders, attempt: str) -> bool:
    """Return whether an answer is the one to this attempt."""
    return headers.get(ATTEMPT_HEADER, attempt) == attempt


__all__ = [
    'ATTEMPT_HEADER',
    'cancel',
    'ForwardedHeaders',
    'INCARNATION_HEADER',
    'is_response_to',
    'OutgoingRequest',
    'resume',
    'send',
    'VERSION_HEADER',
]
