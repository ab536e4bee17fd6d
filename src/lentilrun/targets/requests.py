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

ATTEMPT = 'X-Attempt-Id'
INCARNATION = 'X-Incarnation'
VERSION = 'X-Version'
_CANCEL_TIMEOUT = 1.0


class Trace(NamedTuple):
    """What a target is told of a request beside the request itself.

    ``priority`` counts from 0, the most urgent; ``timeout`` in seconds.
    """

    request: str
    attempt: str
    workspace: str
    salt: str
    priority: int
    timeout: float

    def headers(self) -> dict[str, str]:
        """Return the headers that carry it."""
        return {
            'X-Request-Id': self.request,
            ATTEMPT: self.attempt,
            'X-Workspace': self.workspace,
            'X-Cache-Salt': self.salt,
            'X-Priority': str(self.priority),
            'X-Timeout': f'{self.timeout:.3f}',
        }


class Outgoing(NamedTuple):
    """A caller's request as it goes to a target, without its key."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def send(
    client: Client,
    address: Address,
    outgoing: Outgoing,
    trace: Trace,
    receiver: ResponseHandler,
    reuse: bool,
) -> None:
    """Send a request to a target once; errors as in ``web.client``."""
    headers = {**outgoing.headers, **trace.headers()}
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
    headers = {'Last-Event-ID': str(last), ATTEMPT: attempt}
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


def belongs(headers: HTTPHeaders, attempt: str) -> bool:
    """Return whether an answer is the one to this attempt."""
    return headers.get(ATTEMPT, attempt) == attempt


__all__ = [
    'ATTEMPT',
    'belongs',
    'cancel',
    'INCARNATION',
    'Outgoing',
    'resume',
    'send',
    'Trace',
    'VERSION',
]
