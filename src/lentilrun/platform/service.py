"""Requests to the platform's services; failures are ``PlatformError``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import PlatformError
from ..web.client import Request
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError
from ..web.responses import is_framed

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..web.client import Client
    from ..web.responses import Response

DEFAULT_TIMEOUT_S = 2.0
_SERVER_ERROR_STATUS = 500


def take_value(response: Response) -> bytes:
    """Return the body of a response, whose form tells nothing of its end.

    A response without a length or chunks ends with its connection, as it
    does if the service is killed: raises ``PlatformError`` then.
    """
    if not is_framed(response.headers):
        raise PlatformError('a value came without its length')
    return response.body


class PlatformService:
    """Client of one service of the platform, at one address."""

    def __init__(
        self,
        client: Client,
        address: Address,
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Send requests with ``client``; ``timeout`` of each is in seconds."""
        self._client = client
        self._address = address
        self._timeout = timeout

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a request and return the response.

        Raises ``PlatformError`` if there is no response or if its status
        is 500 or above.
        """
        request = Request(method, path, headers or {}, body, self._timeout)
        try:
            response = await self._client.fetch(self._address, request)
        except (NotSentError, InterruptedExchangeError) as error:
            raise PlatformError(str(error)) from error
        if response.status >= _SERVER_ERROR_STATUS:
            raise PlatformError(f'{self._address} said {response.status}')
        return response


__all__ = ['DEFAULT_TIMEOUT_S', 'PlatformService', 'take_value']
