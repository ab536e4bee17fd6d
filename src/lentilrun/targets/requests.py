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
    from ..web.responses import ResponseHandler

ATTEMPT_HEADER = 'X-Attempt-Id'
INCARNATION_HEADER = 'X-Incarnation'
VERSION_HEADER = 'X-Version'
_CANCEL_TIMEOUT_S = 1.0


class ForwardedHeaders(NamedTuple):
    """The headers that the router adds to a request for a target.

    ``urgency`` counts from 0, the most urgent; ``timeout`` is in seconds.
    """

    request_id: str
    attempt_id: str
    workspace: str
    salt: str
    urgency: int
    timeout: float

    def make_headers(self) -> dict[str, str]:
        """Return the headers by name."""
        return {
            'X-Request-Id': self.request_id,
            ATTEMPT_HEADER: self.attempt_id,
            'X-Workspace': self.workspace,
            'X-Cache-Salt': self.salt,
            'X-Priority': str(self.urgency),
            'X-Timeout': f'{self.timeout:.3f}',
        }


class OutgoingRequest(NamedTuple):
    """A caller's request as it is sent to a target, without the key."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def send(
    client: Client,
    address: Address,
    outgoing: OutgoingRequest,
    forwarded: ForwardedHeaders,
    receiver: ResponseHandler,
    reuse: bool,
) -> None:
    """Send a request to a target once.

    ``reuse`` allows an idle connection. Errors are those of ``web.client``.
    """
    headers = {**outgoing.headers, **forwarded.make_headers()}
    request = Request(
        outgoing.method,
        outgoing.path,
        headers,
        outgoing.body,
        forwarded.timeout,
    )
    await client.exchange(address, request, receiver, reuse)


async def resume(
    client: Client,
    address: Address,
    attempt_id: str,
    last_event_id: int,
    timeout: float,
    receiver: ResponseHandler,
) -> None:
    """Request the events of a stream after ``last_event_id``.

    ``timeout`` is in seconds. Errors are those of ``web.client``.
    """
    headers = {'Last-Event-ID': str(last_event_id), ATTEMPT_HEADER: attempt_id}
    path = f'/v1/streams/{attempt_id}'
    request = Request('GET', path, headers, b'', timeout)
    await client.exchange(address, request, receiver, reuse=False)


async def cancel(client: Client, address: Address, attempt_id: str) -> None:
    """Ask a target to stop an attempt; errors are ignored."""
    body = msgspec.json.encode({'attempt': attempt_id})
    request = Request('POST', '/v1/cancel', {}, body, _CANCEL_TIMEOUT_S)
    try:
        await client.fetch(address, request)
    except LentilrunError:
        pass


def is_response_to(headers: HTTPHeaders, attempt_id: str) -> bool:
    """Return whether a response is to this attempt.

    One without the header counts as such.
    """
    return headers.get(ATTEMPT_HEADER, attempt_id) == attempt_id


def names_attempt(headers: HTTPHeaders) -> bool:
    """Return whether a response states which attempt it is for."""
    return ATTEMPT_HEADER in headers


__all__ = [
    'ATTEMPT_HEADER',
    'cancel',
    'ForwardedHeaders',
    'INCARNATION_HEADER',
    'is_response_to',
    'names_attempt',
    'OutgoingRequest',
    'resume',
    'send',
    'VERSION_HEADER',
]
