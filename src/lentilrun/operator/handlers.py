"""HTTP handlers for operators."""

from __future__ import annotations

import hmac
import secrets
from typing import Any
from typing import TYPE_CHECKING

from absl import logging
import msgspec
from tornado.web import Application
from tornado.web import RequestHandler

from . import commands
from ..config import declaration
from ..config.findings import InvalidFileError
from ..errors import Code
from ..errors import ConflictError
from ..errors import LentilrunError
from . import reports
from ..web.numbers import parse_number

if TYPE_CHECKING:
    from ..daemon.node import Node

_BAD_REQUEST = 400
_FORBIDDEN = 403
_CONFLICT = 409
_UNPROCESSABLE = 422
_UNAVAILABLE = 503
_INTERNAL_ERROR = 500
OPERATION_HEADER = 'X-Operation'
EXPECTED_GENERATION_HEADER = 'X-Expected-Generation'
FILE_HEADER = 'X-File'


def _to_builtin(value: Any) -> Any:
    """Convert named tuples to dictionaries, at any depth."""
    if isinstance(value, tuple) and hasattr(value, '_asdict'):
        return {k: _to_builtin(v) for k, v in value._asdict().items()}
    if isinstance(value, dict):
        return {k: _to_builtin(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [_to_builtin(v) for v in value]
    return value


def encode(value: Any) -> bytes:
    """Encode a report as JSON; named tuples become objects."""
    return msgspec.json.encode(_to_builtin(value))


def encode_leaving() -> bytes:
    """Return the error for a request that arrives too late, as JSON."""
    text = 'this VM is stopping; nothing was applied'
    return encode({'error': {'code': Code.VM_LEAVING, 'message': text}})


class _Handler(RequestHandler):
    def initialize(self, node: Node) -> None:
        self.node = node

    def prepare(self) -> None:
        token = self.node.settings.secrets.operator_token
        if not token:
            return
        # Texts are compared as bytes: they may be beyond ASCII.
        authorization = self.request.headers.get('Authorization', '').encode()
        if not hmac.compare_digest(authorization, f'Bearer {token}'.encode()):
            self.fail(Code.OPERATOR_REFUSED, 'no valid token', _FORBIDDEN)

    def reply(self, value: Any) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(encode(value))

    def fail(self, code: str, message: str, status: int) -> None:
        self.set_status(status)
        self.reply({'error': {'code': code, 'message': message}})

    def fail_with(self, error: LentilrunError) -> None:
        if isinstance(error, InvalidFileError):
            findings = _to_builtin(error.findings)
            self.set_status(_UNPROCESSABLE)
            body = {'code': error.code, 'message': 'nothing was applied'}
            self.reply({'error': body, 'findings': findings})
            return
        self.fail(error.code, str(error), _get_status(error))

    def read_text(self) -> str:
        try:
            return self.request.body.decode()
        except UnicodeDecodeError as error:
            text = f'the file is not UTF-8: {error}'
            raise LentilrunError(text, Code.INVALID_FILE) from error


def _get_status(error: LentilrunError) -> int:
    if isinstance(error, ConflictError):
        return _CONFLICT
    if error.code is Code.INVALID_FILE:
        return _UNPROCESSABLE
    return _UNAVAILABLE


class _Apply(_Handler):
    def _read_request(self) -> commands.ApplyRequest:
        headers = self.request.headers
        expected = headers.get(EXPECTED_GENERATION_HEADER, '')
        return commands.ApplyRequest(
            self.read_text(),
            headers.get(FILE_HEADER, 'file'),
            headers.get(OPERATION_HEADER) or secrets.token_hex(8),
            parse_number(expected),
        )

    async def post(self) -> None:
        try:
            request = self._read_request()
            result = await commands.apply(self.node, request)
        except LentilrunError as error:
            self.fail_with(error)
            return
        except Exception:
            logging.exception('apply failed')
            text = 'the router failed; repeat the operation'
            self.fail(Code.INTERNAL, text, _INTERNAL_ERROR)
            return
        self.reply(result)


class _Check(_Handler):
    async def post(self) -> None:
        try:
            text = self.read_text()
            name = self.request.headers.get(FILE_HEADER, 'file')
            declaration.parse(text, name)
        except LentilrunError as error:
            self.fail_with(error)
            return
        self.reply({'findings': []})


class _Status(_Handler):
    async def get(self) -> None:
        self.reply(reports.make_status(self.node))


class _Moves(_Handler):
    async def get(self) -> None:
        self.reply(reports.make_moves(self.node))


class _Usage(_Handler):
    async def get(self) -> None:
        try:
            self.reply(await reports.make_usage(self.node))
        except LentilrunError as error:
            self.fail_with(error)


class _Dump(_Handler):
    async def get(self) -> None:
        self.reply(reports.make_dump(self.node))


class _Metrics(_Handler):
    async def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.node.metrics.render())


def make_application(node: Node) -> Application:
    """Return the web application for operators."""
    arguments = {'node': node}
    return Application(
        [
            (r'/apply', _Apply, arguments),
            (r'/check', _Check, arguments),
            (r'/status', _Status, arguments),
            (r'/moves', _Moves, arguments),
            (r'/usage', _Usage, arguments),
            (r'/dump', _Dump, arguments),
            (r'/metrics', _Metrics, arguments),
        ],
        log_function=lambda handler: None,
    )


__all__ = [
    'encode',
    'encode_leaving',
    'EXPECTED_GENERATION_HEADER',
    'FILE_HEADER',
    'make_application',
    'OPERATION_HEADER',
]
