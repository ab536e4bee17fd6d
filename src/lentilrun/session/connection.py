"""Requests of the command line to a daemon's operator interface."""

from __future__ import annotations

import asyncio
import os
from typing import Any
from typing import NamedTuple

import msgspec

from ..config.ini import parse_address
from ..errors import Code
from ..errors import LentilrunError
from ..web.client import Client
from ..web.client import Request
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError
from .exits import Exit

DEFAULT_OPERATOR = '127.0.0.1:8081'
_TIMEOUT_S = 30.0
_OK = 200
_EXIT_BY_CODE: dict[str, Exit] = {
    Code.INVALID_FILE: Exit.INVALID_FILE,
    Code.CONFLICT: Exit.CONFLICT,
    Code.PLATFORM_UNAVAILABLE: Exit.UNKNOWN,
    Code.MAJORITY_MISSING: Exit.MAJORITY_MISSING,
    Code.OPERATOR_REFUSED: Exit.REFUSED,
    Code.BAD_REQUEST: Exit.INVALID_QUERY,
    Code.UNKNOWN_MODEL: Exit.INVALID_QUERY,
    Code.WORKSPACE_REFUSED: Exit.INVALID_QUERY,
}


class OperatorResponse(NamedTuple):
    """A daemon's decoded response, and the matching exit code."""

    body: Any
    exit_code: Exit


class UnreachableError(LentilrunError):
    """The daemon did not respond; ``sent`` if bytes may have been sent."""

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


async def _fetch(
    address: str, request: Request, kind: type = dict
) -> OperatorResponse:
    try:
        target = parse_address(address)
    except ValueError as error:
        message = f'{address!r} is not an address as IP:PORT'
        raise UnreachableError(message, False) from error
    with Client() as client:
        try:
            response = await client.fetch(target, request)
        except NotSentError as error:
            raise UnreachableError(str(error), False) from error
        except InterruptedExchangeError as error:
            raise UnreachableError(str(error), True) from error
    body = _decode(response.body, kind if response.status == _OK else dict)
    if body is None:
        failure = {'code': Code.INTERNAL, 'message': f'no daemon at {address}'}
        return OperatorResponse({'error': failure}, Exit.UNKNOWN)
    if response.status == _OK:
        return OperatorResponse(body, Exit.DONE)
    code = body.get('error', {}).get('code', '')
    return OperatorResponse(body, _EXIT_BY_CODE.get(code, Exit.UNKNOWN))


def _decode(data: bytes, kind: type) -> Any:
    """Return the body of a response, or nothing if it is of another kind."""
    try:
        body = msgspec.json.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return body if isinstance(body, kind) else None


def _make_headers() -> dict[str, str]:
    token = os.environ.get('LENTILRUN_OPERATOR_TOKEN', '')
    return {'Authorization': f'Bearer {token}'} if token else {}


def query(address: str, path: str, kind: type = dict) -> OperatorResponse:
    """Query a daemon for a body of a kind; raises ``UnreachableError``."""
    request = Request('GET', path, _make_headers(), b'', _TIMEOUT_S)
    return asyncio.run(_fetch(address, request, kind))


def command(
    address: str, path: str, headers: dict[str, str], body: bytes
) -> OperatorResponse:
    """Send a command to a daemon; raises ``UnreachableError``."""
    all_headers = {**_make_headers(), **headers}
    request = Request('POST', path, all_headers, body, _TIMEOUT_S)
    return asyncio.run(_fetch(address, request))


__all__ = [
    'command',
    'DEFAULT_OPERATOR',
    'OperatorResponse',
    'query',
    'UnreachableError',
]
